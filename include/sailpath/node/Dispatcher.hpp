#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/limits/WorkspaceShares.hpp>
#include <sailpath/node/DispatcherCounters.hpp>
#include <sailpath/node/DispatcherSettings.hpp>
#include <sailpath/node/Outcome.hpp>
#include <sailpath/node/Request.hpp>
#include <sailpath/node/ServerReport.hpp>
#include <sailpath/node/Step.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace sailpath::node
{
namespace priv
{
class Pool;
struct Query;
} // namespace priv

////////////////////////////////////////////////////////////
/// \brief One node's decisions about requests
///
/// Does no input or output, starts no threads and reads no clock. Not
/// thread-safe: the program that drives it locks.
////////////////////////////////////////////////////////////
class Dispatcher
{
public:
    using ServerVisitor = std::function<void(const std::shared_ptr<const Target>&, routing::Availability)>;

    ////////////////////////////////////////////////////////////
    /// \brief Create a dispatcher without configuration
    ///
    /// \param settings Constants and strategies
    ////////////////////////////////////////////////////////////
    explicit Dispatcher(DispatcherSettings settings);

    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Put a workspace's configuration in force
    ///
    /// Servers that stay keep what was learned of them; those that are gone
    /// get no new requests.
    ////////////////////////////////////////////////////////////
    void configure(const config::Workspace& workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Put the deletion of a workspace in force
    ////////////////////////////////////////////////////////////
    void removeWorkspace(std::string_view workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide about a request that has arrived
    ///
    /// \return `Forward`, `Hold` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Step admit(const Request& request, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide what follows an attempt that has ended
    ///
    /// \return `Answer`, `Forward` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Step finish(Ticket ticket, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Drop a request that is held, as when its caller hung up
    ///
    /// \return False when it is no longer held
    ////////////////////////////////////////////////////////////
    bool cancelHeld(Ticket ticket, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Do what has become due with the passing of time
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Move the steps for held requests that were decided since the last call
    ///
    /// \param steps Receives the steps; its old contents are dropped
    ////////////////////////////////////////////////////////////
    void takeReleased(std::vector<Step>& steps);

    ////////////////////////////////////////////////////////////
    /// \brief Move the news of servers that say they are leaving, for peers to hear
    ///
    /// \param news Receives the news; its old contents are dropped
    ////////////////////////////////////////////////////////////
    void takeNews(std::vector<ServerReport>& news);

    ////////////////////////////////////////////////////////////
    /// \brief Hear a report about a server from a probe or a peer
    ////////////////////////////////////////////////////////////
    void reported(std::string_view workspace, std::string_view service, std::string_view server,
                  routing::LoadReport report, bool draining, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Requests that are held
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t held() const;

    ////////////////////////////////////////////////////////////
    /// \brief Requests held or at a server
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t unfinished() const;

    ////////////////////////////////////////////////////////////
    /// \brief Servers that memory is held for, those no longer declared included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t serverPlaces() const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit each service's counters
    ////////////////////////////////////////////////////////////
    void visitCounters(
        const std::function<void(std::string_view, std::string_view, const DispatcherCounters&)>& visit) const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit each server in force with what it may be given now
    ////////////////////////////////////////////////////////////
    void visitServers(core::Timestamp now, const ServerVisitor& visit) const;

    ////////////////////////////////////////////////////////////
    /// \brief Note that a server that was leaving has closed its connections
    ///
    /// From here on it is tried again by single requests, as it may be back.
    ////////////////////////////////////////////////////////////
    void serverGone(const Target& target, core::Timestamp now);

private:
    struct Workspace
    {
        core::StringMap<std::unique_ptr<priv::Pool>> pools; //!< By service
    };

    struct Pending
    {
        priv::Pool*      pool{nullptr};                           //!< Its service's pool; null when free
        std::size_t      server{0};                               //!< Index of the server it is at
        bool             held{false};                             //!< Waits in the pool's queue
        bool             repeatable{false};                       //!< May run more than once
        config::Priority priority{config::Priority::Interactive}; //!< Its class
        unsigned         attempts{0};                             //!< Attempts made
        core::Timestamp  sentAt{};                                //!< Start of the current attempt
        core::Timestamp  deadline{};                              //!< When it must be done
    };

    [[nodiscard]] priv::Pool* findPool(std::string_view host);
    [[nodiscard]] Ticket      open(priv::Pool& pool);
    void                      close(Ticket ticket);
    [[nodiscard]] Step        forward(Ticket ticket, std::size_t server, core::Timestamp now);
    [[nodiscard]] Step        holdOrRefuse(Ticket ticket, core::Timestamp now);
    [[nodiscard]] Step        refuse(Ticket ticket, const Refusal& refusal);
    [[nodiscard]] Step        conclude(Ticket ticket, const Outcome& outcome, core::Timestamp now);
    [[nodiscard]] priv::Query queryFor(const Pending& pending, core::Timestamp now) const;
    void                      pump(priv::Pool& pool, core::Timestamp now);
    void                      expire(priv::Pool& pool, core::Timestamp now);

    DispatcherSettings         m_settings;    //!< Constants and strategies
    core::Random               m_random;      //!< For choices
    limits::WorkspaceShares    m_shares;      //!< Places by workspace
    core::StringMap<Workspace> m_workspaces;  //!< Configuration in force
    std::vector<Pending>       m_pending;     //!< By ticket
    std::vector<Ticket>        m_freeTickets; //!< Tickets to use again
    std::vector<Step>          m_released;    //!< Steps for held requests
    std::vector<ServerReport>  m_news;        //!< Servers that began to leave
    std::size_t                m_held{0};     //!< Requests held
};

} // namespace sailpath::node

////////////////////////////////////////////////////////////
/// \class sailpath::node::Dispatcher
/// \ingroup node
///
/// \code
/// sailpath::node::Dispatcher dispatcher({.dataCentre = "accra-1"});
/// dispatcher.configure(workspace, now);
///
/// sailpath::node::Step step = dispatcher.admit({"portal.example", "GET", "/status", {}}, now);
/// while (step.verdict == sailpath::node::Verdict::Forward)
///     step = dispatcher.finish(step.ticket, send(*step.target), later);
/// \endcode
////////////////////////////////////////////////////////////

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
struct ChoiceQuery;
} // namespace priv

////////////////////////////////////////////////////////////
/// \brief Decides on one node which server each request goes to, and queues, retries or refuses requests
///
/// The dispatcher does no input or output, starts no threads and reads no
/// clock. The class is not thread-safe; the program must lock around calls.
////////////////////////////////////////////////////////////
class Dispatcher
{
public:
    using ServerVisitor = std::function<void(const std::shared_ptr<const Target>&, routing::Availability)>;

    ////////////////////////////////////////////////////////////
    /// \brief Create a dispatcher without configuration
    ///
    /// \param settings Limits and strategies
    ////////////////////////////////////////////////////////////
    explicit Dispatcher(DispatcherSettings settings);

    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Apply a workspace's configuration
    ///
    /// Servers that stay declared keep their load and health state. Servers
    /// that are no longer declared get no new requests.
    ////////////////////////////////////////////////////////////
    void configure(const config::Workspace& workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Apply the deletion of a workspace
    ////////////////////////////////////////////////////////////
    void removeWorkspace(std::string_view workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide what to do with a request that has arrived
    ///
    /// \return `Forward`, `Hold` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Step admit(const Request& request, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide what to do after an attempt has ended
    ///
    /// \return `Answer`, `Forward` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Step finishAttempt(Ticket ticket, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Remove a held request, for example when the caller closed the connection
    ///
    /// \return False if the request is no longer held
    ////////////////////////////////////////////////////////////
    bool cancelHeld(Ticket ticket, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Refuse held requests whose wait has expired, and forward held requests where possible
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Take the steps for held requests that were decided since the last call
    ///
    /// \param steps Receives the steps; its previous contents are discarded
    ////////////////////////////////////////////////////////////
    void takeReleased(std::vector<Step>& steps);

    ////////////////////////////////////////////////////////////
    /// \brief Take the reports of servers that began to drain since the last call, to be sent to peers
    ///
    /// \param reports Receives the reports; its previous contents are discarded
    ////////////////////////////////////////////////////////////
    void takeDrainingReports(std::vector<ServerReport>& reports);

    ////////////////////////////////////////////////////////////
    /// \brief Process a report about a server from a probe or a peer
    ////////////////////////////////////////////////////////////
    void recordServerReport(std::string_view workspace, std::string_view service, std::string_view server,
                            routing::LoadReport report, bool draining, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Get the number of held requests
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t held() const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the number of requests that are held or in flight
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t unfinished() const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the number of server entries in memory, including servers that are no longer declared
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t serverEntries() const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit the counters of each service
    ////////////////////////////////////////////////////////////
    void visitCounters(
        const std::function<void(std::string_view, std::string_view, const DispatcherCounters&)>& visit) const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit each declared server with its current standing
    ////////////////////////////////////////////////////////////
    void visitServers(core::Timestamp now, const ServerVisitor& visit) const;

    ////////////////////////////////////////////////////////////
    /// \brief Record that a draining server has closed its connections
    ///
    /// The server may have restarted, so single trial requests are sent to it
    /// from now on.
    ////////////////////////////////////////////////////////////
    void serverGone(const Target& target, core::Timestamp now);

private:
    struct Workspace
    {
        core::StringMap<std::unique_ptr<priv::Pool>> pools; //!< Pools by service
    };

    struct Pending
    {
        priv::Pool*      pool{nullptr};     //!< Pool of the request's service; null when the entry is free
        std::size_t      server{0};         //!< Index of the server of the current attempt
        bool             held{false};       //!< The request is in the pool's queue
        bool             repeatable{false}; //!< The request may run more than once
        config::Priority priority{config::Priority::Interactive}; //!< Priority class of the request
        unsigned         attempts{0};                             //!< Number of attempts so far
        core::Timestamp  sentAt{};                                //!< Start of the current attempt
        core::Timestamp  deadline{};                              //!< Time by which the request must be finished
    };

    [[nodiscard]] priv::Pool*       findPool(std::string_view host);
    [[nodiscard]] Ticket            openTicket(priv::Pool& pool);
    void                            closeTicket(Ticket ticket);
    [[nodiscard]] Step              forward(Ticket ticket, std::size_t server, core::Timestamp now);
    [[nodiscard]] Step              holdOrRefuse(Ticket ticket, core::Timestamp now);
    [[nodiscard]] Step              refuse(Ticket ticket, const Refusal& refusal);
    [[nodiscard]] Step              retryOrConclude(Ticket ticket, const Outcome& outcome, core::Timestamp now);
    [[nodiscard]] priv::ChoiceQuery queryFor(const Pending& pending, core::Timestamp now) const;
    void                            dispatchHeld(priv::Pool& pool, core::Timestamp now);
    void                            expireHeld(priv::Pool& pool, core::Timestamp now);

    DispatcherSettings         m_settings;        //!< Limits and strategies
    core::Random               m_random;          //!< Source of random choices
    limits::WorkspaceShares    m_shares;          //!< Shares of `maxRequests` by workspace
    core::StringMap<Workspace> m_workspaces;      //!< Workspaces by name
    std::vector<Pending>       m_pending;         //!< Requests by ticket
    std::vector<Ticket>        m_freeTickets;     //!< Tickets that are free for reuse
    std::vector<Step>          m_released;        //!< Steps that `takeReleased` returns
    std::vector<ServerReport>  m_drainingReports; //!< Reports that `takeDrainingReports` returns
    std::size_t                m_held{0};         //!< Number of held requests
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
///     step = dispatcher.finishAttempt(step.ticket, send(*step.target), later);
/// \endcode
////////////////////////////////////////////////////////////

#pragma once

#include <sailpath/config/Service.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/limits/ConcurrencyLimit.hpp>
#include <sailpath/limits/QueueWaitLimit.hpp>
#include <sailpath/limits/WaitQueue.hpp>
#include <sailpath/node/DispatcherCounters.hpp>
#include <sailpath/node/DispatcherSettings.hpp>
#include <sailpath/node/Outcome.hpp>
#include <sailpath/node/Target.hpp>
#include <sailpath/retries/RetryBudget.hpp>
#include <sailpath/routing/ServerChoice.hpp>
#include <sailpath/routing/ServerHealth.hpp>
#include <sailpath/routing/ServerLoad.hpp>

#include <array>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace sailpath::node::priv
{
////////////////////////////////////////////////////////////
/// \brief What a choice of a server must respect
////////////////////////////////////////////////////////////
struct Query
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    config::Priority priority{config::Priority::Interactive}; //!< Class of the request
    bool             repeatable{false};                       //!< Whether it may serve as a trial
    std::size_t      excluded{none};                          //!< Server that must not be chosen
    core::Timestamp  now{};                                   //!< Current time
};

////////////////////////////////////////////////////////////
/// \brief What is known of an attempt when it ends
////////////////////////////////////////////////////////////
struct Attempted
{
    core::Timestamp  sentAt{};                                //!< When it was sent
    config::Priority priority{config::Priority::Interactive}; //!< Class of the request
};

////////////////////////////////////////////////////////////
/// \brief Why a choice gave no server
////////////////////////////////////////////////////////////
enum class ChoiceFailure
{
    None,    //!< A server was chosen
    AllBusy, //!< Servers work, but each is at its limit
    NoServer //!< No server may be given anything
};

////////////////////////////////////////////////////////////
/// \brief Result of a choice
////////////////////////////////////////////////////////////
struct Chosen
{
    ChoiceFailure failure{ChoiceFailure::NoServer}; //!< Whether there is a server
    std::size_t   server{0};                        //!< Its index
};

////////////////////////////////////////////////////////////
/// \brief One service on one node: its servers, their load and limits, its queue and retry budget
////////////////////////////////////////////////////////////
class Pool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty pool
    ///
    /// \param workspace Name of the workspace
    /// \param settings  Outlives the pool
    ////////////////////////////////////////////////////////////
    Pool(std::string workspace, const DispatcherSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Put a service's declaration in force
    ////////////////////////////////////////////////////////////
    void configure(const config::Service& service, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Put the deletion of the service in force
    ////////////////////////////////////////////////////////////
    void remove();

    ////////////////////////////////////////////////////////////
    /// \brief Choose a server
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Chosen choose(const Query& query, core::Random& random);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a request was sent to a server
    ////////////////////////////////////////////////////////////
    void sent(std::size_t server, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Learn from an attempt that ended
    ///
    /// \return Whether the server said for the first time that it is leaving
    ////////////////////////////////////////////////////////////
    bool ended(std::size_t server, const Attempted& attempt, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear a report about a server; unknown servers are ignored
    ////////////////////////////////////////////////////////////
    void reported(std::string_view server, routing::LoadReport report, bool draining, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a server that was leaving has closed its connections
    ////////////////////////////////////////////////////////////
    void gone(std::string_view server, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Estimated wait behind a number of waiting requests
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration expectedWait(std::size_t ahead) const;

    ////////////////////////////////////////////////////////////
    /// \brief Usual time from sending a request to its answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration usualLatency() const;

    ////////////////////////////////////////////////////////////
    /// \brief Longest wait that a request may be let in for now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration bearableWait(core::Timestamp now);

    [[nodiscard]] std::size_t                          places() const;
    [[nodiscard]] bool                                 removed() const;
    [[nodiscard]] const std::string&                   workspace() const;
    [[nodiscard]] const config::Service&               service() const;
    [[nodiscard]] const std::shared_ptr<const Target>& target(std::size_t server) const;
    [[nodiscard]] limits::WaitQueue&                   queue();
    [[nodiscard]] retries::RetryBudget&                retryBudget();
    [[nodiscard]] DispatcherCounters&                  counters();
    [[nodiscard]] const DispatcherCounters&            counters() const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit each server in force with its standing
    ////////////////////////////////////////////////////////////
    template <typename Visit>
    void visitServers(core::Timestamp now, Visit visit) const
    {
        for (const auto& server : m_servers)
        {
            if (!server->removed)
                visit(server->target, server->health.availability(now));
        }
    }

private:
    struct Server
    {
        Server(std::shared_ptr<const Target> where, const config::BackendServer& declared,
               const DispatcherSettings& settings);

        std::shared_ptr<const Target> target;         //!< Where it is
        config::BackendServer         declaration;    //!< As declared
        routing::ServerLoad           load;           //!< Load view
        routing::ServerHealth         health;         //!< Judgement
        limits::ConcurrencyLimit      limit;          //!< Adaptive limit
        bool                          removed{false}; //!< No longer declared
    };

    void                  declare(const config::BackendServer& server, bool cold, core::Timestamp now);
    void                  place(std::unique_ptr<Server> added);
    [[nodiscard]] bool    mayBeGiven(const Server& server, const Query& query) const;
    [[nodiscard]] bool    trialAllowed(const Query& query) const;
    [[nodiscard]] bool    mayEject() const;
    [[nodiscard]] double  limitOf(const Server& server, core::Timestamp now) const;
    [[nodiscard]] double& classWork(config::Priority priority);
    [[nodiscard]] Server* findServer(std::string_view name);
    void                  learnReport(Server& server, routing::LoadReport report, core::Timestamp at);
    void                  learnAnswer(Server& server, const Attempted& attempt, core::Timestamp now);
    void                  learnFailure(Server& server, core::Timestamp now);

    std::string                            m_workspace;            //!< Name of the workspace
    const DispatcherSettings&              m_settings;             //!< Constants
    config::Service                        m_service;              //!< Declaration in force
    bool                                   m_removed{false};       //!< Service deleted
    bool                                   m_anyRepeatable{false}; //!< Some route is repeatable
    std::vector<std::unique_ptr<Server>>   m_servers;              //!< Index is stable while requests are there
    std::unique_ptr<routing::ServerChoice> m_choice;               //!< Strategy
    limits::WaitQueue                      m_queue;                //!< Requests that wait
    limits::QueueWaitLimit                 m_patience;             //!< Shrinks while the queue stands
    retries::RetryBudget                   m_retryBudget;          //!< Retries allowed
    DispatcherCounters                     m_counters;             //!< Since the start
    double                                 m_meanOthers{0};        //!< Others' requests a server, by recent reports
    double                                 m_meanLatency;          //!< Recent latency, milliseconds
    std::array<double, 2>                  m_classWork;            //!< Usual work by class, milliseconds
    unsigned                               m_ownInFlight{0};       //!< Own requests at all servers
    double                                 m_limitSum{1};          //!< Sum of the limits at the last choice
    std::vector<routing::Candidate>        m_candidates;           //!< Reused by each choice
};

} // namespace sailpath::node::priv

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
/// \brief Constraints on the choice of a server
////////////////////////////////////////////////////////////
struct ChoiceQuery
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    config::Priority priority{config::Priority::Interactive}; //!< Priority class of the request
    bool             repeatable{false}; //!< Whether the request may run more than once and so may serve as a trial
    std::size_t      excluded{none};    //!< Index of a server that must not be chosen
    core::Timestamp  now{};             //!< Current time
};

////////////////////////////////////////////////////////////
/// \brief Properties of an attempt that has ended
////////////////////////////////////////////////////////////
struct AttemptInfo
{
    core::Timestamp  sentAt{};                                //!< Time at which the request was sent
    config::Priority priority{config::Priority::Interactive}; //!< Priority class of the request
};

////////////////////////////////////////////////////////////
/// \brief Reason why no server was chosen
////////////////////////////////////////////////////////////
enum class ChoiceFailure
{
    None,    //!< A server was chosen
    AllBusy, //!< Servers are available, but all are at their limits
    NoServer //!< No server is available
};

////////////////////////////////////////////////////////////
/// \brief Result of the choice of a server
////////////////////////////////////////////////////////////
struct ChoiceResult
{
    ChoiceFailure failure{ChoiceFailure::NoServer}; //!< Reason why no server was chosen, or `None`
    std::size_t   server{0};                        //!< Index of the chosen server
};

////////////////////////////////////////////////////////////
/// \brief State of one service on one node: servers with load and limits, queue and retry budget
////////////////////////////////////////////////////////////
class Pool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty pool
    ///
    /// \param workspace Name of the workspace
    /// \param settings  Settings; must outlive the pool
    ////////////////////////////////////////////////////////////
    Pool(std::string workspace, const DispatcherSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Apply a service's declaration
    ////////////////////////////////////////////////////////////
    void configure(const config::Service& service, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Apply the deletion of the service
    ////////////////////////////////////////////////////////////
    void remove();

    ////////////////////////////////////////////////////////////
    /// \brief Choose a server for a request
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ChoiceResult choose(const ChoiceQuery& query, core::Random& random);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a request was sent to a server
    ////////////////////////////////////////////////////////////
    void startAttempt(std::size_t server, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record the outcome of an attempt
    ///
    /// \return Whether the server has just begun to drain
    ////////////////////////////////////////////////////////////
    bool endAttempt(std::size_t server, const AttemptInfo& attempt, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record a report about a server; reports about unknown servers are ignored
    ////////////////////////////////////////////////////////////
    void recordServerReport(std::string_view server, routing::LoadReport report, bool draining, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a draining server has closed its connections
    ////////////////////////////////////////////////////////////
    void serverGone(std::string_view server, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the wait behind a number of queued requests
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration expectedWait(std::size_t ahead) const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the moving mean of the time from sending a request to the answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration meanLatency() const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the longest expected wait with which a request may be queued now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration longestWait(core::Timestamp now);

    [[nodiscard]] std::size_t                          entryCount() const;
    [[nodiscard]] bool                                 removed() const;
    [[nodiscard]] const std::string&                   workspace() const;
    [[nodiscard]] const config::Service&               service() const;
    [[nodiscard]] const std::shared_ptr<const Target>& target(std::size_t server) const;
    [[nodiscard]] limits::WaitQueue&                   queue();
    [[nodiscard]] retries::RetryBudget&                retryBudget();
    [[nodiscard]] DispatcherCounters&                  counters();
    [[nodiscard]] const DispatcherCounters&            counters() const;

    ////////////////////////////////////////////////////////////
    /// \brief Visit each declared server with its current standing
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

        std::shared_ptr<const Target> target;         //!< Address and probe settings
        config::BackendServer         declaration;    //!< Declaration in the configuration
        routing::ServerLoad           load;           //!< Load estimates
        routing::ServerHealth         health;         //!< Health and ejection state
        limits::ConcurrencyLimit      limit;          //!< Adaptive concurrency limit
        bool                          removed{false}; //!< The server is no longer declared
    };

    void                  declareServer(const config::BackendServer& server, bool cold, core::Timestamp now);
    void                  addServer(std::unique_ptr<Server> added);
    [[nodiscard]] bool    canAccept(const Server& server, const ChoiceQuery& query) const;
    [[nodiscard]] bool    trialAllowed(const ChoiceQuery& query) const;
    [[nodiscard]] bool    mayEject() const;
    [[nodiscard]] double  limitOf(const Server& server, core::Timestamp now) const;
    [[nodiscard]] double& meanWork(config::Priority priority);
    [[nodiscard]] Server* findServer(std::string_view name);
    void                  recordLoad(Server& server, routing::LoadReport report, core::Timestamp at);
    void                  recordAnswer(Server& server, const AttemptInfo& attempt, core::Timestamp now);
    void                  recordFailure(Server& server, core::Timestamp now);

    std::string                            m_workspace;            //!< Name of the workspace
    const DispatcherSettings&              m_settings;             //!< Settings
    config::Service                        m_service;              //!< Declaration in force
    bool                                   m_removed{false};       //!< The service is deleted
    bool                                   m_anyRepeatable{false}; //!< At least one route is repeatable
    std::vector<std::unique_ptr<Server>>   m_servers;              //!< Indexes stay valid during requests
    std::unique_ptr<routing::ServerChoice> m_choice;               //!< Strategy that chooses a server
    limits::WaitQueue                      m_queue;                //!< Queued requests
    limits::QueueWaitLimit m_patience;    //!< Adaptive longest wait; shortens while the queue does not empty
    retries::RetryBudget   m_retryBudget; //!< Budget of retries
    DispatcherCounters     m_counters;    //!< Counters since the start of the process
    double m_meanOtherRequests{0};    //!< Moving mean of the requests that other nodes have at a server, from reports
    double m_meanLatency;             //!< Moving mean of the latency, milliseconds
    std::array<double, 2> m_meanWork; //!< Moving mean of the server time of a request by priority class, milliseconds
    unsigned              m_ownInFlight{0};       //!< This node's requests in flight at all servers
    double                m_limitSum{1};          //!< Sum of the limits of available servers at the last choice
    std::vector<routing::Candidate> m_candidates; //!< Candidates of the current choice; kept to reuse the memory
};

} // namespace sailpath::node::priv

#pragma once

#include <sailpath/balance/AnswerTimes.hpp>
#include <sailpath/balance/CrashLedger.hpp>
#include <sailpath/balance/HeldRequests.hpp>
#include <sailpath/balance/LateSends.hpp>
#include <sailpath/balance/LossCause.hpp>
#include <sailpath/balance/ServerNotice.hpp>
#include <sailpath/balance/ServicePool.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/Step.hpp>
#include <sailpath/balance/WorkspaceQuotas.hpp>
#include <sailpath/balance/quotas/ReturnEstimator.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/CrashReport.hpp>
#include <sailpath/deployment/DeclaredState.hpp>
#include <sailpath/deployment/KeyTable.hpp>
#include <sailpath/deployment/LimitReport.hpp>
#include <sailpath/deployment/RouteTable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief The part of a caller's complete request that decisions depend on
////////////////////////////////////////////////////////////
struct Arrival
{
    std::string_view              host;          //!< Host header
    std::string_view              target;        //!< Path and query
    core::Timestamp               firstByteAt{}; //!< When the first byte of the request arrived
    std::optional<core::Duration> timeLeft;      //!< Time that the caller waits after that, if it says so

    std::optional<deployment::RequestIdentity> identity{}; //!< Set while `Balancer::needsRequestIdentity` holds
    std::string_view                           key{};      //!< Key of the caller's workspace; empty without one
    bool firstOnConnection{false};                         //!< No earlier request arrived on the caller's connection
};

////////////////////////////////////////////////////////////
/// \brief Result of an attempt or a probe
////////////////////////////////////////////////////////////
struct Outcome
{
    AttemptEnd                    end{AttemptEnd::Lost}; //!< How the attempt ended
    unsigned                      status{0};             //!< HTTP status of the answer
    std::optional<Load>           load;                  //!< Load report in the answer
    core::Duration                retryAfter{};          //!< Retry-After of the answer; 0 for none
    bool                          misdirected{false};    //!< With `NotRun`: a different instance answered
    std::optional<double>         limit;                 //!< Requests per second; `unlimited` for no limit, null when
                                                         //!< the answer does not say
    std::optional<core::Duration> warmUp;                //!< How much longer the server is cold; 0 for warm
    LossCause                     loss{LossCause::None}; //!< With `Lost`: why
    ConnectFailure connectFailure{ConnectFailure::None}; //!< With `NotSent`: why the connection was not opened

    bool helperStops{
        false}; //!< With `NotSent`: the node that the request went through stops; the server is not at fault

    std::string helper; //!< Address of the node that the connection to the server went through; empty without one

    std::optional<deployment::RequestIdentity> identity; //!< Set when `endedByServer`, and while
                                                         //!< `Balancer::needsRequestIdentity` holds
};

////////////////////////////////////////////////////////////
/// \brief An instance reported a cold or warm state that differs from the known one
////////////////////////////////////////////////////////////
struct WarmUpChange
{
    std::shared_ptr<const deployment::Instance> instance;  //!< Instance concerned
    core::Duration                              coldFor{}; //!< How much longer the instance is cold; 0 for warm
};

////////////////////////////////////////////////////////////
/// \brief The request limit of an instance appeared, changed or was lifted
////////////////////////////////////////////////////////////
struct LimitChange
{
    std::shared_ptr<const deployment::Instance> instance; //!< Instance concerned
    double        perSecond{unlimited};                   //!< Requests per second accepted from all nodes together
    std::uint32_t node{0};                                //!< Short hash of the reporting node; 0 for the instance
};

////////////////////////////////////////////////////////////
/// \brief What a node may spend on retries, and what servers rejected, over all services
////////////////////////////////////////////////////////////
struct RetryState
{
    double        budgetLeft{0};       //!< Retries that the node and those that report to it have left
    std::uint64_t rejectedWithRoom{0}; //!< Rejections by servers with room since the start
};

////////////////////////////////////////////////////////////
/// \brief Result of a test whether an instance still accepts connections
////////////////////////////////////////////////////////////
enum class CheckResult
{
    Accepts, //!< A connection was opened
    Refuses, //!< Nothing listens at the address any more
    Unknown  //!< No result in time, or an ambiguous one
};

////////////////////////////////////////////////////////////
/// \brief Return the name of a result in logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(CheckResult result);

////////////////////////////////////////////////////////////
/// \brief One node's decisions about requests
///
/// Does no input or output, starts no threads and reads no clock. Must be
/// used by one thread only.
////////////////////////////////////////////////////////////
class Balancer
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a balancer without a configuration
    ///
    /// \param now Start time of the node's process
    ////////////////////////////////////////////////////////////
    Balancer(Settings settings, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Apply the declared configuration
    ////////////////////////////////////////////////////////////
    void configure(const deployment::DeclaredState& declared, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Set when the configuration in force was last confirmed to be the operators' current one; null for never
    ////////////////////////////////////////////////////////////
    void setConfigurationConfirmedAt(std::optional<core::Timestamp> at);

    ////////////////////////////////////////////////////////////
    /// \brief Decide about a request that has arrived
    ////////////////////////////////////////////////////////////
    void admit(Ticket ticket, const Arrival& arrival, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Begin a planned stop: refuse what can't be answered in time from now on
    ///
    /// \param endsAt When the process ends, whatever is unanswered then
    ////////////////////////////////////////////////////////////
    void beginStop(core::Timestamp endsAt);

    ////////////////////////////////////////////////////////////
    /// \brief Whether a request of a route that is sent to a server now is expected to be answered before the process ends
    ///
    /// \param deadline Time at which the request is answered in any case
    ///
    /// \return True unless a planned stop has begun
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool mayAnswerBeforeStop(const deployment::HostRoute& route, core::Timestamp deadline,
                                           core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Decide what follows the end of an attempt
    ///
    /// Call this also when the request has ended before: the end of an attempt
    /// that was left running is evidence.
    ////////////////////////////////////////////////////////////
    void attemptEnded(Ticket ticket, unsigned attempt, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Tell the identity of a request one attempt of which is left running after the request's end
    ////////////////////////////////////////////////////////////
    void identifyLateSend(Ticket ticket, unsigned attempt, const deployment::RequestIdentity& identity);

    ////////////////////////////////////////////////////////////
    /// \brief Process the result of a probe
    ///
    /// \param probe   Number of the probe within the request, from 1
    /// \param outcome Its `load` is null when the server did not report one
    ////////////////////////////////////////////////////////////
    void probeEnded(Ticket ticket, unsigned probe, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record a server's notice that it shuts down or wants a pause in requests
    ///
    /// A notice in the head of an answer is valid whatever becomes of the
    /// answered request, so call this for each answer before its end is reported.
    ////////////////////////////////////////////////////////////
    void recordNotice(const std::shared_ptr<const deployment::Instance>& instance, const ServerNotice& notice,
                      NoticeSource source, core::Timestamp now);

    [[nodiscard]] std::vector<NoticeChange>  takeNoticeChanges(); //!< What was new in notices since the last call
    [[nodiscard]] const ServerLives&         lives() const; //!< What servers have said of themselves, listed or not
    [[nodiscard]] std::vector<NoticeInForce> notices(core::Timestamp now) const; //!< Notices in force

    ////////////////////////////////////////////////////////////
    /// \brief Drop what was concluded from requests that the path, not their servers, failed
    ////////////////////////////////////////////////////////////
    void forgetPathFailures();

    [[nodiscard]] std::shared_ptr<const deployment::Instance>
    findInstance(std::string_view id) const; //!< Null unless it is declared and may get requests

    ////////////////////////////////////////////////////////////
    /// \brief Draw up to `most` other instances, of the same service if there are any
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::shared_ptr<const deployment::Instance>>
    drawInstances(const deployment::Instance& except, std::size_t most);

    ////////////////////////////////////////////////////////////
    /// \brief Record that the caller of a request has disconnected
    ////////////////////////////////////////////////////////////
    void callerLeft(Ticket ticket, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Process reports of other nodes about instances that failed requests
    ////////////////////////////////////////////////////////////
    void receiveFailures(std::span<const deployment::ServerFailure> failures, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return instances that became suspect since the last call, as several nodes saw them fail
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::shared_ptr<const deployment::Instance>> takeSuspects();

    ////////////////////////////////////////////////////////////
    /// \brief Return changes of the cold or warm state of instances since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<WarmUpChange> takeWarmUpChanges();

    ////////////////////////////////////////////////////////////
    /// \brief Return changes of the request limits of instances since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<LimitChange> takeLimitChanges();

    [[nodiscard]] std::vector<LimitState> limits(core::Timestamp now) const; //!< Request limits of instances
    /// \brief State of the admission to each service, by name of the service
    [[nodiscard]] std::map<std::string, admission::AdmissionState> admissions(core::Timestamp now) const;

    /// \brief What is believed of each route's processing time, for metrics
    [[nodiscard]] std::map<std::string, WorkEvidence> works(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Process other nodes' reports on request limits and on the requests that they sent
    ////////////////////////////////////////////////////////////
    void receiveLimitNews(std::span<const deployment::LimitReport> news, core::Timestamp now);

    [[nodiscard]] std::vector<deployment::LimitReport> takeLimitNews(); //!< For the other nodes, since the last call

    [[nodiscard]] RetryState                retryState(core::Timestamp now) const; //!< Retry budgets of all services
    [[nodiscard]] std::vector<QuotaState>   quotas(core::Timestamp now) const;     //!< State of all workspace quotas
    [[nodiscard]] std::optional<QuotaState> quota(std::string_view workspace,
                                                  core::Timestamp  now) const; //!< Null for a workspace without a quota
    [[nodiscard]] bool                      hasQuotas() const;                //!< Whether some workspace has a quota
    void                                    recordFleetContact(core::Timestamp at); //!< Last contact with other nodes

    ////////////////////////////////////////////////////////////
    /// \brief Return short hashes of instances that failed requests of this node since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::uint32_t> takeFailures();

    ////////////////////////////////////////////////////////////
    /// \brief Process the result of a `Check` step
    ////////////////////////////////////////////////////////////
    void checkEnded(const deployment::Instance& instance, CheckResult result, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Process other nodes' reports on servers that crashed, and on requests that were served after all
    ////////////////////////////////////////////////////////////
    void receiveCrashNews(const deployment::CrashReport& news, core::Timestamp now);

    [[nodiscard]] bool needsRequestIdentity() const;       //!< Whether arrivals and outcomes need `identity`
    [[nodiscard]] deployment::CrashReport takeCrashNews(); //!< For the other nodes, since the last call
    [[nodiscard]] const CrashLedger&      crashes() const; //!< Record of requests during which servers crashed

    [[nodiscard]] std::vector<deployment::Quarantine> takeNewQuarantines(); //!< New or widened since the last call

    ////////////////////////////////////////////////////////////
    /// \brief Set the number of this node's connections to an instance
    ///
    /// \param idle Connections without a request
    /// \param open All open connections
    ////////////////////////////////////////////////////////////
    void setConnectionCounts(const deployment::Instance& instance, unsigned idle, unsigned open);

    ////////////////////////////////////////////////////////////
    /// \brief Process all timeouts that have expired
    ////////////////////////////////////////////////////////////
    void processDue(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return when the next timeout expires; null when none is set
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const;

    ////////////////////////////////////////////////////////////
    /// \brief Move the steps decided since the last call into `steps`, replacing its contents
    ////////////////////////////////////////////////////////////
    void takeSteps(std::vector<Step>& steps);

    ////////////////////////////////////////////////////////////
    /// \brief Return the route in force that matches a request; null when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::HostRoute* findRoute(std::string_view host, std::string_view target) const;

    [[nodiscard]] const deployment::Workspace* findWorkspace(std::string_view key) const; //!< Null for an unknown key

    [[nodiscard]] snapshot::LearnedState
         learned(core::Timestamp now) const;                //!< What this node has learned, for a snapshot
    void applyLearned(const snapshot::LearnedState& state); //!< Start from a snapshot; answers replace its values

    [[nodiscard]] bool                configured() const;   //!< Whether a configuration is in force
    [[nodiscard]] std::size_t         unfinished() const;   //!< Requests without a final answer, held ones included
    [[nodiscard]] const HeldRequests& heldRequests() const; //!< Requests that arrived before the configuration

private:
    struct Attempt
    {
        std::shared_ptr<ServerView> server;        //!< Target server
        core::Timestamp             sentAt{};      //!< Time of the send
        double                      expectedMs{0}; //!< Estimated time to the answer in milliseconds
        double                      unscaledMs{0}; //!< `expectedMs` without the instance's own latency ratio
        double                      crowding{0};   //!< Crowding of the instance at the time of the send
        double                      workMs{0};     //!< Processing time that `expectedMs` was derived from, milliseconds
        double                      crowdedSlowdown{1}; //!< Slowdown of crowded instances assumed at the send
        bool                        trial{false};       //!< Sent against the estimate, to test it
        double                      held{0};            //!< Requests that the instance held then, this one included
        bool                        running{true};      //!< Whether the end of the attempt is still to be reported
        bool pathAtFault{false}; //!< The path was lost meanwhile; the end says nothing about the server
    };

    ////////////////////////////////////////////////////////////
    /// \brief The search for a server: rounds of probes until a good server is found
    ////////////////////////////////////////////////////////////
    struct Search
    {
        bool                                     active{false};    //!< Whether the search is in progress
        bool                                     pausing{false};   //!< Whether the search pauses between two rounds
        core::Timestamp                          endsAt{};         //!< End of the current round or pause
        unsigned                                 pendingProbes{0}; //!< Unanswered probes of the current round
        std::vector<ServerView*>                 asked;         //!< Servers probed so far, not to be probed again yet
        std::vector<std::shared_ptr<ServerView>> probes;        //!< Probed servers; probe number 1 is the first
        std::size_t                              roundStart{0}; //!< Probes sent before the current round
        unsigned furtherRounds{0};                              //!< Rounds started although a usable server was found
    };

    struct Request
    {
        deployment::HostRoute        route;              //!< Route as of the arrival
        std::shared_ptr<ServicePool> pool;               //!< Service that the request is sent to
        std::string                  workspace;          //!< Workspace of the caller's key; empty without one
        core::Timestamp              firstByteAt{};      //!< When the first byte of the request arrived
        core::Timestamp              admittedAt{};       //!< When the complete request was decided about
        core::Timestamp              firstTriedAt{};     //!< Estimated time of the caller's first try
        core::Timestamp              deadline{};         //!< Deadline of the final answer
        core::Timestamp              callerDeadline{};   //!< When the caller stops waiting
        core::Timestamp              wakeAt{};           //!< Next timeout of the request
        std::vector<Attempt>         attempts;           //!< Attempts in order of their numbers, from 1
        std::vector<ServerView*>     triedServers;       //!< Servers of the attempts
        Search                       search;             //!< Current or last search for a server
        unsigned                     sends{0};           //!< Attempts that may have reached a server
        bool                         mayHaveRun{false};  //!< Whether the outcome of some attempt is unknown
        unsigned                     fallbackAttempt{0}; //!< Attempt whose failed answer is returned if none succeeds
        core::Timestamp              noHedgeUntil{};     //!< No hedge is sent before this time
        bool                         callerGone{false};  //!< Whether the caller has disconnected
        core::Duration               retryAfter{};       //!< Longest Retry-After of the servers' answers
        std::uint32_t                draw{0};            //!< Random number of the search, for choices made once
        unsigned                     rank{0};            //!< More urgent ranks that recently used the service
        double                       returning{0};       //!< Probability that the caller was refused before, 0 to 1

        std::optional<deployment::RequestIdentity> identity; //!< Identity, if it is known
        bool firstOnConnection{false};                       //!< No earlier request arrived on the caller's connection
    };

    /// \brief Decision about a request for which a server was chosen
    enum class Admission
    {
        Admit, //!< It is sent
        Trial, //!< It is sent to test the estimates, which would refuse it
        Refuse //!< It is refused
    };

    /// \brief A request whose connection closed, while it is unknown whether the server crashed
    struct LostRequest
    {
        deployment::RequestIdentity identity;
        core::Timestamp             sentAt;
        core::Timestamp             lostAt;
    };

    /// \brief Replace the instances of all services; return whether a service is new
    [[nodiscard]] bool                  applyAll(const deployment::DeclaredState& declared, core::Timestamp now);
    /// \brief Apply the changed and removed instances only; return whether a service is new
    [[nodiscard]] bool                  applyChanges(const deployment::DeclaredState& declared, core::Timestamp now);
    const std::shared_ptr<ServicePool>& poolOf(const std::string& service); //!< Created on first use
    void                                seedWorkEstimates();
    [[nodiscard]] core::Timestamp       holdUntil(const Arrival& arrival, core::Timestamp now) const;
    void                                hold(Ticket ticket, const Arrival& arrival, core::Timestamp now);
    void                                refuseHeld(core::Timestamp now);
    void                                admitHeld(core::Timestamp now);
    /// \brief Refuse a request without a valid key or beyond its quota; return whether it is refused
    [[nodiscard]] bool refusedByKey(Ticket ticket, const Arrival& arrival, const deployment::HostRoute& route,
                                    const quotas::ReturnSign& sign, core::Timestamp now);
    /// \brief Estimate whether the caller of a request was refused before
    [[nodiscard]] quotas::ReturnSign estimateReturn(const Arrival& arrival, const deployment::HostRoute& route,
                                                    core::Timestamp now);
    /// \brief Refuse a request that can't be answered before the process ends; return whether it is refused
    [[nodiscard]] bool               refusedForStop(Ticket ticket, const Request& request, core::Timestamp now);
    [[nodiscard]] static Refusal     stopRefusal();
    void                             recordAnswerTime(const Request& request, core::Timestamp now);
    void                             forgetAnswerTimes(); //!< Of routes that are not in force
    /// \brief Choose the service of a route's split for the next request
    [[nodiscard]] std::shared_ptr<ServicePool> choosePool(const deployment::HostRoute& route);
    /// \brief Refuse a request that gets no room in its service; return whether it is refused
    [[nodiscard]] bool        refusedForRoom(Ticket ticket, const Request& request, core::Timestamp now);
    /// \brief Decide whether a request is refused for load, and record the decision in the pressure of its service
    [[nodiscard]] Admission   admissionOf(const Request& request, const Choice& choice, core::Timestamp now) const;
    /// \brief Return whether the estimates let a request through; they only judge whether it can be in time
    [[nodiscard]] bool        estimatesAdmit(const Request& request, const Choice& choice, core::Timestamp now) const;
    /// \brief Return whether a request that the estimates refuse is sent all the same, to test them
    [[nodiscard]] static bool mayBecomeTrial(const Request& request, bool hasRoom, core::Timestamp now);
    /// \brief Return whether a request may be sent to a server, judged by this server's load alone
    [[nodiscard]] bool        isAdmissible(const Request& request, const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] static bool exceedsDeadline(const Request& request, const Choice& choice, core::Timestamp now);
    [[nodiscard]] static bool mayBeInTime(const Request& request, core::Timestamp now);
    [[nodiscard]] static bool delaysMoreUrgent(const Request& request, const ServerView& server, core::Timestamp now);
    [[nodiscard]] bool        maySendAgain(Request& request, core::Timestamp now);
    [[nodiscard]] bool        sendAgain(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now);
    void                      startSearch(Ticket ticket, Request& request, core::Timestamp now);
    void                      beginRound(Ticket ticket, Request& request, core::Timestamp now);
    void                      searchFurther(Ticket ticket, Request& request, core::Timestamp now);
    void                      endRound(Ticket ticket, Request& request, core::Timestamp now);
    void                      finishSearch(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now);
    [[nodiscard]] bool        isGood(const Request& request, const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] bool        looksGood(const Request& request, double finishMs) const;
    [[nodiscard]] static bool worthFurtherRound(const Request& request);
    [[nodiscard]] bool        isFresh(const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] bool        meetsTarget(const Request& request, double finishMs, core::Timestamp now) const;
    void forward(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now, bool trial = false);
    void learnOutcome(Request& request, Attempt& attempt, const Outcome& outcome, core::Timestamp now);
    void learnLatency(Request& request, const Attempt& attempt, double latencyMs, core::Timestamp now);
    /// \brief Remember a request whose connection closed and check whether its server crashed
    void checkAfterLoss(const std::shared_ptr<const deployment::Instance>& instance, const LostRequest& lostRequest);
    void lateSendEnded(Ticket ticket, unsigned attempt, const Outcome& outcome, core::Timestamp now);
    void recordServed(const deployment::RequestIdentity& identity, core::Timestamp now);
    /// \brief Refuse a request that is quarantined or has a trial in flight; return whether it is refused
    [[nodiscard]] bool refuseIfQuarantined(Ticket ticket, const Request& request, core::Timestamp now);
    /// \brief Return whether a request with the same content is in flight after crashes during such requests
    [[nodiscard]] bool identicalRequestInFlight(const Request& request) const;
    /// \brief Return whether too many servers crashed during a request for it to be sent again
    [[nodiscard]] bool mayEndAnotherServer(const Request& request, core::Timestamp now) const;
    void               recordFailure(ServicePool& pool, const ServerView& server, core::Timestamp now);
    void recordFailureReport(ServicePool& pool, const deployment::ServerFailure& failure, core::Timestamp now);
    void learnLimit(ServicePool& pool, ServerView& server, double perSecond, core::Timestamp now);
    /// \brief Add the limit of a server and `sent` requests to the news for the other nodes
    void addLimitNews(const ServerView& server, double sent, core::Timestamp now);
    void learnLoad(ServicePool& pool, ServerView& server, const Outcome& outcome, core::Timestamp now);
    /// \brief Give the final answer when no attempt succeeded and none may follow
    void conclude(Ticket ticket, Request& request, core::Timestamp now);
    void refuse(Ticket ticket, const Refusal& refusal);
    [[nodiscard]] bool              mayDeny(core::Timestamp now) const;
    void                            timeOut(Ticket ticket, Request& request, core::Timestamp now);
    void                            hedge(Ticket ticket, Request& request, core::Timestamp now);
    void                            abandonRunning(Ticket ticket, Request& request, core::Timestamp now);
    void                            scheduleWake(Ticket ticket, Request& request, core::Timestamp now);
    /// \brief Return when a hedge is next considered for a request whose last attempt is running
    [[nodiscard]] core::Timestamp   nextHedgeAt(const Request& request, core::Timestamp now) const;
    /// \brief Set the next timeout of a request, which is always after `now`
    void                            setWake(Ticket ticket, Request& request, core::Timestamp at, core::Timestamp now);
    void                            close(Ticket ticket);
    [[nodiscard]] SelectionCriteria wishOf(const Request& request) const;
    [[nodiscard]] bool   mayRetry(ServicePool& pool, core::Timestamp now);    //!< Whether the budget allows a retry
    void                 recordRetry(ServicePool& pool, core::Timestamp now); //!< Count a retry
    void                 reportRetries(ServicePool&    pool,
                                       core::Timestamp now); //!< Add the use of the retry budget to the news if it is due
    void                 receiveRetryReport(const deployment::LimitReport& news, core::Timestamp now);
    [[nodiscard]] double retryExtra() const; //!< This node's part of the retries beyond `retryRatio`
    static void recordRejection(ServicePool& pool, ServerView& server, const Outcome& outcome, core::Timestamp now);
    /// \brief Whether a rejected request leaves the retry budget to those whose callers have fewer tries left
    [[nodiscard]] bool           leavesBudget(const Request& request, core::Timestamp now) const;
    /// \brief Whether a rejected request is likely to be accepted if its caller sends it again at once
    [[nodiscard]] bool           mayReturnAtOnce(const Request& request, core::Timestamp now) const;
    [[nodiscard]] core::Duration retryAfterRejection(const ServicePool& pool, core::Timestamp now);
    [[nodiscard]] core::Duration retryAfterForTurn(double openness);
    [[nodiscard]] core::Duration retryAfterBackOff(core::Duration backOff);
    [[nodiscard]] core::Duration retryAfterShortage(NoServerReason shortage, const ServicePool& pool,
                                                    core::Timestamp now);
    [[nodiscard]] core::Duration retryAfterWork(const ServicePool& pool, double expectedMs);
    [[nodiscard]] core::Duration retryAfterForRoom(const Request& request);

    Settings                                      m_settings;    //!< Constants
    core::Timestamp                               m_startedAt;   //!< Start time of the node's process
    core::Random                                  m_random;      //!< Source of the random choices
    std::optional<core::Timestamp>                m_confirmedAt; //!< Last confirmation of the configuration
    std::shared_ptr<const deployment::Deployment> m_deployment;  //!< Configuration in force; null before the first
    deployment::RouteTable                        m_routes;      //!< Routes in force
    deployment::KeyTable                          m_keys;        //!< Workspace keys in force
    WorkspaceQuotas                               m_quotas;      //!< Quotas in force
    std::map<std::string, quotas::ReturnEstimator, std::less<>> m_returns; //!< By route
    core::Timestamp                m_stopsAt{core::Timestamp::max()};      //!< End of the process in a planned stop
    AnswerTimes                    m_answerTimes;                          //!< Longest times to recent answers
    std::optional<core::Timestamp> m_refusedAt;                            //!< Last refusal of a caller that may return
    bool                           m_refused{false}; //!< Whether a caller was refused since the last request
    std::shared_ptr<ServerLives>   m_lives{std::make_shared<ServerLives>()};   //!< What servers have said of themselves
    std::unordered_map<std::string, std::shared_ptr<ServicePool>> m_pools;     //!< By service
    std::unordered_map<std::string, std::vector<double>>     m_splitCredits;   //!< Credit of each split part, by route
    std::uint32_t                                            m_searchCount{0}; //!< Searches started so far
    unsigned                                                 m_nodes{1};       //!< Nodes that share the budgets
    std::unordered_map<Ticket, Request>                      m_requests;       //!< Unfinished requests
    std::set<std::pair<core::Timestamp, Ticket>>             m_wakeTimes;      //!< Timeouts in order of expiry
    bool                                                     m_startedFromSnapshot{false}; //!< Or without one
    HeldRequests                                             m_heldRequests;    //!< Arrived before the configuration
    std::vector<std::uint32_t>                               m_failedInstances; //!< For `takeFailures`
    std::vector<std::shared_ptr<const deployment::Instance>> m_suspects;        //!< For `takeSuspects`
    std::vector<WarmUpChange>                                m_warmUpChanges;   //!< For `takeWarmUpChanges`
    std::vector<NoticeChange>                                m_noticeChanges;   //!< For `takeNoticeChanges`
    std::vector<LimitChange>                                 m_limitChanges;    //!< For `takeLimitChanges`
    std::vector<deployment::LimitReport>                     m_limitNews; //!< For `takeLimitNews`, one per instance
    std::vector<Step>                                        m_steps;     //!< For `takeSteps`
    CrashLedger                                              m_crashes;   //!< Requests during which servers crashed
    LateSends                                                m_lateSends; //!< Left running after their requests' ends
    std::map<std::string, std::vector<LostRequest>> m_pendingChecks; //!< Lost requests awaiting a check, by instance
    deployment::CrashReport                         m_crashNews;     //!< For `takeCrashNews`
};

} // namespace sailpath::balance

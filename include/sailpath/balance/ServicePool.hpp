#pragma once

#include <sailpath/balance/CallerElapsedEstimator.hpp>
#include <sailpath/balance/Pressure.hpp>
#include <sailpath/balance/ProbeBudget.hpp>
#include <sailpath/balance/RetryWindow.hpp>
#include <sailpath/balance/ServerLives.hpp>
#include <sailpath/balance/ServerSubset.hpp>
#include <sailpath/balance/ServerView.hpp>
#include <sailpath/balance/WarmUpLimit.hpp>
#include <sailpath/balance/WorkEstimator.hpp>
#include <sailpath/balance/admission/ServiceAdmission.hpp>
#include <sailpath/balance/retry/FleetBudget.hpp>
#include <sailpath/balance/retry/RejectionMonitor.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/ServerFailure.hpp>
#include <sailpath/snapshot/LearnedState.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Conditions and preferences for the choice of a server
////////////////////////////////////////////////////////////
struct SelectionCriteria
{
    std::string_view             route;                    //!< Name of the route, for its usual processing time
    bool                         repeatable{false};        //!< Whether a failed attempt may be followed by another one
    std::span<ServerView* const> tried;                    //!< Servers that were already sent the request
    bool                         firstRound{false};        //!< Whether nothing was probed for this request yet
    std::span<const std::shared_ptr<ServerView>> probed{}; //!< Servers probed for this request, also outside the subset
    bool           localFirst{false};                      //!< Prefer servers of this node's data centre to all others
    core::Duration maxReportAge{core::Duration::max()};    //!< Only servers with a load report of at most this age
    std::uint32_t  draw{0}; //!< Random number of the request, so that a chance per server is drawn once
    unsigned       rank{0}; //!< Number of more urgent ranks with recent requests; see `countMoreUrgentRanks`
    bool           allowLeaving{false}; //!< Whether a leaving server may be chosen if no other can
};

////////////////////////////////////////////////////////////
/// \brief A chosen server and the time that it is expected to take
////////////////////////////////////////////////////////////
struct Choice
{
    std::shared_ptr<ServerView> server;      //!< Null if no server may be chosen
    double                      finishMs{0}; //!< Estimated time to the answer, milliseconds
    double                      crowding{0}; //!< How nearly all its slots are taken with the request, 0 to 1
};

////////////////////////////////////////////////////////////
/// \brief Reason why no instance of a service may be sent a request
///
/// If the instances have different reasons, the one that usually ends first, which is the first in this order.
////////////////////////////////////////////////////////////
enum class NoServerReason
{
    Other,     //!< Some instance has none of the following reasons
    Evacuated, //!< All instances are in evacuated data centres
    Limited,   //!< Instances limit their rate, and the nodes use it up
    Cold,      //!< Instances are cold, and other nodes use up their rate
    BackOff,   //!< The instances asked for no requests for a while
    Leaving    //!< The instances announced that they leave
};

////////////////////////////////////////////////////////////
/// \brief Recent activity of a route that sends requests to a service
////////////////////////////////////////////////////////////
struct RouteActivity
{
    unsigned               rank{0};         //!< Priority; lower ranks are more urgent
    core::Duration         targetLatency{}; //!< Time within which an answer is wanted
    core::Timestamp        lastRequestAt{}; //!< Time of the last request
    CallerElapsedEstimator callerElapsed;   //!< Estimates how long its callers have been trying
};

////////////////////////////////////////////////////////////
/// \brief State that one node keeps of one service: its instances, their load, its retry budget
////////////////////////////////////////////////////////////
class ServicePool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a pool without instances
    ///
    /// \param settings  Constants; must outlive the pool
    /// \param lives     What servers have said of themselves, listed or not
    /// \param startedAt Start of this process
    ////////////////////////////////////////////////////////////
    ServicePool(std::string name, const Settings& settings, std::shared_ptr<ServerLives> lives,
                core::Timestamp startedAt);

    void setRule(const deployment::ServiceRule& rule, unsigned nodes); //!< Apply the declared rule of the service
    /// \brief Set the connections that one instance takes from all nodes
    void setConnectionLimit(unsigned instanceLimit, unsigned nodes);

    ////////////////////////////////////////////////////////////
    /// \brief Replace the instances of the service; those that remain keep their state
    ///
    /// \param evacuated Data centres whose instances get no requests
    ////////////////////////////////////////////////////////////
    void setInstances(std::vector<deployment::Instance> instances, core::Timestamp now,
                      const std::set<std::string>& evacuated = {});

    ////////////////////////////////////////////////////////////
    /// \brief Add an instance, or update it if its announcement changed
    ///
    /// \param evacuated Data centres whose instances get no requests
    ////////////////////////////////////////////////////////////
    void upsert(deployment::Instance instance, core::Timestamp now, const std::set<std::string>& evacuated);

    void remove(const std::string& id); //!< Remove an instance
    /// \brief Set the data centres whose instances get no requests
    void setEvacuated(const std::set<std::string>& evacuated, core::Timestamp now);

    [[nodiscard]] std::uint64_t       examinedCount() const; //!< Servers examined in searches since the start
    [[nodiscard]] const ServerSubset& subset() const;        //!< Servers that this node considers first

    /// \brief Set the short hashes of all nodes, which share the warm-up limit
    void setMembers(std::span<const std::uint32_t> members);

    ////////////////////////////////////////////////////////////
    /// \brief Choose the server with the least expected cost, mostly the time to its answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Choice choose(const SelectionCriteria& criteria, core::Timestamp now, core::Random& random) const;

    void recordSent(ServerView& server, core::Timestamp now); //!< Record a request sent to a server of the pool

    ////////////////////////////////////////////////////////////
    /// \brief Select servers to probe for their load, the most promising first
    ///
    /// \param excluded Servers not to be probed
    /// \param maxCount Largest number of servers returned
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::shared_ptr<ServerView>> selectProbeTargets(const SelectionCriteria&     criteria,
                                                                              std::span<ServerView* const> excluded,
                                                                              std::size_t maxCount, core::Timestamp now,
                                                                              core::Random& random) const;

    [[nodiscard]] bool takeProbe(core::Timestamp now); //!< Count a probe if the budget allows one
    /// \brief Whether the service has a health path and its servers may report their load
    [[nodiscard]] bool mayProbe() const;

    ////////////////////////////////////////////////////////////
    /// \brief Record a request for the service
    ///
    /// \param timeLeft Remaining time that its caller states; null if it states none
    ///
    /// \return Time since the first attempt of its caller; 0 if it cannot be estimated
    ////////////////////////////////////////////////////////////
    core::Duration recordArrival(const deployment::HostRoute& route, std::optional<core::Duration> timeLeft,
                                 core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a node of the fleet saw an instance fail a request; other services are ignored
    ///
    /// \return The instance if this makes it a suspect; null otherwise
    ////////////////////////////////////////////////////////////
    std::shared_ptr<const deployment::Instance> recordRemoteFailure(const deployment::ServerFailure& failure,
                                                                    core::Timestamp                  now);

    void addLearned(snapshot::LearnedState& to,
                    core::Timestamp         now) const;          //!< Append what this node has learned of the service
    void startFrom(const snapshot::LearnedState& state); //!< Start from a snapshot; answers replace its values

    void forgetPathFailures(); //!< Drop what was concluded while this node could not reach servers
    void recordAdmitted(unsigned rank, core::Timestamp now); //!< A request that could be in time was sent
    /// \brief A request that could be in time was rejected because of load
    void recordRejected(unsigned rank, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Whether requests of this or a more urgent rank that could be in time were rejected recently
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool underPressure(unsigned rank, core::Timestamp now) const;

    /// \brief Whether `underPressure`, and more requests are rejected than admitted
    [[nodiscard]] bool underHighPressure(unsigned rank, core::Timestamp now) const;

    /// \brief Routes that sent requests, by name
    [[nodiscard]] const std::unordered_map<std::string, RouteActivity>& routes() const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the milliseconds until a request of the route sent now is answered by the server
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMs(const ServerView& server, std::string_view route, core::Timestamp now) const;

    /// \brief See `ServerView::wouldLoseThroughput`
    [[nodiscard]] bool wouldLoseThroughput(const ServerView& server, core::Timestamp now) const;

    void
    recordProbeResult(bool good); //!< Record whether a probed server was good: expected to answer at its usual speed
    [[nodiscard]] double goodShare() const;   //!< Share of recently probed servers that were good
    void                 recordMissingLoad(); //!< An answer carried no load report

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a load report
    ///
    /// \param slowdown      Processing time relative to the usual one
    /// \param otherRequests Requests of other nodes at the instance; null if unknown
    ////////////////////////////////////////////////////////////
    void learnLoad(double slowdown, std::optional<double> otherRequests);

    [[nodiscard]] WorkEstimator&                     work();              //!< Usual values of its instances
    [[nodiscard]] const WorkEstimator&               work() const;        //!< Usual values of its instances
    [[nodiscard]] admission::ServiceAdmission&       admission();         //!< How much work it is given, and whose
    [[nodiscard]] const admission::ServiceAdmission& admission() const;   //!< How much work it is given, and whose
    [[nodiscard]] RetryWindow&                       retries();           //!< This node's part of the retry budget
    [[nodiscard]] const RetryWindow&                 retries() const;     //!< This node's part of the retry budget
    [[nodiscard]] retry::FleetBudget&                fleetBudget();       //!< Use of the retry budget by all nodes
    [[nodiscard]] const retry::FleetBudget&          fleetBudget() const; //!< Use of the retry budget by all nodes
    [[nodiscard]] const retry::RejectionMonitor&     rejections() const;  //!< Rejections by its instances
    [[nodiscard]] retry::RejectionMonitor&           rejections();        //!< Rejections by its instances
    [[nodiscard]] const std::string&                 name() const;        //!< Name of the service
    [[nodiscard]] const std::string&                 healthPath() const;  //!< Path that probes request
    [[nodiscard]] std::size_t                        size() const;        //!< Number of instances that may get requests
    [[nodiscard]] std::size_t evacuated() const;                      //!< Number of instances in evacuated data centres
    void                      markLimited();                          //!< An instance stated a limit
    [[nodiscard]] bool hasLimitedInstance(core::Timestamp now) const; //!< Whether a limit is in force for any instance
    [[nodiscard]] NoServerReason noServerReason(core::Timestamp now) const; //!< Why no instance may be sent a request

    ////////////////////////////////////////////////////////////
    /// \brief Return the time until the first back-off of an instance ends; 0 if none is in force
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration              shortestBackOff(core::Timestamp now) const;
    [[nodiscard]] std::shared_ptr<ServerView> find(std::uint32_t lifeHash) const; //!< By `lifeHash`; null if unknown
    /// \brief Count the more urgent ranks that sent requests recently
    [[nodiscard]] unsigned                    countMoreUrgentRanks(unsigned rank, core::Timestamp now) const;
    /// \brief Highest openness among the limited instances; see `SharedLimit::openness`
    [[nodiscard]] double                      openness(core::Timestamp now) const;

    void addLimits(std::vector<LimitState>& all, core::Timestamp now) const; //!< Append the limits in force
    /// \brief Append up to `most` drawn instances other than one
    void drawInstances(const deployment::Instance& except, std::size_t most, core::Random& random,
                       std::vector<std::shared_ptr<const deployment::Instance>>& drawn) const;
    void addNotices(std::vector<NoticeInForce>& all, core::Timestamp now) const;     //!< Append the notices in force
    [[nodiscard]] std::shared_ptr<ServerView> find(std::string_view instance) const; //!< By id; null if unknown

private:
    [[nodiscard]] static NoServerReason noServerReasonOf(const ServerView& server, core::Timestamp now);
    [[nodiscard]] bool maySuspectOneMore(core::Timestamp now) const; //!< Whether few enough servers are suspects

    using Ranking = std::vector<std::pair<double, std::shared_ptr<ServerView>>>; //!< Servers with their costs

    /// \brief Now and then move a newcomer or cold server to the last of the first `maxCount` places
    void promoteNewcomer(Ranking& ranked, const SelectionCriteria& criteria, std::size_t maxCount, core::Timestamp now,
                         core::Random& random) const;
    [[nodiscard]] bool        isSendCandidate(const ServerView& server, const SelectionCriteria& criteria,
                                              core::Timestamp now) const;
    [[nodiscard]] bool        isProbeCandidate(const ServerView& server, const SelectionCriteria& criteria,
                                               core::Timestamp now) const;
    [[nodiscard]] bool        warmUpAllows(const ServerView& server, core::Timestamp now) const;
    [[nodiscard]] bool        limitAllows(const ServerView& server, const SelectionCriteria& criteria,
                                          core::Timestamp now) const;
    [[nodiscard]] bool        isEligible(const ServerView& server, const SelectionCriteria& criteria) const;
    /// \brief Whether the notices of the instance allow a request; `allowLeaving` also admits one that leaves, for
    ///        `Settings::leavingGrace`
    [[nodiscard]] bool        noticesAllow(const ServerView& server, bool allowLeaving, core::Timestamp now) const;
    [[nodiscard]] Choice      chooseAmong(const SelectionCriteria& criteria, bool allowLeaving, core::Timestamp now,
                                          core::Random& random) const;
    void                      add(deployment::Instance instance, bool isJoining, core::Timestamp now);
    [[nodiscard]] static bool reportedWithin(const ServerView& server, core::Duration age, core::Timestamp now);
    [[nodiscard]] bool        isLocal(const ServerView& server) const;
    [[nodiscard]] double      cost(const ServerView& server, const SelectionCriteria& criteria, double workMs,
                                   core::Timestamp now) const;

    std::string                                                    m_name;     //!< Name of the service
    const Settings&                                                m_settings; //!< Constants
    std::unordered_map<std::string, std::shared_ptr<ServerView>>   m_byId;     //!< All instances by id
    std::unordered_map<std::uint32_t, std::shared_ptr<ServerView>> m_byHash;   //!< All instances by `lifeHash`
    std::shared_ptr<ServerLives> m_lives;                   //!< What servers have said of themselves, listed or not
    double                       m_failureObservations{0};  //!< Decaying count of failures that nodes saw
    core::Timestamp              m_failureObservationsAt{}; //!< Time of the last change of `m_failureObservations`
    std::vector<std::shared_ptr<ServerView>> m_servers;     //!< Instances that may get requests
    ServerSubset                             m_subset;      //!< Those of `m_servers` that this node considers first
    retry::FleetBudget                       m_fleetBudget; //!< Use of the retry budget by all nodes
    retry::RejectionMonitor                  m_rejections;  //!< Rejections by its instances
    RetryWindow                              m_retries;     //!< This node's part of the retry budget
    std::string                              m_healthPath;  //!< Path that probes request
    bool                                     m_reportsLoad{false};    //!< Whether any answer carried a load report
    unsigned                                 m_answersWithoutLoad{0}; //!< Answers without a load report
    unsigned                                 m_nodeCount{1};          //!< Nodes that share the probe budget
    unsigned      m_connectionLimit{0}; //!< Largest number of this node's connections to one instance; 0 for no limit
    ProbeBudget   m_probes;             //!< Probe budget of this node
    WorkEstimator m_work;               //!< Usual values of its instances
    admission::ServiceAdmission                    m_admission; //!< How much work it is given, and whose
    std::map<unsigned, Pressure>                   m_pressure;  //!< Overload by rank
    std::unordered_map<std::string, RouteActivity> m_routes;    //!< Routes that sent requests, by name
    mutable WarmUpLimit   m_warmUpLimit; //!< Which nodes may send to cold instances; mutable, as it caches ranks
    mutable bool          m_mayBeLimited{false};  //!< Whether an instance may be limited; recomputed while true
    core::Duration        m_warmUp{};             //!< Declared warm-up time of an instance
    double                m_goodShare{0.5};       //!< Share of recently probed servers that were good
    mutable std::uint64_t m_examinedCount{0};     //!< Servers examined in searches since the start
    std::size_t           m_evacuated{0};         //!< Number of instances in evacuated data centres
    std::set<std::string> m_evacuatedDataCentres; //!< Evacuated data centres
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/balance/Baseline.hpp>
#include <sailpath/balance/LifeRecord.hpp>
#include <sailpath/balance/LimitState.hpp>
#include <sailpath/balance/Load.hpp>
#include <sailpath/balance/NoticeState.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/SharedLimit.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief State that one node keeps of one instance: load, speed, failures, limits and notices
////////////////////////////////////////////////////////////
class ServerView
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the view of an instance of which only the announcement is known, and what it has said before
    ///
    /// \param life Shared by all views of the same life
    ////////////////////////////////////////////////////////////
    ServerView(deployment::Instance instance, const Settings& settings, std::shared_ptr<LifeRecord> life,
               core::Timestamp now);

    void markJoined(); //!< Mark the instance as added to a service that already had servers
    /// \brief Take over a newer announcement of the same life of the instance
    void update(deployment::Instance instance, core::Timestamp now);

    void retire();   //!< Mark the instance as removed from its service: a search in progress must not choose it
    void evacuate(); //!< Mark the data centre as evacuated: the instance gets no requests until `reinstate`

    ////////////////////////////////////////////////////////////
    /// \brief End the evacuation of the data centre; the instance may have turned cold meanwhile
    ///
    /// \param warmUp Time from now for which the instance is taken for cold unless it states otherwise
    ////////////////////////////////////////////////////////////
    void reinstate(core::Duration warmUp, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Take over the remaining warm-up time that the instance states; 0 if it is warm
    ///
    /// \return Whether this changes the state known so far
    ////////////////////////////////////////////////////////////
    bool updateWarmUp(core::Duration left, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Take over the limit that the instance states, in requests a second from all nodes together
    ///
    /// \param at        Time of the statement; earlier than `now` if another node passed it on
    /// \param doublings Initial value if no limit was known: see `SharedLimit`
    ///
    /// \return Whether this changes the state known so far
    ////////////////////////////////////////////////////////////
    bool updateLimit(double perSecond, core::Timestamp at, double doublings, core::Timestamp now);

    /// \brief Pass to `SharedLimit::sentElsewhere` if a limit is known
    void sentElsewhere(double requests, double doublings, core::Timestamp now);

    void recordAccepted(core::Timestamp sentAt); //!< The instance answered a request that was sent at that time
    void recordSent(core::Timestamp now);        //!< A request was sent
    void recordEnd(core::Timestamp now);         //!< A request ended
    void recordReport(const Load& load, core::Timestamp now); //!< A load report arrived
    /// \brief A successful answer arrived; `trial`: its request was sent to test the estimate
    void recordAnswer(double latencyMs, double expectedMs, bool trial, core::Timestamp now);
    /// \brief An attempt was abandoned after that time
    void recordOverdue(double elapsedMs, double expectedMs, core::Timestamp now);
    void recordFailure(core::Timestamp now);   //!< An attempt failed because of the server
    void forgetFailures();                     //!< The path to the server was at fault, not the server
    void recordRejection(core::Timestamp now); //!< The server rejected a request because of load

    ////////////////////////////////////////////////////////////
    /// \brief Record that a node of the fleet saw the instance fail a request
    ///
    /// \param node         Short hash of that node
    /// \param observations Decaying count of such failures over all instances of the service, this one included
    /// \param serverCount  Instances of the service
    ///
    /// \return Whether the instance should now be marked as suspect
    ////////////////////////////////////////////////////////////
    bool recordRemoteFailure(std::uint32_t node, double observations, std::size_t serverCount, core::Timestamp now);

    /// \brief Avoid the instance for a while, longer if the last suspicion ended recently
    void markSuspect(core::Timestamp now);

    void setIdleConnections(unsigned count); //!< Set the number of idle connections to the instance
    void setOpenConnections(unsigned count); //!< Set the number of connections to the instance, busy ones included

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the milliseconds until a request sent now is answered
    ///
    /// \param workMs   Usual processing time of such a request, milliseconds
    /// \param baseline Usual values of the service; assumed without a fresh load report
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMs(double workMs, const Baseline& baseline, core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return how nearly all slots would be taken with one more request, 0 to 1
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double crowding(double otherRequests, core::Timestamp now) const;

    /// \brief Whether one more request delays no other, as far as is known
    [[nodiscard]] bool hasRoom(double otherRequests, core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the total throughput with one more request would be no higher than with fewer requests
    ///
    /// \param baseline Usual values of the service: how much slower a crowded instance is
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool wouldLoseThroughput(const Baseline& baseline, core::Timestamp now) const;

    /// \brief Estimate the requests of all nodes at the instance
    [[nodiscard]] double occupancy(double otherRequests, core::Timestamp now) const;

    [[nodiscard]] double failureShare(core::Timestamp now) const; //!< Share of recent attempts that failed
    [[nodiscard]] bool   isSuspect(core::Timestamp now) const;    //!< Whether several nodes recently saw it fail
    [[nodiscard]] bool   isNewcomer() const; //!< Whether it joined and has sent no load report since its warm-up
    [[nodiscard]] bool   retired() const;    //!< Whether it was removed from its service
    [[nodiscard]] bool   evacuated() const;  //!< Whether its data centre is evacuated
    [[nodiscard]] bool   cold(core::Timestamp now) const; //!< Whether it is, or may be, in its warm-up
    /// \brief Whether it is taken for cold without its own statement
    [[nodiscard]] bool   coldUnconfirmed(core::Timestamp now) const;

    /// \brief Whether it may be sent one request while cold, at `perSecond` requests a second
    [[nodiscard]] bool   hasColdToken(double perSecond, core::Timestamp now) const;
    void                 takeColdToken(double perSecond, core::Timestamp now); //!< Count a request sent while cold
    [[nodiscard]] bool   ejected(core::Timestamp now) const; //!< Whether it is ejected after failures in a row
    /// \brief Decaying count of requests sent by this node, about those of the last half second
    [[nodiscard]] double recentRequests(core::Timestamp now) const;

    [[nodiscard]] const SharedLimit* limit(core::Timestamp now) const; //!< Null if no limit is in force
    [[nodiscard]] const NoticeState& notices() const;            //!< Notices that the instance sent: leaving, back-off
    [[nodiscard]] double reportAgeMs(core::Timestamp now) const; //!< Age of the last load report; negative without one
    [[nodiscard]] std::optional<double> reportedOtherRequests() const; //!< Other nodes' requests as of the last report

    [[nodiscard]] const std::shared_ptr<const deployment::Instance>& instance() const; //!< Last announcement
    [[nodiscard]] unsigned inFlight() const;                        //!< Requests of this node in progress there
    [[nodiscard]] unsigned openConnections() const;                 //!< Connections of this node to it
    [[nodiscard]] unsigned idleConnections() const;                 //!< Those of these connections that are idle
    [[nodiscard]] double   latencyRatio(core::Timestamp now) const; //!< Observed over expected latency

private:
    [[nodiscard]] double currentSlowdown(double baseline, core::Timestamp now) const;
    [[nodiscard]] double decayedLatencyRatio(core::Timestamp now) const;
    void                 learnLatencyRatio(double observedRatio, double gain, core::Timestamp now);

    struct Report
    {
        Load            load;            //!< Load report as received
        double          otherRequests{}; //!< Requests of other nodes: the reported ones less this node's
        core::Timestamp at{};            //!< Time of arrival
    };

    const Settings&                             m_settings;         //!< Constants
    std::shared_ptr<const deployment::Instance> m_instance;         //!< Last announcement
    std::shared_ptr<LifeRecord>                 m_life;             //!< What the instance has said of itself
    bool                                        m_retired{false};   //!< Whether it was removed from its service
    bool                                        m_evacuated{false}; //!< Whether its data centre is evacuated
    double          m_coldTokens{1};      //!< Token bucket of size 1 for requests sent while cold
    core::Timestamp m_coldTokensAt{};     //!< Time of the last change of `m_coldTokens`
    double          m_recentRequests{0};  //!< Decaying count of requests sent by this node, as of `m_recentRequestsAt`
    core::Timestamp m_recentRequestsAt{}; //!< Time of the last request sent
    unsigned        m_inFlight{0};        //!< Requests of this node in progress there
    unsigned        m_idleConnections{0}; //!< Idle connections
    unsigned        m_openConnections{0}; //!< All connections
    std::optional<Report> m_report;       //!< Last load report
    double                m_latencyRatio{1};  //!< Observed over expected latency, as of `m_latencyRatioAt`
    core::Timestamp       m_latencyRatioAt{}; //!< Time of the last observation
    double                m_failures{0};      //!< Share of recent attempts that failed, as of `m_failuresAt`
    core::Timestamp       m_failuresAt{};     //!< Time of the last failure
    std::vector<std::pair<std::uint32_t, core::Timestamp>>
                    m_failureObservers;       //!< Nodes that saw it fail, each with the time of its last observation
    core::Timestamp m_suspectUntil{};         //!< Avoided until this time
    unsigned        m_suspicionDoublings{0};  //!< Doublings of the suspicion period, by suspicions in quick succession
    bool            m_joined{false};          //!< Whether its service already had servers when it was added
    unsigned        m_consecutiveFailures{0}; //!< Failures in a row
    core::Timestamp m_ejectedUntil{};         //!< Ejected until this time
    core::Timestamp m_assumedFullUntil{};     //!< Taken for full until this time, after a rejection
    unsigned        m_consecutiveRejections{0}; //!< Rejections in a row
};

} // namespace sailpath::balance

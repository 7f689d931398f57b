#pragma once

#include <sailpath/balance/Baseline.hpp>
#include <sailpath/balance/WorkEvidence.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/snapshot/LearnedState.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Learns the usual values of the instances of a service from load reports and answers
///
/// Processing times stay between 1 ms and 10 minutes, whatever answers and
/// snapshots say: delays are derived from them, and one of 0 would never pass.
////////////////////////////////////////////////////////////
class WorkEstimator
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start with an assumed processing time
    ////////////////////////////////////////////////////////////
    explicit WorkEstimator(core::Duration initialWork);

    void setInitialEstimate(std::string_view route, double ms); //!< Assume a processing time until answers arrive
    /// \brief Start from a snapshot's value of a route; a few answers replace it. Ignored once answers arrived
    void startFrom(const snapshot::LearnedRoute& route);
    void startFrom(const snapshot::LearnedService& service); //!< Start from a snapshot's values of the service
    /// \brief Append what was learned of the service, with the routes of which enough answers arrived
    void addLearned(const std::string& service, snapshot::LearnedState& to) const;
    void learnOtherRequests(double otherRequests); //!< Learn the number of requests of other nodes from a load report
    void learnSlowdown(double slowdown);           //!< Learn the slowdown from a load report

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a successful answer
    ///
    /// \param expectedMs Time expected of an instance with a latency ratio of 1, milliseconds
    /// \param crowding   Crowding of the instance when the request was sent, 0 to 1
    ////////////////////////////////////////////////////////////
    void learn(std::string_view route, double latencyMs, double expectedMs, double crowding, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Whether to admit a request only to learn the processing time of its route, against the initial estimate
    ///
    /// Such explorations are rare; the interval between them grows until answers arrive.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allowExploration(std::string_view route, core::Timestamp now);

    /// \brief Return the usual processing time of a request of the route, milliseconds; 1 at least
    [[nodiscard]] double ms(std::string_view route) const;

    [[nodiscard]] bool hasLearned(std::string_view route) const; //!< Whether enough answers of the route were seen
    [[nodiscard]] const Baseline& baseline() const;              //!< Recent values over all routes
    [[nodiscard]] WorkEvidence    evidence(std::string_view route, core::Timestamp now) const; //!< For logs and metrics

private:
    struct RouteWork
    {
        double          ms{0};             //!< Usual processing time, milliseconds
        unsigned        answers{0};        //!< Answers learned from
        unsigned        explorations{0};   //!< Requests admitted only to learn
        core::Timestamp nextExploration{}; //!< Earliest time of the next exploration
        core::Timestamp lastAnswer{};      //!< Time of the last answer learned from; the epoch without one
    };

    Baseline m_baseline;          //!< Recent values over all routes
    unsigned m_crowdedAnswers{0}; //!< Answers of crowded instances seen so far
    double   m_uncrowdedRatio{1}; //!< Observed over expected time at instances that are not crowded
    std::unordered_map<std::string, RouteWork> m_routes; //!< By route name
};

} // namespace sailpath::balance

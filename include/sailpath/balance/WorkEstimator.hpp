#pragma once

#include <sailpath/balance/Baseline.hpp>
#include <sailpath/balance/TrialSchedule.hpp>
#include <sailpath/balance/WorkEvidence.hpp>
#include <sailpath/balance/WorkSample.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/snapshot/LearnedState.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Learns the usual values of the instances of a service from load reports and answers
///
/// Each answer implies a processing time by what was assumed when its request
/// was sent, and the usual time moves towards it. So the answers of a burst
/// lead to the time that one of them implies, however many they are.
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

    void learn(std::string_view route, const WorkSample& sample, core::Timestamp now); //!< Learn from an answer

    /// \brief Whether a request may be sent against the estimates, to test them; see `TrialSchedule::due`
    ///
    /// \param hasRoom Whether the chosen server has room
    [[nodiscard]] bool trialDue(std::string_view route, bool hasRoom, core::Timestamp now) const;
    void               recordSent(std::string_view route, bool trial, core::Timestamp now); //!< A request is sent
    void               recordContradiction(std::string_view route); //!< A trial was answered in time

    /// \brief Return the usual processing time of a request of the route, milliseconds; 1 at least
    [[nodiscard]] double ms(std::string_view route) const;

    [[nodiscard]] bool hasLearned(std::string_view route) const; //!< Whether enough answers of the route were seen
    [[nodiscard]] const Baseline& baseline() const;              //!< Recent values over all routes
    [[nodiscard]] WorkEvidence    evidence(std::string_view route, core::Timestamp now) const; //!< For logs and metrics

private:
    /// \brief Processing times implied by the last answers, milliseconds
    struct RecentTimes
    {
        void                 add(double ms);
        [[nodiscard]] double clamp(double ms) const; //!< Bound by the smallest and the largest once there are enough

        std::array<float, 16> times{};
        std::size_t           count{0};
    };

    struct RouteWork
    {
        double          ms{0};        //!< Usual processing time, milliseconds
        unsigned        answers{0};   //!< Answers learned from
        core::Timestamp lastAnswer{}; //!< Time of the last answer learned from; the epoch without one
        TrialSchedule   trials;       //!< Tests of the estimate
        RecentTimes     recent;       //!< What the last answers of instances that were not crowded implied
    };

    [[nodiscard]] RouteWork& workOf(std::string_view route);
    void                     learnCrowding(const WorkSample& sample, double observedRatio);

    Baseline m_baseline;          //!< Recent values over all routes
    unsigned m_crowdedAnswers{0}; //!< Answers of crowded instances seen so far
    double   m_uncrowdedRatio{1}; //!< Observed over expected time at instances that are not crowded
    std::unordered_map<std::string, RouteWork> m_routes; //!< By route name
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/balance/Baseline.hpp>
#include <sailpath/core/Time.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Learns what is usual at the instances of a service, from reports and answers
////////////////////////////////////////////////////////////
class WorkEstimator
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start with a guess of a request's work
    ////////////////////////////////////////////////////////////
    explicit WorkEstimator(core::Duration initialWork);

    void setInitialEstimate(std::string_view route, double ms); //!< A guess, until answers tell
    void learnOtherRequests(double otherRequests);              //!< A report told of others' requests
    void learnSlowdown(double slowdown);                        //!< A report told a pace

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a good answer
    ///
    /// \param plainMs  Time that was expected of an ordinary instance
    /// \param crowding Of the instance, when the request was sent
    ////////////////////////////////////////////////////////////
    void learn(std::string_view route, double latencyMs, double expectedMs, double crowding);

    ////////////////////////////////////////////////////////////
    /// \brief Whether a request is let in to learn what its route's work is, though the guess speaks against it
    ///
    /// True seldom, and ever less often the longer nothing comes of it.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allowExploration(std::string_view route, core::Timestamp now);

    [[nodiscard]] double          ms(std::string_view route) const;         //!< Usual work of a route's request
    [[nodiscard]] bool            hasLearned(std::string_view route) const; //!< Enough answers of the route were seen
    [[nodiscard]] const Baseline& baseline() const;                         //!< Of late, over all routes

private:
    struct RouteWork
    {
        double          ms{0};             //!< Usual work
        unsigned        answers{0};        //!< It was learned from
        unsigned        explorations{0};   //!< Requests that were let in to learn it
        core::Timestamp nextExploration{}; //!< None before
    };

    Baseline m_baseline;                                 //!< Of late
    unsigned m_crowdedAnswers{0};                        //!< Seen so far
    double   m_uncrowdedRatio{1};                        //!< Observed over expected time at instances with room
    std::unordered_map<std::string, RouteWork> m_routes; //!< By name
};

} // namespace sailpath::balance

#include <sailpath/balance/WorkEstimator.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double   otherRequestsGain = 0.05;   // Weight of one load report in the moving average
constexpr double   slowdownGain = 0.03;        // Weight of one load report in the moving average
constexpr double   workGain = 0.05;            // Weight of one answer in the usual processing time
constexpr double   trialGain = 0.75;           // Weight of the answer to a trial
constexpr double   crowdedAbove = 0.5;         // Crowding above which an answer tells the slowdown of crowded instances
constexpr double   crowdedSlowdownGain = 0.03; // Weight of one answer in that slowdown
constexpr double   initialCrowdedSlowdown = 1.4; // Assumed until answers arrive
constexpr double   maxCrowdedSlowdown = 4;
constexpr unsigned minAnswers = 3;          // Answers of a route before its usual processing time is relied on
constexpr unsigned minAnswersToExport = 20; // Answers of a route before others may rely on its processing time
constexpr double   minWorkMs = 1;           // Smallest processing time told apart from none, milliseconds
constexpr double   maxWorkMs = 600'000;     // Largest processing time, milliseconds
constexpr double   minSlowdown = 0.2;       // Smallest slowdown accepted from a snapshot
constexpr double   maxSlowdown = 5;         // Largest slowdown accepted from a snapshot

////////////////////////////////////////////////////////////
/// \brief Return a processing time within the bounds of what can be learned, milliseconds
////////////////////////////////////////////////////////////
double boundedWork(double ms)
{
    return std::clamp(ms, minWorkMs, maxWorkMs);
}

} // namespace

////////////////////////////////////////////////////////////
WorkEstimator::WorkEstimator(core::Duration initialWork) :
m_baseline{boundedWork(core::toMilliseconds(initialWork)), 0, 1, initialCrowdedSlowdown}
{
}

////////////////////////////////////////////////////////////
void WorkEstimator::RecentTimes::add(double ms)
{
    times.at(count % times.size()) = static_cast<float>(ms);
    ++count;
}

////////////////////////////////////////////////////////////
double WorkEstimator::RecentTimes::clamp(double ms) const
{
    if (count < times.size())
        return ms;
    const auto [lowest, highest] = std::minmax_element(times.begin(), times.end());
    return std::clamp(ms, static_cast<double>(*lowest), static_cast<double>(*highest));
}

////////////////////////////////////////////////////////////
WorkEstimator::RouteWork& WorkEstimator::workOf(std::string_view route)
{
    return m_routes.try_emplace(std::string(route), RouteWork{m_baseline.workMs, 0, {}, {}, {}}).first->second;
}

////////////////////////////////////////////////////////////
bool WorkEstimator::trialDue(std::string_view route, bool hasRoom, core::Timestamp now) const
{
    const auto known = m_routes.find(std::string(route));
    if (known == m_routes.end())
        return true;
    const RefusalBasis learned = hasRoom ? RefusalBasis::Estimates : RefusalBasis::Load;
    return known->second.trials.due(known->second.answers < minAnswers ? RefusalBasis::Guess : learned, now);
}

////////////////////////////////////////////////////////////
void WorkEstimator::recordSent(std::string_view route, bool trial, core::Timestamp now)
{
    workOf(route).trials.recordSent(trial, now);
}

////////////////////////////////////////////////////////////
void WorkEstimator::recordContradiction(std::string_view route)
{
    workOf(route).trials.recordContradiction();
}

////////////////////////////////////////////////////////////
void WorkEstimator::setInitialEstimate(std::string_view route, double ms)
{
    const bool   isFirstRoute = m_routes.empty();
    const double bounded = boundedWork(ms);
    if (m_routes.try_emplace(std::string(route), RouteWork{bounded, 0, {}, {}, {}}).second && isFirstRoute)
        m_baseline.workMs = bounded;
}

////////////////////////////////////////////////////////////
void WorkEstimator::startFrom(const snapshot::LearnedRoute& route)
{
    // The comparisons are also false for a value that is not a number.
    const bool valid = route.workMs > 0 && route.workMs <= maxWorkMs;
    if (!valid)
        return;
    RouteWork& work = m_routes.try_emplace(route.route).first->second;
    if (work.answers > 0)
        return;
    // The next answers weigh as much as those after the first ones, so a wrong value is replaced soon.
    work.ms = boundedWork(route.workMs);
    work.answers = minAnswers;
}

////////////////////////////////////////////////////////////
void WorkEstimator::startFrom(const snapshot::LearnedService& service)
{
    m_baseline.slowdown = std::clamp(service.slowdown, minSlowdown, maxSlowdown);
    m_baseline.crowdedSlowdown = std::clamp(service.crowdedSlowdown, 1.0, maxCrowdedSlowdown);
}

////////////////////////////////////////////////////////////
void WorkEstimator::addLearned(const std::string& service, snapshot::LearnedState& to) const
{
    const std::size_t before = to.routes.size();
    for (const auto& [name, work] : m_routes)
    {
        if (work.answers >= minAnswersToExport)
            to.routes.push_back({service, name, work.ms, 0});
    }
    if (to.routes.size() > before)
        to.services.push_back({service, m_baseline.slowdown, m_baseline.crowdedSlowdown, 0});
}

////////////////////////////////////////////////////////////
void WorkEstimator::learnOtherRequests(double otherRequests)
{
    m_baseline.otherRequests += otherRequestsGain * (otherRequests - m_baseline.otherRequests);
}

////////////////////////////////////////////////////////////
void WorkEstimator::learnSlowdown(double slowdown)
{
    m_baseline.slowdown += slowdownGain * (slowdown - m_baseline.slowdown);
}

////////////////////////////////////////////////////////////
void WorkEstimator::learn(std::string_view route, const WorkSample& sample, core::Timestamp now)
{
    const double expectedMs = std::max(minWorkMs, sample.expectedMs);
    RouteWork&   work = workOf(route);
    // An answer cannot have taken longer to process than to arrive.
    const double impliedMs =
        boundedWork(std::min(sample.latencyMs, sample.assumedWorkMs * sample.latencyMs / expectedMs));
    // The first answers weigh more, as the initial value is only the mean of other routes.
    ++work.answers;
    work.lastAnswer = now;
    const bool   crowded = sample.crowding > crowdedAbove && work.answers > minAnswers;
    const double observedRatio = std::clamp(sample.latencyMs / expectedMs, 0.1, 5.0);
    if (crowded)
        learnCrowding(sample, observedRatio);
    else
    {
        m_uncrowdedRatio += crowdedSlowdownGain * (observedRatio - m_uncrowdedRatio);
        work.recent.add(impliedMs);
    }
    // A longer time at a crowded instance is mostly caused by the crowding. A trial is the only recent evidence.
    const double usualGain = crowded ? workGain / 5 : std::max(workGain, 1.0 / (work.answers + 1));
    const double gain = sample.trial ? trialGain : usualGain;
    work.ms = boundedWork(work.recent.clamp(work.ms + gain * (impliedMs - work.ms)));
    m_baseline.workMs += workGain * (work.ms - m_baseline.workMs);
}

////////////////////////////////////////////////////////////
void WorkEstimator::learnCrowding(const WorkSample& sample, double observedRatio)
{
    const double initialShare = 1.0 / (++m_crowdedAnswers + 4);
    const double share = std::max(crowdedSlowdownGain, initialShare);
    const double implied =
        std::clamp(sample.assumedCrowdedSlowdown * observedRatio / m_uncrowdedRatio, 1.0, maxCrowdedSlowdown);
    m_baseline.crowdedSlowdown += share * (implied - m_baseline.crowdedSlowdown);
}

////////////////////////////////////////////////////////////
double WorkEstimator::ms(std::string_view route) const
{
    const auto known = m_routes.find(std::string(route));
    return known == m_routes.end() ? m_baseline.workMs : known->second.ms;
}

////////////////////////////////////////////////////////////
bool WorkEstimator::hasLearned(std::string_view route) const
{
    const auto known = m_routes.find(std::string(route));
    return known != m_routes.end() && known->second.answers >= minAnswers;
}

////////////////////////////////////////////////////////////
WorkEvidence WorkEstimator::evidence(std::string_view route, core::Timestamp now) const
{
    const auto known = m_routes.find(std::string(route));
    if (known == m_routes.end())
        return {m_baseline.workMs, -1};
    const RouteWork& work = known->second;
    return {work.ms, work.lastAnswer == core::Timestamp{} ? -1 : core::toMilliseconds(now - work.lastAnswer)};
}

////////////////////////////////////////////////////////////
const Baseline& WorkEstimator::baseline() const
{
    return m_baseline;
}

} // namespace sailpath::balance

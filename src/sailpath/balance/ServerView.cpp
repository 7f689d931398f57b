#include <sailpath/balance/ServerView.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double   latencyRatioGain = 0.2;         // Weight of one answer in the latency ratio
constexpr double   trialRatioGain = 0.75;          // Weight of the answer to a trial
constexpr double   latencyRatioHalfLifeMs = 15000; // Half-life of the deviation from 1 without further answers
constexpr double   minLatencyRatio = 0.5;          // Lower bound of the latency ratio
constexpr double   maxObservedRatio = 20;          // Upper bound of one observation
constexpr double   coldSlowdown = 1.6;             // Assumed of an instance in its warm-up
constexpr double   failureGain = 0.3;              // Weight of one attempt in the failure share
constexpr double   failureHalfLifeMs = 3000;       // Half-life of the failure share without further attempts
constexpr double   crowdedFrom = 0.7;              // Share of slots taken from which an instance may become slower
constexpr double   idleBelow = 0.5;                // Estimated requests below which a server counts as idle
constexpr unsigned failuresToEject = 2;            // Failures in a row
constexpr auto     firstEjection = std::chrono::milliseconds{800};
constexpr auto     maxEjection = std::chrono::seconds{6};
// Two or more requests of all nodes reach a server in this time.
constexpr auto     observationLife = std::chrono::seconds{4};
// An instance is suspect if its observers exceed this many times the mean of the other instances, plus one. So a node
// with a bad link, which sees all instances fail, makes no instance a suspect.
constexpr double   observerRatio = 3;
constexpr unsigned minObservers = 2; // Observations of a single node are not enough
constexpr auto     firstSuspicion = std::chrono::seconds{8};
// A suspicion within this time after the end of the last one lasts twice as long.
constexpr auto     suspicionMemory = std::chrono::seconds{10};
constexpr unsigned maxSuspicionDoublings = 2;
// Decay time of the count of requests sent before a limit was known: the part of a second that a limit to a third of
// the former rate cannot make up for by itself.
constexpr double   recentDecayMs = 600;
constexpr auto     firstFullPeriod = std::chrono::milliseconds{60};
constexpr auto     maxFullPeriod = std::chrono::milliseconds{1000};

} // namespace

////////////////////////////////////////////////////////////
ServerView::ServerView(deployment::Instance instance, const Settings& settings, std::shared_ptr<LifeRecord> life,
                       core::Timestamp now) :
m_settings(settings),
m_instance(std::make_shared<const deployment::Instance>(std::move(instance))),
m_life(std::move(life)),
m_coldTokensAt(now)
{
    m_life->coldUntil = std::max<core::Timestamp>(m_life->coldUntil, now + m_instance->warmUp);
}

////////////////////////////////////////////////////////////
void ServerView::markJoined()
{
    m_joined = true;
}

////////////////////////////////////////////////////////////
void ServerView::update(deployment::Instance instance, core::Timestamp now)
{
    if (instance.warmUp != m_instance->warmUp)
        m_life->coldUntil = std::max<core::Timestamp>(m_life->coldUntil, now + instance.warmUp);
    m_instance = std::make_shared<const deployment::Instance>(std::move(instance));
}

////////////////////////////////////////////////////////////
void ServerView::retire()
{
    m_retired = true;
}

////////////////////////////////////////////////////////////
bool ServerView::retired() const
{
    return m_retired;
}

////////////////////////////////////////////////////////////
void ServerView::evacuate()
{
    m_evacuated = true;
}

////////////////////////////////////////////////////////////
void ServerView::reinstate(core::Duration warmUp, core::Timestamp now)
{
    m_evacuated = false;
    m_life->coldUntil = std::max<core::Timestamp>(m_life->coldUntil, now + warmUp);
    m_life->coldUnconfirmed = true;
}

////////////////////////////////////////////////////////////
bool ServerView::updateWarmUp(core::Duration left, core::Timestamp now)
{
    const bool wasCold = cold(now);
    m_life->coldUntil = now + left;
    m_life->coldUnconfirmed = false;
    return wasCold != cold(now);
}

////////////////////////////////////////////////////////////
bool ServerView::updateLimit(double perSecond, core::Timestamp at, double doublings, core::Timestamp now)
{
    if (m_life->limit && m_life->limit->hasEnded(now))
        m_life->limit.reset();
    if (!m_life->limit && perSecond == unlimited)
        return false;
    if (!m_life->limit)
    {
        m_life->limit.emplace(doublings, now);
        // The server also counts the requests that it got just before; without them it would get more than it can take.
        const bool changed = m_life->limit->recordLimit(perSecond, at, now);
        m_life->limit->recordSent(recentRequests(now), now);
        return changed;
    }
    return m_life->limit->recordLimit(perSecond, at, now);
}

////////////////////////////////////////////////////////////
void ServerView::sentElsewhere(double requests, double doublings, core::Timestamp now)
{
    if (m_life->limit)
        m_life->limit->recordSentElsewhere(requests, doublings, now);
}

////////////////////////////////////////////////////////////
double ServerView::recentRequests(core::Timestamp now) const
{
    return m_recentRequests * std::exp(-core::toMilliseconds(now - m_recentRequestsAt) / recentDecayMs);
}

////////////////////////////////////////////////////////////
const SharedLimit* ServerView::limit(core::Timestamp now) const
{
    return m_life->limit && !m_life->limit->hasEnded(now) ? &*m_life->limit : nullptr;
}

////////////////////////////////////////////////////////////
void ServerView::recordAccepted(core::Timestamp sentAt)
{
    m_life->notices.recordAccepted(sentAt);
}

////////////////////////////////////////////////////////////
const NoticeState& ServerView::notices() const
{
    return m_life->notices;
}

////////////////////////////////////////////////////////////
void ServerView::recordSent(core::Timestamp now)
{
    ++m_inFlight;
    m_recentRequests = recentRequests(now) + 1;
    m_recentRequestsAt = now;
    m_life->notices.recordSent(now);
    if (m_life->limit)
        m_life->limit->recordSent(1, now);
}

////////////////////////////////////////////////////////////
void ServerView::recordEnd(core::Timestamp)
{
    --m_inFlight;
}

////////////////////////////////////////////////////////////
void ServerView::recordReport(const Load& load, core::Timestamp now)
{
    const double all = load.running + load.waiting;
    m_report = Report{load, std::max(0.0, all - m_inFlight), now};
}

////////////////////////////////////////////////////////////
void ServerView::recordAnswer(double latencyMs, double expectedMs, bool trial, core::Timestamp now)
{
    const double observedRatio = std::min(maxObservedRatio, latencyMs / std::max(1.0, expectedMs));
    learnLatencyRatio(observedRatio, trial ? trialRatioGain : latencyRatioGain, now);
    m_failures -= failureGain * m_failures;
    m_consecutiveFailures = 0;
    m_consecutiveRejections = 0;
    m_ejectedUntil = {};
    m_assumedFullUntil = {};
}

////////////////////////////////////////////////////////////
void ServerView::recordOverdue(double elapsedMs, double expectedMs, core::Timestamp now)
{
    const double observedRatio = std::min(maxObservedRatio, elapsedMs / std::max(1.0, expectedMs));
    if (observedRatio > decayedLatencyRatio(now))
        learnLatencyRatio(observedRatio, latencyRatioGain, now);
}

////////////////////////////////////////////////////////////
void ServerView::learnLatencyRatio(double observedRatio, double gain, core::Timestamp now)
{
    m_latencyRatio = decayedLatencyRatio(now);
    m_latencyRatio += gain * (observedRatio - m_latencyRatio);
    m_latencyRatioAt = now;
}

////////////////////////////////////////////////////////////
double ServerView::decayedLatencyRatio(core::Timestamp now) const
{
    // A server that looks slow gets no requests, and without them nothing else corrects the ratio.
    const double ageMs = std::max(0.0, core::toMilliseconds(now - m_latencyRatioAt));
    return 1 + (m_latencyRatio - 1) * std::exp2(-ageMs / latencyRatioHalfLifeMs);
}

////////////////////////////////////////////////////////////
void ServerView::recordFailure(core::Timestamp now)
{
    m_failures = failureShare(now);
    m_failures += failureGain * (1 - m_failures);
    m_failuresAt = now;
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < failuresToEject)
        return;
    const auto doublings = std::min(m_consecutiveFailures - failuresToEject, 4U);
    m_ejectedUntil = now + std::min<core::Duration>(firstEjection * (1U << doublings), maxEjection);
}

////////////////////////////////////////////////////////////
void ServerView::forgetFailures()
{
    m_failures = 0;
    m_consecutiveFailures = 0;
    m_ejectedUntil = {};
    m_latencyRatio = std::min(m_latencyRatio, 1.0);
}

////////////////////////////////////////////////////////////
bool ServerView::recordRemoteFailure(std::uint32_t node, double observations, std::size_t serverCount,
                                     core::Timestamp now)
{
    std::erase_if(m_failureObservers, [&](const auto& observer)
                  { return observer.first == node || now - observer.second > observationLife; });
    m_failureObservers.emplace_back(node, now);
    const auto   count = static_cast<double>(m_failureObservers.size());
    const auto   otherServers = static_cast<double>(std::max<std::size_t>(serverCount, 2) - 1);
    const double meanPerOther = std::max(0.0, observations - count) / otherServers;
    return m_failureObservers.size() >= minObservers && count > 1 + observerRatio * meanPerOther && !isSuspect(now);
}

////////////////////////////////////////////////////////////
void ServerView::markSuspect(core::Timestamp now)
{
    const bool again = m_suspectUntil != core::Timestamp{} && now - m_suspectUntil < suspicionMemory;
    m_suspicionDoublings = again ? std::min(m_suspicionDoublings + 1, maxSuspicionDoublings) : 0;
    m_suspectUntil = now + firstSuspicion * (1U << m_suspicionDoublings);
}

////////////////////////////////////////////////////////////
bool ServerView::isSuspect(core::Timestamp now) const
{
    return now < m_suspectUntil;
}

////////////////////////////////////////////////////////////
void ServerView::recordRejection(core::Timestamp now)
{
    const auto doublings = std::min(m_consecutiveRejections, 5U);
    ++m_consecutiveRejections;
    m_assumedFullUntil = now + std::min<core::Duration>(firstFullPeriod * (1U << doublings), maxFullPeriod);
}

////////////////////////////////////////////////////////////
void ServerView::setIdleConnections(unsigned count)
{
    m_idleConnections = count;
}

////////////////////////////////////////////////////////////
void ServerView::setOpenConnections(unsigned count)
{
    m_openConnections = count;
}

////////////////////////////////////////////////////////////
double ServerView::crowding(double otherRequests, core::Timestamp now) const
{
    const double takenShare = (occupancy(otherRequests, now) + 1) / std::max(1U, m_instance->slots);
    return std::clamp((takenShare - crowdedFrom) / (1 - crowdedFrom), 0.0, 1.0);
}

////////////////////////////////////////////////////////////
bool ServerView::hasRoom(double otherRequests, core::Timestamp now) const
{
    // A server with a single slot counts as crowded by the first request.
    return crowding(otherRequests, now) <= 0 || occupancy(otherRequests, now) < idleBelow;
}

////////////////////////////////////////////////////////////
bool ServerView::wouldLoseThroughput(const Baseline& baseline, core::Timestamp now) const
{
    const double slots = std::max(1U, m_instance->slots);
    const auto   throughput = [&](double requests)
    {
        const double crowding = std::clamp((requests / slots - crowdedFrom) / (1 - crowdedFrom), 0.0, 1.0);
        return std::min(requests, slots) / (1 + (baseline.crowdedSlowdown - 1) * crowding);
    };
    const double next = occupancy(baseline.otherRequests, now) + 1;
    for (double requests = 1; requests < next; ++requests)
    {
        if (throughput(requests) >= throughput(next))
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
double ServerView::finishMs(double workMs, const Baseline& baseline, core::Timestamp now) const
{
    const double slots = std::max(1U, m_instance->slots);
    const double queued = std::max(0.0, occupancy(baseline.otherRequests, now) + 1 - slots);
    double       slowdown = currentSlowdown(baseline.slowdown, now) * latencyRatio(now);
    slowdown *= 1 + (baseline.crowdedSlowdown - 1) * crowding(baseline.otherRequests, now);
    double finish = slowdown * (workMs + queued / slots * baseline.workMs);
    if (m_instance->dataCentre != m_settings.dataCentre)
        finish += core::toMilliseconds(m_settings.otherDataCentreRoundTrip);
    if (m_idleConnections == 0)
        finish += core::toMilliseconds(m_settings.connectCost);
    if (now < m_assumedFullUntil)
        finish += 4 * baseline.workMs;
    return finish;
}

////////////////////////////////////////////////////////////
double ServerView::occupancy(double otherRequests, core::Timestamp now) const
{
    double estimate = otherRequests;
    if (m_report)
    {
        const double age = core::toMilliseconds(now - m_report->at);
        const double weight = std::exp(-age / core::toMilliseconds(m_settings.reportDecayTime));
        estimate = otherRequests + weight * (m_report->otherRequests - otherRequests);
    }
    return m_inFlight + estimate;
}

////////////////////////////////////////////////////////////
double ServerView::currentSlowdown(double baseline, core::Timestamp now) const
{
    // The reported slowdown of a cold instance already includes its warm-up. Counted twice, it would make requests that
    // the instance can answer in time seem late, and instances that return cold would stay idle.
    const double expected = baseline * (cold(now) ? coldSlowdown : 1);
    if (!m_report)
        return expected;
    const double age = core::toMilliseconds(now - m_report->at);
    return expected +
           std::exp(-age / core::toMilliseconds(m_settings.reportDecayTime)) * (m_report->load.slowdown - expected);
}

////////////////////////////////////////////////////////////
double ServerView::failureShare(core::Timestamp now) const
{
    return m_failures * std::exp2(-core::toMilliseconds(now - m_failuresAt) / failureHalfLifeMs);
}

////////////////////////////////////////////////////////////
bool ServerView::ejected(core::Timestamp now) const
{
    return now < m_ejectedUntil;
}

////////////////////////////////////////////////////////////
bool ServerView::evacuated() const
{
    return m_evacuated;
}

////////////////////////////////////////////////////////////
bool ServerView::cold(core::Timestamp now) const
{
    return now < m_life->coldUntil;
}

////////////////////////////////////////////////////////////
bool ServerView::coldUnconfirmed(core::Timestamp now) const
{
    return m_life->coldUnconfirmed && cold(now);
}

////////////////////////////////////////////////////////////
bool ServerView::hasColdToken(double perSecond, core::Timestamp now) const
{
    return m_coldTokens + perSecond * core::toSeconds(now - m_coldTokensAt) >= 1;
}

////////////////////////////////////////////////////////////
void ServerView::takeColdToken(double perSecond, core::Timestamp now)
{
    m_coldTokens = std::min(1.0, m_coldTokens + perSecond * core::toSeconds(now - m_coldTokensAt)) - 1;
    m_coldTokensAt = now;
}

////////////////////////////////////////////////////////////
bool ServerView::isNewcomer() const
{
    // A report from the warm-up says little about the warm instance; nodes that relied on it would not choose it again.
    return m_joined && (!m_report || m_report->at < m_life->coldUntil);
}

////////////////////////////////////////////////////////////
double ServerView::reportAgeMs(core::Timestamp now) const
{
    return m_report ? core::toMilliseconds(now - m_report->at) : -1;
}

////////////////////////////////////////////////////////////
std::optional<double> ServerView::reportedOtherRequests() const
{
    return m_report ? std::optional<double>(m_report->otherRequests) : std::nullopt;
}

////////////////////////////////////////////////////////////
const std::shared_ptr<const deployment::Instance>& ServerView::instance() const
{
    return m_instance;
}

////////////////////////////////////////////////////////////
unsigned ServerView::inFlight() const
{
    return m_inFlight;
}

////////////////////////////////////////////////////////////
unsigned ServerView::openConnections() const
{
    return m_openConnections;
}

////////////////////////////////////////////////////////////
unsigned ServerView::idleConnections() const
{
    return m_idleConnections;
}

////////////////////////////////////////////////////////////
double ServerView::latencyRatio(core::Timestamp now) const
{
    return std::max(minLatencyRatio, decayedLatencyRatio(now));
}

} // namespace sailpath::balance

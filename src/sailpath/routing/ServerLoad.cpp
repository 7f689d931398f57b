#include <sailpath/routing/ServerLoad.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sailpath::routing
{
namespace
{
// Age of an unanswered request, as a multiple of the estimated work, above
// which the age replaces the estimate. A smaller age carries no information.
constexpr double overdueFactor = 3.0;

} // namespace

////////////////////////////////////////////////////////////
ServerLoad::ServerLoad(unsigned slots, core::Duration roundTrip, LoadSettings settings) :
m_slots(slots),
m_roundTrip(core::toMilliseconds(roundTrip)),
m_settings(settings)
{
    m_sentAt.reserve(static_cast<std::size_t>(slots) * 4);
}

////////////////////////////////////////////////////////////
void ServerLoad::recordSent(core::Timestamp now)
{
    m_sentAt.push_back(now);
}

////////////////////////////////////////////////////////////
void ServerLoad::recordEnded(core::Timestamp sentAt)
{
    const auto found = std::find(m_sentAt.begin(), m_sentAt.end(), sentAt);
    assert(found != m_sentAt.end());
    *found = m_sentAt.back();
    m_sentAt.pop_back();
}

////////////////////////////////////////////////////////////
double ServerLoad::recordLatency(core::Duration latency, double expected)
{
    // Time in the server's queue is not work: dividing by the load per slot
    // ahead of the request removes the queueing time from the sample.
    const double others = m_report ? m_report->others : 0.0;
    const double requestsAtServer = others + static_cast<double>(m_sentAt.size()) + 1.0;
    const double queueFactor = std::max(1.0, requestsAtServer / m_slots);
    const double sample = std::max(0.05, (core::toMilliseconds(latency) - m_roundTrip) / queueFactor);
    const double ratio = sample / expected;
    m_recentRatio += m_settings.recentWorkWeight * (ratio - m_recentRatio);
    m_usualRatio += m_settings.usualWorkWeight * (ratio - m_usualRatio);
    // The usual work must not stay high after a slow period has ended.
    m_usualRatio = std::min(m_usualRatio, m_recentRatio * m_settings.peakRatio);
    return sample;
}

////////////////////////////////////////////////////////////
void ServerLoad::recordReport(LoadReport report, core::Timestamp at)
{
    if (m_report && m_report->at > at)
        return;
    const double own = static_cast<double>(m_sentAt.size());
    m_report = StoredReport{std::max(0.0, report.inFlight - own), at};
}

////////////////////////////////////////////////////////////
unsigned ServerLoad::ownInFlight() const
{
    return static_cast<unsigned>(m_sentAt.size());
}

////////////////////////////////////////////////////////////
std::optional<double> ServerLoad::reportedOthers() const
{
    if (!m_report)
        return std::nullopt;
    return m_report->others;
}

////////////////////////////////////////////////////////////
double ServerLoad::othersInFlight(core::Timestamp now, double expected) const
{
    if (!m_report || !m_settings.useReports)
        return expected;
    const double age = core::toMilliseconds(now - m_report->at);
    const double weight = std::exp2(-age / core::toMilliseconds(m_settings.reportHalfLife));
    return weight * m_report->others + (1.0 - weight) * expected;
}

////////////////////////////////////////////////////////////
double ServerLoad::workMilliseconds(core::Timestamp now, double work) const
{
    // Single samples vary too much to rank servers; only a clear peak takes effect at once.
    const double estimate = work * (m_recentRatio > m_settings.peakRatio * m_usualRatio ? m_recentRatio : m_usualRatio);
    if (!m_settings.useOldestAge || m_sentAt.empty())
        return estimate;
    const double age = core::toMilliseconds(oldestAge(now));
    return age > overdueFactor * estimate ? std::max(estimate, age) : estimate;
}

////////////////////////////////////////////////////////////
double ServerLoad::occupancy(core::Timestamp now, double expectedOthers) const
{
    return static_cast<double>(m_sentAt.size()) + othersInFlight(now, expectedOthers);
}

////////////////////////////////////////////////////////////
double ServerLoad::finishMilliseconds(core::Timestamp now, double expectedOthers, double work) const
{
    const double requestsAtServer = occupancy(now, expectedOthers) + 1.0;
    // Below one request per slot the server has no queue, but a server with
    // more requests is more likely to have one when the request arrives.
    const double perSlot = requestsAtServer / m_slots;
    const double queueFactor = perSlot <= 1.0 ? 1.0 + 0.25 * perSlot * perSlot : 0.25 + perSlot;
    return m_roundTrip + workMilliseconds(now, work) * queueFactor;
}

////////////////////////////////////////////////////////////
unsigned ServerLoad::slots() const
{
    return m_slots;
}

////////////////////////////////////////////////////////////
void ServerLoad::resetWork()
{
    m_usualRatio = 1;
    m_recentRatio = 1;
}

////////////////////////////////////////////////////////////
core::Duration ServerLoad::oldestAge(core::Timestamp now) const
{
    return now - *std::min_element(m_sentAt.begin(), m_sentAt.end());
}

} // namespace sailpath::routing

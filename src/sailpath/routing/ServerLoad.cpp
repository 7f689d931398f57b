#include <sailpath/routing/ServerLoad.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sailpath::routing
{
namespace
{
// Unanswered requests count once they are older than this many times the
// estimated work; below that an age says nothing.
constexpr double suspiciousAge = 3.0;

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
    // Waiting in the server's queue is not work: divide it out by the load
    // that was in front of the request.
    const double others = m_report ? m_report->others : 0.0;
    const double present = others + static_cast<double>(m_sentAt.size()) + 1.0;
    const double crowding = std::max(1.0, present / m_slots);
    const double sample = std::max(0.05, (core::toMilliseconds(latency) - m_roundTrip) / crowding);
    const double ratio = sample / expected;
    m_recent += m_settings.recentWorkWeight * (ratio - m_recent);
    m_usual += m_settings.usualWorkWeight * (ratio - m_usual);
    // What was learned of a slow time must not outlast it.
    m_usual = std::min(m_usual, m_recent * m_settings.peakRatio);
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
    const double trust = std::exp2(-age / core::toMilliseconds(m_settings.reportHalfLife));
    return trust * m_report->others + (1.0 - trust) * expected;
}

////////////////////////////////////////////////////////////
double ServerLoad::workMilliseconds(core::Timestamp now, double work) const
{
    // Single samples scatter too much to rank servers by; only a clear peak counts at once.
    const double here = work * (m_recent > m_settings.peakRatio * m_usual ? m_recent : m_usual);
    if (!m_settings.useOldestAge || m_sentAt.empty())
        return here;
    const double age = core::toMilliseconds(oldestAge(now));
    return age > suspiciousAge * here ? std::max(here, age) : here;
}

////////////////////////////////////////////////////////////
double ServerLoad::occupancy(core::Timestamp now, double expectedOthers) const
{
    return static_cast<double>(m_sentAt.size()) + othersInFlight(now, expectedOthers);
}

////////////////////////////////////////////////////////////
double ServerLoad::finishMilliseconds(core::Timestamp now, double expectedOthers, double work) const
{
    const double present = occupancy(now, expectedOthers) + 1.0;
    // Below one request a slot there is no queue, but a fuller server is
    // still the likelier one to have one by the time the request arrives.
    const double fill = present / m_slots;
    const double crowding = fill <= 1.0 ? 1.0 + 0.25 * fill * fill : 0.25 + fill;
    return m_roundTrip + workMilliseconds(now, work) * crowding;
}

////////////////////////////////////////////////////////////
unsigned ServerLoad::slots() const
{
    return m_slots;
}

////////////////////////////////////////////////////////////
void ServerLoad::resetWork()
{
    m_usual = 1;
    m_recent = 1;
}

////////////////////////////////////////////////////////////
core::Duration ServerLoad::oldestAge(core::Timestamp now) const
{
    return now - *std::min_element(m_sentAt.begin(), m_sentAt.end());
}

} // namespace sailpath::routing

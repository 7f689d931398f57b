#include <sailpath/gateway/StallDetector.hpp>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
StallDetector::StallDetector(core::Duration threshold, core::Duration interval, core::Timestamp now) :
m_threshold(threshold),
m_interval(interval),
m_nextReport(threshold),
m_lastBeatAt(now),
m_observedAt(now)
{
}

////////////////////////////////////////////////////////////
std::optional<Stall> StallDetector::observe(std::uint64_t beats, core::Timestamp now)
{
    const core::Duration sinceObserved = now - m_observedAt;
    m_observedAt = now;
    if (beats != m_beats)
    {
        const Stall ended{now - m_lastBeatAt, true};
        m_beats = beats;
        m_lastBeatAt = now;
        m_nextReport = m_threshold;
        if (!m_reported)
            return std::nullopt;
        m_reported = false;
        return ended;
    }
    // An observer that was itself held up, as all threads of a suspended VM are, cannot tell that the loop stalled.
    if (sinceObserved > m_interval + m_interval / 4 && !m_reported)
    {
        m_lastBeatAt = now;
        return std::nullopt;
    }
    const core::Duration lasted = now - m_lastBeatAt;
    if (lasted < m_nextReport)
        return std::nullopt;
    m_nextReport = 2 * lasted;
    m_reported = true;
    return Stall{lasted, false};
}

} // namespace sailpath::gateway

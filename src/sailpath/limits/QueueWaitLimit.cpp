#include <sailpath/limits/QueueWaitLimit.hpp>

#include <algorithm>

namespace sailpath::limits
{
namespace
{
constexpr int latenciesInStandingQueue = 2; // Admitted wait in a standing queue, in usual latencies

} // namespace

////////////////////////////////////////////////////////////
void QueueWaitLimit::observe(bool empty, core::Timestamp now)
{
    const bool drained = now - m_lastQueuedAt > drainedAfter;
    if (!empty)
    {
        if (drained || m_queuedSince == core::Timestamp::max())
            m_queuedSince = now;
        m_lastQueuedAt = now;
    }
    else if (drained)
        m_queuedSince = core::Timestamp::max();
}

////////////////////////////////////////////////////////////
core::Duration QueueWaitLimit::maxWait(core::Duration configured, core::Duration usualLatency,
                                       core::Timestamp now) const
{
    if (m_queuedSince == core::Timestamp::max() || now - m_queuedSince < standingAfter)
        return configured;
    return std::min(configured, std::max(minWait, usualLatency * latenciesInStandingQueue));
}

} // namespace sailpath::limits

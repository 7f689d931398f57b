#include <sailpath/limits/QueueWaitLimit.hpp>

#include <algorithm>

namespace sailpath::limits
{
namespace
{
constexpr int shortWaits = 2; // Usual latencies that a request may wait behind a standing queue

} // namespace

////////////////////////////////////////////////////////////
void QueueWaitLimit::observe(bool empty, core::Timestamp now)
{
    const bool gone = now - m_lastQueue > calm;
    if (!empty)
    {
        if (gone || m_standsSince == core::Timestamp::max())
            m_standsSince = now;
        m_lastQueue = now;
    }
    else if (gone)
        m_standsSince = core::Timestamp::max();
}

////////////////////////////////////////////////////////////
core::Duration QueueWaitLimit::maxWait(core::Duration configured, core::Duration usualLatency,
                                       core::Timestamp now) const
{
    if (m_standsSince == core::Timestamp::max() || now - m_standsSince < standing)
        return configured;
    return std::min(configured, std::max(shortest, usualLatency * shortWaits));
}

} // namespace sailpath::limits

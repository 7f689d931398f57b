#include <sailpath/balance/retry/RejectionMonitor.hpp>

#include <cmath>

namespace sailpath::balance::retry
{
namespace
{
constexpr double decayMs = 1000;
// A send that is accepted once in four tries needs four sends on average, about the tries that callers make.
constexpr double maxRejectedShare = 0.75;
constexpr double minWithRoomShare = 0.5; // Share of the rejections from which full servers are not their cause
constexpr double assumedAccepted = 1;    // Accepted requests assumed before the first is observed
constexpr double minObserved = 0.05;     // Decayed counts below this are too old to say anything

////////////////////////////////////////////////////////////
double decayFactor(core::Duration age)
{
    return std::exp(-core::toMilliseconds(age) / decayMs);
}

} // namespace

////////////////////////////////////////////////////////////
void RejectionMonitor::recordAccepted(core::Timestamp now)
{
    decay(now);
    ++m_accepted;
}

////////////////////////////////////////////////////////////
void RejectionMonitor::recordRejected(bool hadRoom, core::Timestamp now)
{
    decay(now);
    ++m_rejected;
    if (!hadRoom)
        return;
    ++m_withRoom;
    ++m_rejectedWithRoom;
}

////////////////////////////////////////////////////////////
double RejectionMonitor::rejectedShare(core::Timestamp now) const
{
    const double factor = decayFactor(now - m_at);
    return factor * m_rejected / (factor * (m_rejected + m_accepted) + assumedAccepted);
}

////////////////////////////////////////////////////////////
bool RejectionMonitor::wouldAccept(core::Timestamp now) const
{
    const bool observed = decayFactor(now - m_at) * m_rejected >= minObserved;
    return observed && m_withRoom >= minWithRoomShare * m_rejected && rejectedShare(now) <= maxRejectedShare;
}

////////////////////////////////////////////////////////////
std::uint64_t RejectionMonitor::rejectedWithRoom() const
{
    return m_rejectedWithRoom;
}

////////////////////////////////////////////////////////////
void RejectionMonitor::decay(core::Timestamp now)
{
    const double factor = decayFactor(now - m_at);
    m_accepted *= factor;
    m_rejected *= factor;
    m_withRoom *= factor;
    m_at = now;
}

} // namespace sailpath::balance::retry

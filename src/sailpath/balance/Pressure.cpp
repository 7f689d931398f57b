#include <sailpath/balance/Pressure.hpp>

namespace sailpath::balance
{
namespace
{
constexpr auto   activeFor = std::chrono::seconds{2}; // The longest `comeBack`: rejected callers have retried by then
constexpr double rejectedShareGain = 0.2;             // Weight of one request in the moving average
constexpr double highRejectedShare = 0.5;             // Above it, more requests are rejected than admitted

} // namespace

////////////////////////////////////////////////////////////
void Pressure::recordAdmitted(core::Timestamp now)
{
    record(0, now);
}

////////////////////////////////////////////////////////////
void Pressure::recordRejected(core::Timestamp now)
{
    record(1, now);
    m_lastRejectedAt = now;
}

////////////////////////////////////////////////////////////
void Pressure::record(double rejected, core::Timestamp now)
{
    if (!active(now))
        m_rejectedShare = 0;
    m_rejectedShare += rejectedShareGain * (rejected - m_rejectedShare);
}

////////////////////////////////////////////////////////////
bool Pressure::active(core::Timestamp now) const
{
    return m_lastRejectedAt && now - *m_lastRejectedAt < activeFor;
}

////////////////////////////////////////////////////////////
bool Pressure::high(core::Timestamp now) const
{
    return active(now) && m_rejectedShare > highRejectedShare;
}

} // namespace sailpath::balance

#include <sailpath/balance/Pressure.hpp>

namespace sailpath::balance
{
namespace
{
constexpr auto   activeFor = std::chrono::seconds{2}; // Those turned away are back by then: the longest `comeBack`
constexpr double rejectedShareGain = 0.2;             // Share of one request in the share refused
constexpr double highRejectedShare = 0.5;             // More are turned away than let in

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

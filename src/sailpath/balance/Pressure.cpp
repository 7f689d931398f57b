#include <sailpath/balance/Pressure.hpp>

namespace sailpath::balance
{
namespace
{
constexpr auto   pressedFor = std::chrono::seconds{2}; // Those turned away are back by then: the longest `retryAfter`
constexpr double gain = 0.2;                           // Share of one request in the share refused
constexpr double highShare = 0.5;                      // More are turned away than let in

} // namespace

////////////////////////////////////////////////////////////
void Pressure::letIn(core::Timestamp now)
{
    note(0, now);
}

////////////////////////////////////////////////////////////
void Pressure::turnedAway(core::Timestamp now)
{
    note(1, now);
    m_turnedAwayAt = now;
}

////////////////////////////////////////////////////////////
void Pressure::note(double refused, core::Timestamp now)
{
    if (!any(now))
        m_refusedShare = 0;
    m_refusedShare += gain * (refused - m_refusedShare);
}

////////////////////////////////////////////////////////////
bool Pressure::any(core::Timestamp now) const
{
    return m_turnedAwayAt && now - *m_turnedAwayAt < pressedFor;
}

////////////////////////////////////////////////////////////
bool Pressure::high(core::Timestamp now) const
{
    return any(now) && m_refusedShare > highShare;
}

} // namespace sailpath::balance

#include <sailpath/paths/DialPlan.hpp>

#include <algorithm>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
DialPlan::DialPlan(const DialSettings& settings, PathState state, DialWays ways, bool hasHelper) :
m_settings(settings),
m_state(state),
m_ways(ways),
m_maxHelpers(hasHelper && ways != DialWays::DirectOnly ? settings.maxHelpers : 0)
{
}

////////////////////////////////////////////////////////////
DialStep DialPlan::start(core::Timestamp now)
{
    const bool tunnelFirst = m_ways == DialWays::TunnelOnly || (m_state == PathState::Lost && m_maxHelpers > 0);
    if (tunnelFirst)
        return m_maxHelpers > 0 ? openTunnel(now) : DialStep::Fail;
    return connectDirect(now);
}

////////////////////////////////////////////////////////////
DialStep DialPlan::connectDirect(core::Timestamp now)
{
    m_directTried = true;
    m_directUntil = now + m_settings.directTimeout;
    if (helpersLeft() && m_asked == 0)
        m_tunnelAt = now + (m_state == PathState::Direct ? m_settings.tunnelDelay : m_settings.suspectDelay);
    return DialStep::ConnectDirect;
}

////////////////////////////////////////////////////////////
DialStep DialPlan::openTunnel(core::Timestamp now)
{
    ++m_asked;
    ++m_pending;
    m_tunnelAt = helpersLeft() ? std::optional<core::Timestamp>(now + m_settings.helperStagger) : std::nullopt;
    return DialStep::OpenTunnel;
}

////////////////////////////////////////////////////////////
bool DialPlan::helpersLeft() const
{
    return m_asked < m_maxHelpers;
}

////////////////////////////////////////////////////////////
DialStep DialPlan::afterFailure(core::Timestamp now)
{
    if (m_pending == 0 && helpersLeft())
        return openTunnel(now);
    if (m_pending > 0 || m_directUntil)
        return DialStep::Wait;
    if (!m_directTried && m_ways == DialWays::Any)
        return connectDirect(now);
    return DialStep::Fail;
}

////////////////////////////////////////////////////////////
DialStep DialPlan::directFailed(core::Timestamp now)
{
    m_directUntil.reset();
    return afterFailure(now);
}

////////////////////////////////////////////////////////////
DialStep DialPlan::tunnelFailed(core::Timestamp now)
{
    m_pending -= std::min(m_pending, 1U);
    return afterFailure(now);
}

////////////////////////////////////////////////////////////
DialStep DialPlan::serverDown(core::Timestamp now)
{
    m_maxHelpers = m_asked;
    m_tunnelAt.reset();
    return tunnelFailed(now);
}

////////////////////////////////////////////////////////////
DialStep DialPlan::processDue(core::Timestamp now)
{
    if (m_tunnelAt && *m_tunnelAt <= now)
        return openTunnel(now);
    return DialStep::Wait;
}

////////////////////////////////////////////////////////////
bool DialPlan::directExpired(core::Timestamp now) const
{
    return m_directUntil && *m_directUntil <= now;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> DialPlan::nextDue() const
{
    if (m_tunnelAt && m_directUntil)
        return std::min(*m_tunnelAt, *m_directUntil);
    return m_tunnelAt ? m_tunnelAt : m_directUntil;
}

} // namespace sailpath::paths

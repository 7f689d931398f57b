#include <sailpath/routing/ServerHealth.hpp>

#include <algorithm>

namespace sailpath::routing
{
namespace
{
constexpr double   minShare = 0.1;
constexpr unsigned maxDoublings = 10;

} // namespace

////////////////////////////////////////////////////////////
ServerHealth::ServerHealth(HealthSettings settings) :
m_settings(settings)
{
}

////////////////////////////////////////////////////////////
void ServerHealth::recordSuccess(core::Timestamp now)
{
    m_failures = 0;
    if (m_ejected)
    {
        m_ejected = false;
        m_trialInFlight = false;
        startRamp(now);
        return;
    }
    if (now > m_rampEnd)
        m_ejections = 0;
}

////////////////////////////////////////////////////////////
bool ServerHealth::recordFailure(core::Timestamp now, bool mayEject)
{
    ++m_failures;
    const bool trialFailed = m_ejected && m_trialInFlight;
    const bool limitReached = !m_ejected && mayEject && m_failures >= m_settings.failuresToEject;
    if (!trialFailed && !limitReached)
        return false;

    const auto doublings = std::min(m_ejections, maxDoublings);
    m_ejectedUntil = now + std::min(m_settings.maxEjection, m_settings.firstEjection * (1 << doublings));
    ++m_ejections;
    m_ejected = true;
    m_trialInFlight = false;
    return true;
}

////////////////////////////////////////////////////////////
void ServerHealth::recordTrialAbandoned()
{
    m_trialInFlight = false;
}

////////////////////////////////////////////////////////////
void ServerHealth::recordTrialSent()
{
    m_trialInFlight = true;
}

////////////////////////////////////////////////////////////
bool ServerHealth::recordDraining(bool leaving, core::Timestamp at)
{
    // Notices arrive by several paths; an older notice must not override a newer one.
    if (at < m_drainNoticeAt)
        return false;
    const bool becameDraining = leaving && at >= m_drainUntil;
    m_drainNoticeAt = at;
    m_drainUntil = leaving ? at + m_settings.drainTimeout : core::Timestamp{};
    return becameDraining;
}

////////////////////////////////////////////////////////////
void ServerHealth::recordBackOff(core::Timestamp until)
{
    m_backOffUntil = std::max(m_backOffUntil, until);
    m_rampEnd = std::max(m_rampEnd, m_backOffUntil + m_settings.rampDuration);
}

////////////////////////////////////////////////////////////
void ServerHealth::recordClosed(core::Timestamp now)
{
    if (now >= m_drainUntil)
        return;
    m_drainUntil = {};
    m_drainNoticeAt = now;
    m_ejected = true;
    m_trialInFlight = false;
    m_ejectedUntil = now + m_settings.firstEjection;
}

////////////////////////////////////////////////////////////
Availability ServerHealth::availability(core::Timestamp now) const
{
    if (now < m_drainUntil)
        return Availability::Draining;
    if (now < m_backOffUntil)
        return Availability::BackOff;
    if (m_ejected)
        return now < m_ejectedUntil || m_trialInFlight ? Availability::Ejected : Availability::Trial;
    return now < m_rampEnd ? Availability::Ramping : Availability::Healthy;
}

////////////////////////////////////////////////////////////
double ServerHealth::share(core::Timestamp now) const
{
    if (now >= m_rampEnd || m_settings.rampDuration.count() == 0)
        return 1.0;
    const double remaining = core::toSeconds(m_rampEnd - now) / core::toSeconds(m_settings.rampDuration);
    return std::clamp(1.0 - remaining, minShare, 1.0);
}

////////////////////////////////////////////////////////////
bool ServerHealth::isEjected() const
{
    return m_ejected;
}

////////////////////////////////////////////////////////////
void ServerHealth::startRamp(core::Timestamp now)
{
    m_rampEnd = now + m_settings.rampDuration;
}

} // namespace sailpath::routing

#include <sailpath/balance/quotas/QuotaLedger.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
QuotaLedger::QuotaLedger(double saved, const QuotaBound& bound, core::Timestamp now) :
m_bound(bound),
m_saved(std::min(saved, bound.maxSaved)),
m_at(now),
m_askedAt(now),
m_periodStart(now)
{
}

////////////////////////////////////////////////////////////
void QuotaLedger::setBound(const QuotaBound& bound, core::Timestamp now)
{
    advance(now);
    m_bound = bound;
    m_saved = std::min(m_saved, maxSaved());
}

////////////////////////////////////////////////////////////
void QuotaLedger::spend(double requests, core::Timestamp now)
{
    advance(now);
    m_saved -= requests;
    m_spentInPeriod += requests;
}

////////////////////////////////////////////////////////////
void QuotaLedger::recordDemand(double requests, core::Timestamp now)
{
    m_askedDecayed = demand(now) * core::toSeconds(m_bound.demandWindow) + requests;
    m_askedAt = std::max(m_askedAt, now);
}

////////////////////////////////////////////////////////////
void QuotaLedger::setShare(double share, core::Timestamp now)
{
    advance(now);
    if (share < m_share)
    {
        const double atLoss = std::max(0.0, m_saved + recentlySpent(now));
        m_saved -= (1 - share / m_share) * atLoss;
    }
    m_share = share;
    m_saved = std::min(m_saved, maxSaved());
}

////////////////////////////////////////////////////////////
double QuotaLedger::saved(core::Timestamp now) const
{
    const double seconds = core::toSeconds(std::max<core::Duration>(now - m_at, {}));
    return std::min(maxSaved(), m_saved + m_share * m_bound.perSecond * seconds);
}

////////////////////////////////////////////////////////////
double QuotaLedger::maxSaved() const
{
    return m_share * m_bound.maxSaved;
}

////////////////////////////////////////////////////////////
double QuotaLedger::demand(core::Timestamp now) const
{
    const double window = core::toSeconds(m_bound.demandWindow);
    const double seconds = core::toSeconds(std::max<core::Duration>(now - m_askedAt, {}));
    return m_askedDecayed * std::exp(-seconds / window) / window;
}

////////////////////////////////////////////////////////////
double QuotaLedger::admissionProbability(core::Timestamp now) const
{
    const double inHand = saved(now);
    const double time = core::toSeconds(inHand > 0 ? m_bound.spendTime : m_bound.repayTime);
    const double allowed = m_share * m_bound.perSecond + inHand / time;
    const double asked = demand(now);
    return asked <= allowed ? 1 : std::max(0.0, allowed / asked);
}

////////////////////////////////////////////////////////////
void QuotaLedger::advance(core::Timestamp now)
{
    m_saved = saved(now);
    m_at = std::max(m_at, now);
    const core::Duration period = m_bound.contactTimeout;
    if (now - m_periodStart < period)
        return;
    const bool next = now - m_periodStart < 2 * period;
    m_spentInLastPeriod = next ? m_spentInPeriod : 0;
    m_spentInPeriod = 0;
    m_periodStart = next ? m_periodStart + period : now;
}

////////////////////////////////////////////////////////////
double QuotaLedger::recentlySpent(core::Timestamp now) const
{
    const bool stale = now - m_periodStart >= 2 * m_bound.contactTimeout;
    return stale ? 0 : m_spentInPeriod + m_spentInLastPeriod;
}

} // namespace sailpath::balance::quotas

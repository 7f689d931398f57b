#include <sailpath/limits/ConcurrencyLimit.hpp>

#include <algorithm>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
ConcurrencyLimit::ConcurrencyLimit(unsigned slots, unsigned maxLimit, ConcurrencySettings settings) :
m_slots(slots),
m_maxLimit(maxLimit),
m_settings(settings),
m_limit(slots)
{
}

////////////////////////////////////////////////////////////
void ConcurrencyLimit::recordSuccess(double occupancy, unsigned ownInFlight, core::Timestamp now)
{
    if (occupancy > m_settings.overloadRatio * m_slots)
    {
        decrease(now);
        return;
    }
    // Only a limit that is at least half used grows; answers say nothing about an unused one.
    if (ownInFlight + 1.0 >= m_limit * 0.5)
        m_limit = std::min(m_maxLimit, m_limit + m_settings.increaseStep / std::max(1.0, m_limit));
}

////////////////////////////////////////////////////////////
void ConcurrencyLimit::recordRejection(core::Timestamp now)
{
    decrease(now);
}

////////////////////////////////////////////////////////////
double ConcurrencyLimit::value() const
{
    return m_limit;
}

////////////////////////////////////////////////////////////
void ConcurrencyLimit::decrease(core::Timestamp now)
{
    if (now < m_nextDecrease)
        return;
    m_limit = std::max(m_settings.minLimit, m_limit * m_settings.decreaseFactor);
    m_nextDecrease = now + m_settings.decreaseInterval;
}

} // namespace sailpath::limits

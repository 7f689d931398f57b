#include <sailpath/limits/ProbeTimeBudget.hpp>

#include <algorithm>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
ProbeTimeBudget::ProbeTimeBudget(double rate, core::Timestamp now) :
m_rate(rate),
m_accruedAt(now)
{
}

////////////////////////////////////////////////////////////
bool ProbeTimeBudget::charge(core::Duration cost, core::Timestamp now)
{
    const double costMs = core::toMilliseconds(cost);
    accrue(now, costMs);
    if (m_balance < costMs || m_rate <= 0)
        return false;
    m_balance -= costMs;
    m_spent += costMs;
    return true;
}

////////////////////////////////////////////////////////////
void ProbeTimeBudget::setRate(double rate, core::Timestamp now)
{
    accrue(now, std::max(m_balance, 0.0) + m_rate * core::toSeconds(now - m_accruedAt));
    m_rate = rate;
}

////////////////////////////////////////////////////////////
double ProbeTimeBudget::spent() const
{
    return m_spent;
}

////////////////////////////////////////////////////////////
void ProbeTimeBudget::accrue(core::Timestamp now, double maxBalance)
{
    if (now > m_accruedAt)
        m_balance += m_rate * core::toSeconds(now - m_accruedAt);
    m_balance = std::min(m_balance, maxBalance);
    m_accruedAt = std::max(m_accruedAt, now);
}

} // namespace sailpath::limits

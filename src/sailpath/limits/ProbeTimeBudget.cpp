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
    const double price = core::toMilliseconds(cost);
    accrue(now, price);
    if (m_saved < price || m_rate <= 0)
        return false;
    m_saved -= price;
    m_spent += price;
    return true;
}

////////////////////////////////////////////////////////////
void ProbeTimeBudget::setRate(double rate, core::Timestamp now)
{
    accrue(now, std::max(m_saved, 0.0) + m_rate * core::toSeconds(now - m_accruedAt));
    m_rate = rate;
}

////////////////////////////////////////////////////////////
double ProbeTimeBudget::spent() const
{
    return m_spent;
}

////////////////////////////////////////////////////////////
void ProbeTimeBudget::accrue(core::Timestamp now, double most)
{
    if (now > m_accruedAt)
        m_saved += m_rate * core::toSeconds(now - m_accruedAt);
    m_saved = std::min(m_saved, most);
    m_accruedAt = std::max(m_accruedAt, now);
}

} // namespace sailpath::limits

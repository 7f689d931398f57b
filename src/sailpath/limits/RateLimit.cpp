#include <sailpath/limits/RateLimit.hpp>

#include <algorithm>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
RateLimit::RateLimit(double perSecond, double burst) :
m_perSecond(perSecond),
m_burst(burst)
{
}

////////////////////////////////////////////////////////////
bool RateLimit::allow(std::string_view who, core::Timestamp now)
{
    forgetIdle(now);
    auto found = m_saved.find(who);
    if (found == m_saved.end())
        found = m_saved.emplace(std::string(who), Saved{m_burst, now}).first;
    Saved& saved = found->second;
    saved.uses = std::min(m_burst, saved.uses + m_perSecond * core::toSeconds(now - saved.at));
    saved.at = now;
    if (saved.uses < 1.0)
        return false;
    saved.uses -= 1.0;
    return true;
}

////////////////////////////////////////////////////////////
void RateLimit::forgetIdle(core::Timestamp now)
{
    if (now < m_nextForget)
        return;
    const auto full = core::fromMilliseconds(1000.0 * m_burst / m_perSecond);
    std::erase_if(m_saved, [&](const auto& item) { return now - item.second.at > full; });
    m_nextForget = now + full;
}

} // namespace sailpath::limits

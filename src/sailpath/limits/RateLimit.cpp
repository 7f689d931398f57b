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
bool RateLimit::allow(std::string_view key, core::Timestamp now)
{
    removeFullBuckets(now);
    auto found = m_buckets.find(key);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(key), TokenBucket{m_burst, now}).first;
    TokenBucket& bucket = found->second;
    bucket.tokens = std::min(m_burst, bucket.tokens + m_perSecond * core::toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

////////////////////////////////////////////////////////////
void RateLimit::removeFullBuckets(core::Timestamp now)
{
    if (now < m_nextCleanup)
        return;
    const auto refillTime = core::fromMilliseconds(1000.0 * m_burst / m_perSecond);
    std::erase_if(m_buckets, [&](const auto& item) { return now - item.second.refilledAt > refillTime; });
    m_nextCleanup = now + refillTime;
}

} // namespace sailpath::limits

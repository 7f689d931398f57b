// What servers say of the requests that they want.

#include <sailpath/balance/Balancer.hpp>

#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t mostNews = 256; // Not taken; more only if nobody takes them

} // namespace

////////////////////////////////////////////////////////////
std::string_view toString(NoticeSource source)
{
    switch (source)
    {
    case NoticeSource::Answer:
        return "answer";
    case NoticeSource::HealthAnswer:
        return "health-answer";
    case NoticeSource::Misdirected:
        return "misdirected";
    }
    return "unknown";
}

////////////////////////////////////////////////////////////
void Balancer::noticed(const std::shared_ptr<const deployment::Instance>& instance, const ServerNotice& notice,
                       NoticeSource source, core::Timestamp now)
{
    const auto pool = m_pools.find(instance->service);
    if (pool == m_pools.end())
        return;
    const ServerNotice news = pool->second->applyNotice(*instance, notice, m_random.unit(), now);
    if (!news.empty() && m_notices.size() < mostNews)
        m_notices.push_back({instance, news, source});
}

////////////////////////////////////////////////////////////
std::vector<NoticeChange> Balancer::takeNotices()
{
    return std::exchange(m_notices, {});
}

////////////////////////////////////////////////////////////
std::vector<NoticeInForce> Balancer::notices(core::Timestamp now) const
{
    std::vector<NoticeInForce> all;
    for (const auto& [name, pool] : m_pools)
        pool->addNotices(all, now);
    return all;
}

} // namespace sailpath::balance

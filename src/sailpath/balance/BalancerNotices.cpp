// Notices of servers that shut down or want a pause in requests.

#include <sailpath/balance/Balancer.hpp>

#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t maxPendingNews = 256; // Reached only when `takeNoticeChanges` is not called

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
void Balancer::recordNotice(const std::shared_ptr<const deployment::Instance>& instance, const ServerNotice& notice,
                            NoticeSource source, core::Timestamp now)
{
    const auto pool = m_pools.find(instance->service);
    if (pool == m_pools.end())
        return;
    const ServerNotice news = pool->second->applyNotice(*instance, notice, m_random.unit(), now);
    if (!news.empty() && m_noticeChanges.size() < maxPendingNews)
        m_noticeChanges.push_back({instance, news, source});
}

////////////////////////////////////////////////////////////
std::vector<NoticeChange> Balancer::takeNoticeChanges()
{
    return std::exchange(m_noticeChanges, {});
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

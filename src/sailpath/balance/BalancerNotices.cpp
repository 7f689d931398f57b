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
    // The notice holds for the life of the server, whether an entry lists it now, did, or will again.
    const ServerNotice news = m_lives->of(*instance, now)->notices.record(notice, m_random.unit(), now);
    if (news.empty() || m_noticeChanges.size() >= maxPendingNews)
        return;
    const auto pool = m_pools.find(instance->service);
    const auto server = pool != m_pools.end() ? pool->second->find(instance->id) : nullptr;
    const bool listed = server && deployment::sameInstance(*server->instance(), *instance);
    m_noticeChanges.push_back({instance, news, source, listed});
}

////////////////////////////////////////////////////////////
std::vector<NoticeChange> Balancer::takeNoticeChanges()
{
    return std::exchange(m_noticeChanges, {});
}

////////////////////////////////////////////////////////////
const ServerLives& Balancer::lives() const
{
    return *m_lives;
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

// Request limits of instances, which all nodes share.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double      minReportedRequests = 0.1; // Earlier requests worth reporting with a newly known limit
constexpr std::size_t maxPendingNews = 256;      // Reached only when `takeLimitNews` is not called

} // namespace

////////////////////////////////////////////////////////////
void Balancer::learnLimit(ServicePool& pool, ServerView& server, double perSecond, core::Timestamp now)
{
    const bool first = server.limit(now) == nullptr;
    if (!server.updateLimit(perSecond, now, 0, now))
        return;
    pool.markLimited();
    m_limitChanges.push_back({server.instance(), perSecond, 0});
    addLimitNews(server, first ? server.recentRequests(now) : 0, now);
}

////////////////////////////////////////////////////////////
void Balancer::addLimitNews(const ServerView& server, double sent, core::Timestamp now)
{
    const std::uint32_t hash = deployment::instanceHash(*server.instance());
    const SharedLimit*  limit = server.limit(now);
    const double        word = limit != nullptr ? limit->lastLimit() : unlimited;
    const double        open = limit != nullptr ? limit->log2Probability(now) : 0;
    const auto          ago = limit != nullptr ? now - limit->lastLimitAt() : core::Duration{};
    const auto          known =
        std::find_if(m_limitNews.begin(), m_limitNews.end(), [hash](const auto& news) { return news.server == hash; });
    if (known != m_limitNews.end())
        *known = {0, hash, word, ago, known->sent + sent, open};
    else if (m_limitNews.size() < maxPendingNews)
        m_limitNews.push_back({0, hash, word, ago, sent, open});
}

////////////////////////////////////////////////////////////
void Balancer::receiveLimitNews(std::span<const deployment::LimitReport> news, core::Timestamp now)
{
    for (const deployment::LimitReport& one : news)
    {
        if (one.topic == deployment::LimitTopic::RetryBudget)
            receiveRetryReport(one, now);
        if (one.topic == deployment::LimitTopic::QuotaShares)
            m_quotas.recordNeedElsewhere(one, now);
        if (one.topic != deployment::LimitTopic::Limit)
            continue; // A node of a later version
        if (m_quotas.recordSentElsewhere(one, now))
            continue;
        for (const auto& [name, pool] : m_pools)
        {
            const auto server = pool->find(one.server);
            if (!server)
                continue;
            const bool first = server->limit(now) == nullptr;
            if (server->updateLimit(one.perSecond, now - one.ago, one.doublings, now))
                m_limitChanges.push_back({server->instance(), one.perSecond, one.node});
            pool->markLimited();
            // The first report already includes the reporting node's requests in its openness.
            if (!first)
                server->sentElsewhere(one.sent, one.doublings, now);
            else if (server->limit(now) != nullptr && server->recentRequests(now) > minReportedRequests)
                addLimitNews(*server, server->recentRequests(now), now);
        }
    }
}

////////////////////////////////////////////////////////////
std::vector<LimitChange> Balancer::takeLimitChanges()
{
    return std::exchange(m_limitChanges, {});
}

////////////////////////////////////////////////////////////
std::vector<deployment::LimitReport> Balancer::takeLimitNews()
{
    auto news = std::exchange(m_limitNews, {});
    m_quotas.takeNews(news);
    return news;
}

////////////////////////////////////////////////////////////
std::vector<LimitState> Balancer::limits(core::Timestamp now) const
{
    std::vector<LimitState> all;
    for (const auto& [name, pool] : m_pools)
        pool->addLimits(all, now);
    return all;
}

} // namespace sailpath::balance

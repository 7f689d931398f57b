// What holds for all nodes together, of limited instances and of workspaces: what is learned and told.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double      worthTelling = 0.1; // Requests that were sent before a limit was known
constexpr std::size_t mostNews = 256;     // Instances not taken; more only if nobody takes them

} // namespace

////////////////////////////////////////////////////////////
void Balancer::learnLimit(ServicePool& pool, ServerView& server, double perSecond, core::Timestamp now)
{
    const bool first = server.limit(now) == nullptr;
    if (!server.toldLimit(perSecond, now, 0, now))
        return;
    pool.limited();
    m_limits.push_back({server.instance(), perSecond, 0});
    noteLimit(server, first ? server.recent(now) : 0, now);
}

////////////////////////////////////////////////////////////
void Balancer::noteLimit(const ServerView& server, double sent, core::Timestamp now)
{
    const std::uint32_t hash = deployment::instanceHash(*server.instance());
    const SharedLimit*  limit = server.limit(now);
    const double        word = limit != nullptr ? limit->word() : unlimited;
    const double        open = limit != nullptr ? limit->doublings(now) : 0;
    const auto          ago = limit != nullptr ? now - limit->wordAt() : core::Duration{};
    const auto          known =
        std::find_if(m_limitNews.begin(), m_limitNews.end(), [hash](const auto& news) { return news.server == hash; });
    if (known != m_limitNews.end())
        *known = {0, hash, word, ago, known->sent + sent, open};
    else if (m_limitNews.size() < mostNews)
        m_limitNews.push_back({0, hash, word, ago, sent, open});
}

////////////////////////////////////////////////////////////
void Balancer::heardLimits(std::span<const deployment::LimitReport> news, core::Timestamp now)
{
    for (const deployment::LimitReport& one : news)
    {
        if (m_quotas.heard(one, now))
            continue;
        for (const auto& [name, pool] : m_pools)
        {
            const auto server = pool->find(one.server);
            if (!server)
                continue;
            const bool first = server->limit(now) == nullptr;
            if (server->toldLimit(one.perSecond, now - one.ago, one.doublings, now))
                m_limits.push_back({server->instance(), one.perSecond, one.node});
            pool->limited();
            // How open it is to the node that told has in it what that node sent.
            if (!first)
                server->sentElsewhere(one.sent, one.doublings, now);
            else if (server->limit(now) != nullptr && server->recent(now) > worthTelling)
                noteLimit(*server, server->recent(now), now);
        }
    }
}

////////////////////////////////////////////////////////////
std::vector<LimitChange> Balancer::takeLimitChanges()
{
    return std::exchange(m_limits, {});
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

////////////////////////////////////////////////////////////
std::vector<QuotaState> Balancer::quotas(core::Timestamp now) const
{
    return m_quotas.list(now);
}

////////////////////////////////////////////////////////////
std::optional<QuotaState> Balancer::quota(std::string_view workspace, core::Timestamp now) const
{
    return m_quotas.state(workspace, now);
}

////////////////////////////////////////////////////////////
bool Balancer::hasQuotas() const
{
    return m_quotas.any();
}

////////////////////////////////////////////////////////////
void Balancer::heardFleet(core::Timestamp at)
{
    m_quotas.heardFleet(at);
}

} // namespace sailpath::balance

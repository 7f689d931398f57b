#include <sailpath/balance/WorkspaceQuotas.hpp>

#include <sailpath/deployment/ServerFailure.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double doublingShare = 1.0 / 8; // Of the tolerance that halves the openness
constexpr double mostPress = 5;           // Times its quota that a workspace may begin to send at once
constexpr double newsSeconds = 0.2;       // That news are on their way
constexpr double leastInHand = 1.0 / 8;   // Of the tolerance that is saved up also without a burst
constexpr double mostQuantum = 0.25;      // Doublings that one node tells at once
constexpr double untoldShare = 1.0 / 8;   // Of the tolerance that the fleet has not told, by its standard deviation
constexpr double aimShare = 0.985;        // Of the quota: the sum is tossed by what is on its way
constexpr double agreement = 0.1;         // Of the difference to a node's figure, for each halving that it told
constexpr double mostAgreement = 0.07;    // Of that difference at once
constexpr double leastTolerance = 1;      // Requests
constexpr auto   aloneAfter = std::chrono::milliseconds{1200}; // Three updates that did not come

} // namespace

////////////////////////////////////////////////////////////
WorkspaceQuotas::WorkspaceQuotas(const QuotaTolerance& borne) :
m_borne(borne)
{
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::tolerance(const deployment::Workspace& workspace) const
{
    const double inWindow = workspace.requestsPerSecond * core::toSeconds(m_borne.window) + workspace.burst;
    return std::max(leastTolerance, m_borne.excess * inWindow + m_borne.slack);
}

////////////////////////////////////////////////////////////
RateBound WorkspaceQuotas::boundOf(const deployment::Workspace& workspace) const
{
    // When a workspace begins to press, this much goes before all nodes know; what is borne beyond the quota takes a part.
    const double tolerated = tolerance(workspace);
    const double toDouble = doublingShare * tolerated;
    const double unheard = newsSeconds * mostPress * workspace.requestsPerSecond + toDouble * std::log2(mostPress);
    const double reserve = std::max(0.0, unheard - tolerated / 2);
    return {aimShare * workspace.requestsPerSecond, toDouble,
            std::max(leastInHand * tolerated, workspace.burst - reserve)};
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::quantumOf(const deployment::Workspace& workspace) const
{
    // What a node has not told is evenly spread over a quantum; of many nodes the parts nearly cancel out.
    // No more nodes have such a part than requests come in a window.
    const double deviation = 1 / std::sqrt(6.0);
    const double inWindow = workspace.requestsPerSecond * core::toSeconds(m_borne.window) + workspace.burst;
    const double holders = std::max(1.0, std::min<double>(m_nodes, inWindow));
    const double few = untoldShare * tolerance(workspace) / (deviation * std::sqrt(holders));
    return std::max(1.0, std::min(few, mostQuantum * boundOf(workspace).toDouble));
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::declare(std::span<const deployment::Workspace> workspaces, unsigned nodes, core::Random& random,
                              core::Timestamp now)
{
    m_nodes = std::max(1U, nodes);
    std::unordered_map<std::uint32_t, Quota> quotas;
    for (const deployment::Workspace& workspace : workspaces)
    {
        if (workspace.requestsPerSecond <= 0)
            continue;
        const std::uint32_t hash = deployment::shortHash(workspace.name);
        const RateBound     bound = boundOf(workspace);
        const auto          known = m_quotas.find(hash);
        // A life that begins has nothing saved up: the one before may have used it.
        Quota quota{workspace.name, workspace.requestsPerSecond, workspace.burst, bound, SharedRate(0, bound, now)};
        quota.quantum = quantumOf(workspace);
        quota.untold = quota.quantum * random.unit();
        if (known != m_quotas.end())
        {
            const double saved = known->second.rate.doublings(known->second.bound, now) * known->second.bound.toDouble;
            quota.rate = SharedRate(saved / bound.toDouble, bound, now);
            quota.untold = std::min(known->second.untold, quota.quantum);
            quota.sentHere = known->second.sentHere;
            quota.sentByAll = known->second.sentByAll;
        }
        quotas.emplace(hash, std::move(quota));
    }
    m_quotas = std::move(quotas);
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::heardFleet(core::Timestamp at)
{
    m_heardFleet = at;
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::alone(core::Timestamp now) const
{
    return m_nodes > 1 && (!m_heardFleet || now - *m_heardFleet > aloneAfter);
}

////////////////////////////////////////////////////////////
const WorkspaceQuotas::Quota* WorkspaceQuotas::find(std::string_view workspace) const
{
    const auto found = m_quotas.find(deployment::shortHash(workspace));
    return found == m_quotas.end() ? nullptr : &found->second;
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::openness(std::string_view workspace, core::Timestamp now) const
{
    const Quota* quota = find(workspace);
    return quota == nullptr ? 1 : quota->rate.openness(quota->bound, now);
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::lets(std::string_view workspace, core::Random& random, core::Timestamp now) const
{
    const double open = openness(workspace, now);
    return open >= 1 || random.unit() < open;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::sent(std::string_view workspace, core::Timestamp now)
{
    const std::uint32_t hash = deployment::shortHash(workspace);
    const auto          found = m_quotas.find(hash);
    if (found == m_quotas.end())
        return;
    Quota& quota = found->second;
    quota.rate.spend(alone(now) ? m_nodes : 1, quota.bound, now);
    quota.sentHere += 1;
    quota.sentByAll += 1;
    quota.untold += 1;
    if (quota.untold < quota.quantum)
        return;
    const double told = quota.quantum * std::floor(quota.untold / quota.quantum);
    quota.untold -= told;
    const double doublings = quota.rate.doublings(quota.bound, now);
    const auto   waiting =
        std::find_if(m_news.begin(), m_news.end(), [hash](const auto& news) { return news.server == hash; });
    if (waiting != m_news.end())
        *waiting = {0, hash, quota.perSecond, {}, waiting->sent + told, doublings};
    else
        m_news.push_back({0, hash, quota.perSecond, {}, told, doublings});
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::heard(const deployment::LimitReport& news, core::Timestamp now)
{
    const auto found = m_quotas.find(news.server);
    if (found == m_quotas.end())
        return false;
    Quota& quota = found->second;
    quota.rate.spend(news.sent, quota.bound, now);
    // A node that still has, or already has, another quota saves up otherwise.
    if (std::abs(news.perSecond - quota.perSecond) < 0.001 * quota.perSecond)
        quota.rate.agree(news.doublings, std::min(mostAgreement, agreement * news.sent / quota.bound.toDouble),
                         quota.bound);
    quota.sentByAll += news.sent;
    return true;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::takeNews(std::vector<deployment::LimitReport>& to)
{
    to.insert(to.end(), m_news.begin(), m_news.end());
    m_news.clear();
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::any() const
{
    return !m_quotas.empty();
}

////////////////////////////////////////////////////////////
QuotaState WorkspaceQuotas::stateOf(const Quota& quota, core::Timestamp now)
{
    return {quota.workspace, quota.perSecond, quota.burst, quota.rate.openness(quota.bound, now),
            quota.sentHere,  quota.sentByAll};
}

////////////////////////////////////////////////////////////
std::optional<QuotaState> WorkspaceQuotas::state(std::string_view workspace, core::Timestamp now) const
{
    const Quota* quota = find(workspace);
    return quota == nullptr ? std::nullopt : std::optional(stateOf(*quota, now));
}

////////////////////////////////////////////////////////////
std::vector<QuotaState> WorkspaceQuotas::list(core::Timestamp now) const
{
    std::vector<QuotaState> states;
    for (const auto& [hash, quota] : m_quotas)
        states.push_back(stateOf(quota, now));
    std::sort(states.begin(), states.end(),
              [](const auto& left, const auto& right) { return left.workspace < right.workspace; });
    return states;
}

} // namespace sailpath::balance

#include <sailpath/balance/WorkspaceQuotas.hpp>

#include <sailpath/deployment/ServerFailure.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::balance
{
namespace
{
// Shares and tolerances refer to the tolerated excess: the requests by which a quota may be exceeded in a window.
constexpr double halvingShare = 1.0 / 8;    // Of the tolerance; requests that halve the admission probability
constexpr double maxSurge = 5;              // Times its quota that a workspace may suddenly send
constexpr double reportDelaySeconds = 0.2;  // Until a report has arrived at all nodes
constexpr double minSavedShare = 1.0 / 8;   // Of the tolerance; can be saved up even without a burst
constexpr double maxQuantum = 0.25;         // Doublings that one node reports at once
constexpr double unreportedShare = 1.0 / 8; // Of the tolerance; standard deviation of what the fleet has not reported
constexpr double targetShare = 0.985;       // Of the quota: the sum varies with the reports that are under way
// Part of the difference to another node's figure by which to move towards it, for each halving that it reports.
constexpr double convergence = 0.1;
constexpr double maxConvergence = 0.07;                           // Largest part of that difference for one report
constexpr double minTolerance = 1;                                // Requests
constexpr auto   isolatedAfter = std::chrono::milliseconds{1200}; // Three missed updates

} // namespace

////////////////////////////////////////////////////////////
WorkspaceQuotas::WorkspaceQuotas(const QuotaTolerance& tolerance) :
m_tolerance(tolerance)
{
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::toleratedExcess(const deployment::Workspace& workspace) const
{
    const double inWindow = workspace.requestsPerSecond * core::toSeconds(m_tolerance.window) + workspace.burst;
    return std::max(minTolerance, m_tolerance.excess * inWindow + m_tolerance.slack);
}

////////////////////////////////////////////////////////////
RateBound WorkspaceQuotas::boundOf(const deployment::Workspace& workspace) const
{
    // Requests that are let in before all nodes know that a workspace exceeds its quota. Half of the tolerance covers
    // some of them; the rest is taken off the burst.
    const double tolerance = toleratedExcess(workspace);
    const double requestsToDouble = halvingShare * tolerance;
    const double sentUnreported =
        reportDelaySeconds * maxSurge * workspace.requestsPerSecond + requestsToDouble * std::log2(maxSurge);
    const double reserve = std::max(0.0, sentUnreported - tolerance / 2);
    return {targetShare * workspace.requestsPerSecond, requestsToDouble,
            std::max(minSavedShare * tolerance, workspace.burst - reserve)};
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::quantumOf(const deployment::Workspace& workspace) const
{
    // A node's unreported requests are uniformly distributed over a quantum; those of many nodes nearly cancel out.
    // At most as many nodes have unreported requests as requests arrive in a window.
    const double deviation = 1 / std::sqrt(6.0);
    const double inWindow = workspace.requestsPerSecond * core::toSeconds(m_tolerance.window) + workspace.burst;
    const double reporters = std::max(1.0, std::min<double>(m_nodes, inWindow));
    const double quantum = unreportedShare * toleratedExcess(workspace) / (deviation * std::sqrt(reporters));
    return std::max(1.0, std::min(quantum, maxQuantum * boundOf(workspace).requestsToDouble));
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::configure(std::span<const deployment::Workspace> workspaces, unsigned nodes, core::Random& random,
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
        const auto          previous = m_quotas.find(hash);
        // A node starts with nothing saved up: its previous life may have used it.
        Quota quota{workspace.name, workspace.requestsPerSecond, workspace.burst, bound, SharedRate(0, bound, now)};
        quota.quantum = quantumOf(workspace);
        quota.unreported = quota.quantum * random.unit();
        if (previous != m_quotas.end())
        {
            const double saved = previous->second.rate.log2Probability(previous->second.bound, now) *
                                 previous->second.bound.requestsToDouble;
            quota.rate = SharedRate(saved / bound.requestsToDouble, bound, now);
            quota.unreported = std::min(previous->second.unreported, quota.quantum);
            quota.sentHere = previous->second.sentHere;
            quota.sentByAll = previous->second.sentByAll;
        }
        quotas.emplace(hash, std::move(quota));
    }
    m_quotas = std::move(quotas);
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::recordFleetContact(core::Timestamp at)
{
    m_fleetContactAt = at;
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::isIsolated(core::Timestamp now) const
{
    return m_nodes > 1 && (!m_fleetContactAt || now - *m_fleetContactAt > isolatedAfter);
}

////////////////////////////////////////////////////////////
const WorkspaceQuotas::Quota* WorkspaceQuotas::find(std::string_view workspace) const
{
    const auto found = m_quotas.find(deployment::shortHash(workspace));
    return found == m_quotas.end() ? nullptr : &found->second;
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::admissionProbability(std::string_view workspace, core::Timestamp now) const
{
    const Quota* quota = find(workspace);
    return quota == nullptr ? 1 : quota->rate.admissionProbability(quota->bound, now);
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::admits(std::string_view workspace, core::Random& random, core::Timestamp now) const
{
    const double probability = admissionProbability(workspace, now);
    return probability >= 1 || random.unit() < probability;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::recordSent(std::string_view workspace, core::Timestamp now)
{
    const std::uint32_t hash = deployment::shortHash(workspace);
    const auto          found = m_quotas.find(hash);
    if (found == m_quotas.end())
        return;
    Quota& quota = found->second;
    quota.rate.spend(isIsolated(now) ? m_nodes : 1, quota.bound, now);
    quota.sentHere += 1;
    quota.sentByAll += 1;
    quota.unreported += 1;
    if (quota.unreported < quota.quantum)
        return;
    const double reported = quota.quantum * std::floor(quota.unreported / quota.quantum);
    quota.unreported -= reported;
    const double log2Probability = quota.rate.log2Probability(quota.bound, now);
    const auto   waiting =
        std::find_if(m_news.begin(), m_news.end(), [hash](const auto& news) { return news.server == hash; });
    if (waiting != m_news.end())
        *waiting = {0, hash, quota.perSecond, {}, waiting->sent + reported, log2Probability};
    else
        m_news.push_back({0, hash, quota.perSecond, {}, reported, log2Probability});
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::recordSentElsewhere(const deployment::LimitReport& news, core::Timestamp now)
{
    const auto found = m_quotas.find(news.server);
    if (found == m_quotas.end())
        return false;
    Quota& quota = found->second;
    quota.rate.spend(news.sent, quota.bound, now);
    // The figure of a node that still has, or already has, another quota is not comparable.
    if (std::abs(news.perSecond - quota.perSecond) < 0.001 * quota.perSecond)
        quota.rate.moveTowards(news.doublings,
                               std::min(maxConvergence, convergence * news.sent / quota.bound.requestsToDouble),
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
bool WorkspaceQuotas::hasQuotas() const
{
    return !m_quotas.empty();
}

////////////////////////////////////////////////////////////
QuotaState WorkspaceQuotas::stateOf(const Quota& quota, core::Timestamp now)
{
    return {quota.workspace, quota.perSecond, quota.burst, quota.rate.admissionProbability(quota.bound, now),
            quota.sentHere,  quota.sentByAll};
}

////////////////////////////////////////////////////////////
std::optional<QuotaState> WorkspaceQuotas::findState(std::string_view workspace, core::Timestamp now) const
{
    const Quota* quota = find(workspace);
    return quota == nullptr ? std::nullopt : std::optional(stateOf(*quota, now));
}

////////////////////////////////////////////////////////////
std::vector<QuotaState> WorkspaceQuotas::listStates(core::Timestamp now) const
{
    std::vector<QuotaState> states;
    for (const auto& [hash, quota] : m_quotas)
        states.push_back(stateOf(quota, now));
    std::sort(states.begin(), states.end(),
              [](const auto& left, const auto& right) { return left.workspace < right.workspace; });
    return states;
}

} // namespace sailpath::balance

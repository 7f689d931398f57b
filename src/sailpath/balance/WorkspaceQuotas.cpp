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
constexpr double minSavedShare = 1.0 / 8;    // Of the tolerance; can be saved up even without a burst
constexpr double maxQuantumShare = 1.0 / 32; // Of the tolerance; requests that one node reports at once
constexpr double unreportedShare = 1.0 / 8;  // Of the tolerance; standard deviation of what the fleet has not reported
constexpr double bindingShare = 1.0 / 2;     // Of the tolerance; missing from the full burst when a quota binds
constexpr double minTolerance = 1;           // Requests
constexpr double minSpendSeconds = 0.3;      // Longer than a report travels
constexpr double minRepaySeconds = 1;        // Several times as long as a report travels
constexpr double repayShare = 1.0 / 4;       // Of the tolerance; overdraft that takes the whole rate to repay
constexpr double minDemandSeconds = 0.5;     // Covers the rounds of returning callers
constexpr double demandReports = 8;          // Reports that the estimate of the demand spans
constexpr double sureReturn = 0.5;           // Probability from which a caller counts as returning
constexpr double savedInReserve = 2;         // Figure of a report that the other nodes do not need at once
constexpr auto   isolatedAfter = std::chrono::milliseconds{1200}; // Three missed updates
constexpr auto   bindsFor = std::chrono::seconds{2};              // After the last sign that a quota binds
constexpr auto   updateInterval = std::chrono::milliseconds{50};

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
quotas::QuotaBound WorkspaceQuotas::boundOf(const deployment::Workspace& workspace) const
{
    const double       tolerance = toleratedExcess(workspace);
    const double       rate = workspace.requestsPerSecond;
    quotas::QuotaBound bound;
    bound.perSecond = rate;
    bound.maxSaved = std::max(minSavedShare * tolerance, workspace.burst);
    bound.spendTime = core::fromMilliseconds(1000 * std::max(minSpendSeconds, repayShare * tolerance / rate));
    bound.repayTime = core::fromMilliseconds(1000 * std::max(minRepaySeconds, repayShare * tolerance / rate));
    bound.demandWindow =
        core::fromMilliseconds(1000 * std::max(minDemandSeconds, demandReports * quantumOf(workspace) / rate));
    bound.contactTimeout = 2 * quotas::FleetPresence::timeout;
    return bound;
}

////////////////////////////////////////////////////////////
double WorkspaceQuotas::quantumOf(const deployment::Workspace& workspace) const
{
    // A node's unreported requests are uniformly distributed over a quantum; those of many nodes nearly cancel out.
    // At most as many nodes have unreported requests as requests arrive in a window.
    const double deviation = 1 / std::sqrt(6.0);
    const double tolerance = toleratedExcess(workspace);
    const double inWindow = workspace.requestsPerSecond * core::toSeconds(m_tolerance.window) + workspace.burst;
    const double reporters = std::max(1.0, std::min<double>(m_nodes, inWindow));
    const double quantum = unreportedShare * tolerance / (deviation * std::sqrt(reporters));
    return std::max(1.0, std::min(quantum, maxQuantumShare * tolerance));
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
        const auto          bound = boundOf(workspace);
        const auto          previous = m_quotas.find(hash);
        // A node starts with nothing saved up: its previous life may have used it.
        Quota               quota = previous != m_quotas.end()
                                        ? previous->second
                                        : Quota{workspace.name, 0, 0, 0, quotas::QuotaLedger(0, bound, now), {}};
        quota.perSecond = workspace.requestsPerSecond;
        quota.burst = workspace.burst;
        quota.tolerance = toleratedExcess(workspace);
        quota.quantum = quantumOf(workspace);
        if (previous == m_quotas.end())
            quota.unreported = quota.quantum * random.unit();
        quota.unreported = std::min(quota.unreported, quota.quantum);
        quota.ledger.setBound(bound, now);
        quota.ledger.setShare(m_share, now);
        quotas.emplace(hash, std::move(quota));
    }
    m_quotas = std::move(quotas);
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::setMembers(std::uint32_t self, std::span<const std::uint32_t> members, core::Timestamp now)
{
    if (self != m_self)
        m_presence = quotas::FleetPresence(self);
    m_self = self;
    m_presence.setMembers(members, now);
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
double WorkspaceQuotas::heardShare(core::Timestamp now) const
{
    const double share = m_presence.share(now);
    const double nodes = std::max<double>(m_nodes, static_cast<double>(m_presence.memberCount()));
    return isIsolated(now) ? std::min(share, 1 / nodes) : share;
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::binds(const Quota& quota, core::Timestamp now)
{
    return quota.ledger.saved(now) < quota.ledger.maxSaved() - bindingShare * quota.tolerance ||
           quota.ledger.admissionProbability(now) < 1;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::update(core::Timestamp now)
{
    if (m_updatedAt && now - *m_updatedAt < updateInterval)
        return;
    m_updatedAt = now;
    const auto needsShare = [&](const auto& item)
    {
        // Two parts of the fleet that each use the whole of a small quota stay within the tolerance.
        const Quota& quota = item.second;
        const double inWindow = quota.perSecond * core::toSeconds(m_tolerance.window) + quota.burst;
        return inWindow > quota.tolerance && binds(quota, now);
    };
    if (std::any_of(m_quotas.begin(), m_quotas.end(), needsShare))
        m_boundUntil = now + bindsFor;
    m_presence.setWatching(now < m_boundUntil, now);
    m_share = heardShare(now);
    for (auto& [hash, quota] : m_quotas)
        quota.ledger.setShare(m_share, now);
    if (!m_presence.takeReportDue(now))
        return;
    deployment::LimitReport report;
    report.topic = deployment::LimitTopic::QuotaShares;
    addNews(report);
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> WorkspaceQuotas::nextDue() const
{
    if (!m_updatedAt || *m_updatedAt >= m_boundUntil)
        return std::nullopt;
    return *m_updatedAt + quotas::FleetPresence::interval;
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
    return quota == nullptr ? 1 : quota->ledger.admissionProbability(now);
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::admits(const quotas::QuotaApplicant& applicant, core::Random& random, core::Timestamp now)
{
    const std::uint32_t hash = deployment::shortHash(applicant.workspace);
    const auto          found = m_quotas.find(hash);
    if (found == m_quotas.end())
        return true;
    update(now);
    Quota& quota = found->second;
    quota.ledger.recordDemand(1, now);
    quota.unreportedDemand += 1;
    const double probability = quota.ledger.admissionProbability(now);
    const double position = quota.order.place(applicant, random);
    if (position < probability || probability >= 1)
        return true;
    (applicant.returning >= sureReturn ? quota.refusedReturning : quota.refusedFresh) += 1;
    reportDemand(quota, hash, now);
    return false;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::reportDemand(Quota& quota, std::uint32_t hash, core::Timestamp now)
{
    // As many reports as if the quota were used up, whatever the demand is.
    const double excess = std::max(1.0, quota.ledger.demand(now) / quota.perSecond);
    if (quota.unreportedDemand < quota.quantum * excess)
        return;
    deployment::LimitReport report{0, hash, quota.perSecond, {}, quota.unreportedDemand, savedInReserve};
    report.topic = deployment::LimitTopic::QuotaShares;
    quota.unreportedDemand = 0;
    addNews(report);
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::addNews(deployment::LimitReport report)
{
    const auto waiting = std::find_if(m_news.begin(), m_news.end(),
                                      [&report](const auto& news)
                                      { return news.server == report.server && news.topic == report.topic; });
    if (waiting == m_news.end())
        return m_news.push_back(report);
    report.sent += waiting->sent;
    *waiting = report;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::recordSent(std::string_view workspace, core::Timestamp now)
{
    const std::uint32_t hash = deployment::shortHash(workspace);
    const auto          found = m_quotas.find(hash);
    if (found == m_quotas.end())
        return;
    Quota& quota = found->second;
    quota.ledger.spend(1, now);
    quota.sentHere += 1;
    quota.sentByAll += 1;
    quota.unreported += 1;
    if (quota.unreported < quota.quantum)
        return;
    const double reported = quota.quantum * std::floor(quota.unreported / quota.quantum);
    quota.unreported -= reported;
    // The other nodes add the demand that the figure implies.
    const double asked = std::max(quota.unreportedDemand, reported);
    const double figure = binds(quota, now) ? std::log2(reported / asked) : savedInReserve;
    if (figure <= 0)
        quota.unreportedDemand = 0;
    addNews({0, hash, quota.perSecond, {}, reported, figure});
}

////////////////////////////////////////////////////////////
bool WorkspaceQuotas::recordSentElsewhere(const deployment::LimitReport& news, core::Timestamp now)
{
    m_presence.recordReport(news.node, now);
    const auto found = m_quotas.find(news.server);
    if (found == m_quotas.end())
        return false;
    Quota& quota = found->second;
    quota.ledger.spend(news.sent, now);
    quota.ledger.recordDemand(news.sent * std::exp2(-std::min(0.0, news.doublings)), now);
    quota.sentByAll += news.sent;
    update(now);
    return true;
}

////////////////////////////////////////////////////////////
void WorkspaceQuotas::recordNeedElsewhere(const deployment::LimitReport& report, core::Timestamp now)
{
    m_presence.recordReport(report.node, now);
    if (const auto found = m_quotas.find(report.server); found != m_quotas.end())
        found->second.ledger.recordDemand(report.sent, now);
    update(now);
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
QuotaState WorkspaceQuotas::stateOf(const Quota& quota, core::Timestamp now) const
{
    QuotaState state{quota.workspace, quota.perSecond, quota.burst, quota.ledger.admissionProbability(now),
                     quota.sentHere,  quota.sentByAll};
    state.saved = quota.ledger.saved(now);
    state.demand = quota.ledger.demand(now);
    state.heardShare = m_share;
    state.refusedFresh = quota.refusedFresh;
    state.refusedReturning = quota.refusedReturning;
    return state;
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

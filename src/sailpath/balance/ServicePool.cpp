#include <sailpath/balance/ServicePool.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double   goodShareGain = 0.05; // Weight of one probe in the share of good servers
// Share of the servers that may be suspect at once; the others could hardly take more load.
constexpr double   maxSuspectShare = 1.0 / 3;
constexpr double   observationDecayMs = 4000; // Decay time of the observed failures
constexpr double   probeShare = 0.8;          // Used share of the probe budget
constexpr unsigned minConnections = 2;
// Time after its last request for which a route counts as active.
constexpr auto     routeActiveFor = std::chrono::seconds{5};

} // namespace

////////////////////////////////////////////////////////////
ServicePool::ServicePool(std::string name, const Settings& settings, std::shared_ptr<ServerLives> lives,
                         core::Timestamp startedAt) :
m_name(std::move(name)),
m_settings(settings),
m_lives(std::move(lives)),
m_subset(settings.self, settings.dataCentre, settings.subsetSize),
m_fleetBudget(settings.retryWindow),
m_retries(settings.retryWindow, settings.retryRatio, startedAt),
m_probes(startedAt),
m_work(settings.initialWorkEstimate),
m_admission(startedAt),
m_warmUpLimit(settings.self, startedAt)
{
}

////////////////////////////////////////////////////////////
void ServicePool::setRule(const deployment::ServiceRule& rule, unsigned nodes)
{
    m_healthPath = rule.healthPath;
    m_nodeCount = std::max(1U, nodes);
    m_fleetBudget.setNodes(m_nodeCount);
    m_warmUp = rule.warmUp;
    m_warmUpLimit.setBound({rule.warmUpRate, m_settings.warmUpExcess, m_settings.warmUpSlack});
    setConnectionLimit(rule.connections, nodes);
}

////////////////////////////////////////////////////////////
bool ServicePool::mayProbe() const
{
    const bool mayReport = m_reportsLoad || m_answersWithoutLoad < m_settings.maxAnswersWithoutLoad;
    return m_settings.probing && mayReport && !m_healthPath.empty();
}

////////////////////////////////////////////////////////////
bool ServicePool::takeProbe(core::Timestamp now)
{
    return m_probes.take(probeShare * m_settings.probeRate * static_cast<double>(m_servers.size()) / m_nodeCount, now);
}

////////////////////////////////////////////////////////////
const std::string& ServicePool::healthPath() const
{
    return m_healthPath;
}

////////////////////////////////////////////////////////////
void ServicePool::setConnectionLimit(unsigned instanceLimit, unsigned nodes)
{
    const double part = m_settings.connectionShare * instanceLimit / std::max(1U, nodes);
    m_connectionLimit = instanceLimit == 0 ? 0 : std::max(minConnections, static_cast<unsigned>(part));
}

////////////////////////////////////////////////////////////
void ServicePool::setInstances(std::vector<deployment::Instance> instances, core::Timestamp now,
                               const std::set<std::string>& evacuated)
{
    std::set<std::string_view> listed;
    for (const deployment::Instance& instance : instances)
        listed.insert(instance.id);
    std::vector<std::string> removedIds;
    for (const auto& [id, server] : m_byId)
    {
        if (!listed.contains(id))
            removedIds.push_back(id);
    }
    const bool wasEmpty = m_byId.empty();
    setEvacuated(evacuated, now);
    for (const std::string& id : removedIds)
        remove(id);
    for (deployment::Instance& instance : instances)
        add(std::move(instance), !wasEmpty, now);
}

////////////////////////////////////////////////////////////
void ServicePool::upsert(deployment::Instance instance, core::Timestamp now, const std::set<std::string>& evacuated)
{
    setEvacuated(evacuated, now);
    add(std::move(instance), !m_servers.empty(), now);
}

////////////////////////////////////////////////////////////
void ServicePool::add(deployment::Instance instance, bool isJoining, core::Timestamp now)
{
    const auto known = m_byId.find(instance.id);
    // A restarted server is a new instance; the state of its previous life does not apply.
    if (known != m_byId.end() && deployment::sameInstance(*known->second->instance(), instance))
    {
        if (*known->second->instance() != instance)
            known->second->update(std::move(instance), now);
        return;
    }
    if (known != m_byId.end())
        remove(std::string(instance.id));
    const std::string id = instance.id;
    auto              life = m_lives->of(instance, now);
    const auto        server = std::make_shared<ServerView>(std::move(instance), m_settings, std::move(life), now);
    if (server->limit(now) != nullptr)
        markLimited();
    if (isJoining)
        server->markJoined();
    m_byId.emplace(id, server);
    m_byHash[deployment::instanceHash(*server->instance())] = server;
    if (m_evacuatedDataCentres.contains(server->instance()->dataCentre))
    {
        server->evacuate();
        ++m_evacuated;
    }
    else
    {
        m_servers.push_back(server);
        m_subset.add(server);
    }
}

////////////////////////////////////////////////////////////
void ServicePool::remove(const std::string& id)
{
    const auto known = m_byId.find(id);
    if (known == m_byId.end())
        return;
    known->second->retire();
    const auto hash = m_byHash.find(deployment::instanceHash(*known->second->instance()));
    if (hash != m_byHash.end() && hash->second == known->second)
        m_byHash.erase(hash);
    if (known->second->evacuated())
        --m_evacuated;
    else
    {
        m_servers.erase(std::find(m_servers.begin(), m_servers.end(), known->second));
        m_subset.remove(known->second, m_servers);
    }
    m_byId.erase(known);
}

////////////////////////////////////////////////////////////
std::uint64_t ServicePool::examinedCount() const
{
    return m_examinedCount;
}

////////////////////////////////////////////////////////////
const ServerSubset& ServicePool::subset() const
{
    return m_subset;
}

////////////////////////////////////////////////////////////
void ServicePool::setEvacuated(const std::set<std::string>& evacuated, core::Timestamp now)
{
    if (evacuated == m_evacuatedDataCentres)
        return;
    m_evacuatedDataCentres = evacuated;
    m_servers.clear();
    for (const auto& [id, server] : m_byId)
    {
        const bool isEvacuated = evacuated.contains(server->instance()->dataCentre);
        if (isEvacuated)
            server->evacuate();
        else if (server->evacuated())
            server->reinstate(m_warmUp, now);
        if (!isEvacuated)
            m_servers.push_back(server);
    }
    m_evacuated = m_byId.size() - m_servers.size();
    m_subset.reset(m_servers);
}

////////////////////////////////////////////////////////////
std::shared_ptr<const deployment::Instance> ServicePool::recordRemoteFailure(const deployment::ServerFailure& failure,
                                                                             core::Timestamp                  now)
{
    const auto found = m_byHash.find(failure.server);
    if (found == m_byHash.end())
        return nullptr;
    m_failureObservations =
        m_failureObservations * std::exp(-core::toMilliseconds(now - m_failureObservationsAt) / observationDecayMs) + 1;
    m_failureObservationsAt = now;
    ServerView& server = *found->second;
    if (!server.recordRemoteFailure(failure.node, m_failureObservations, m_servers.size(), now) ||
        !maySuspectOneMore(now))
        return nullptr;
    server.markSuspect(now);
    return server.instance();
}

////////////////////////////////////////////////////////////
void ServicePool::addLimits(std::vector<LimitState>& all, core::Timestamp now) const
{
    for (const auto& server : m_servers)
    {
        if (const SharedLimit* limit = server->limit(now))
            all.push_back({server->instance(), limit->perSecond(now), limit->limitedSince(),
                           limit->admissionProbability(now), limit->sentHere(), limit->sentByAll()});
    }
}

////////////////////////////////////////////////////////////
void ServicePool::drawInstances(const deployment::Instance& except, std::size_t most, core::Random& random,
                                std::vector<std::shared_ptr<const deployment::Instance>>& drawn) const
{
    const std::size_t first = m_servers.empty() ? 0 : random.below(m_servers.size());
    for (std::size_t i = 0; i < m_servers.size() && drawn.size() < most; ++i)
    {
        const auto& instance = m_servers[(first + i) % m_servers.size()]->instance();
        if (instance->id != except.id)
            drawn.push_back(instance);
    }
}

////////////////////////////////////////////////////////////
void ServicePool::addNotices(std::vector<NoticeInForce>& all, core::Timestamp now) const
{
    for (const auto& [id, server] : m_byId)
    {
        const NoticeState& notices = server->notices();
        if (notices.isInForce(now))
            all.push_back({server->instance(), notices.isLeaving(), notices.leavingFor(now), notices.backOffLeft(now)});
    }
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerView> ServicePool::find(std::uint32_t lifeHash) const
{
    const auto found = m_byHash.find(lifeHash);
    return found == m_byHash.end() ? nullptr : found->second;
}

////////////////////////////////////////////////////////////
bool ServicePool::hasLimitedInstance(core::Timestamp now) const
{
    // Usually no instance is limited; then no server is examined, as a service may have a thousand.
    m_mayBeLimited = m_mayBeLimited && std::any_of(m_servers.begin(), m_servers.end(),
                                                   [now](const auto& server) { return server->limit(now) != nullptr; });
    return m_mayBeLimited;
}

////////////////////////////////////////////////////////////
void ServicePool::markLimited()
{
    m_mayBeLimited = true;
}

////////////////////////////////////////////////////////////
double ServicePool::openness(core::Timestamp now) const
{
    double highest = 0;
    for (const auto& server : m_servers)
    {
        if (const SharedLimit* limit = server->limit(now))
            highest = std::max(highest, limit->admissionProbability(now));
    }
    return highest;
}

////////////////////////////////////////////////////////////
unsigned ServicePool::countMoreUrgentRanks(unsigned rank, core::Timestamp now) const
{
    std::set<unsigned> ranks;
    for (const auto& [name, route] : m_routes)
    {
        if (route.rank < rank && now - route.lastRequestAt <= routeActiveFor)
            ranks.insert(route.rank);
    }
    return static_cast<unsigned>(ranks.size());
}

////////////////////////////////////////////////////////////
bool ServicePool::maySuspectOneMore(core::Timestamp now) const
{
    const auto suspects =
        std::count_if(m_servers.begin(), m_servers.end(), [now](const auto& server) { return server->isSuspect(now); });
    return static_cast<double>(suspects + 1) <= maxSuspectShare * static_cast<double>(m_servers.size());
}

////////////////////////////////////////////////////////////
void ServicePool::recordSent(ServerView& server, core::Timestamp now)
{
    server.recordSent(now);
    if (server.cold(now))
        server.takeColdToken(m_warmUpLimit.ratePerNode(), now);
}

////////////////////////////////////////////////////////////
void ServicePool::setMembers(std::span<const std::uint32_t> members)
{
    m_warmUpLimit.setMembers(members);
}

////////////////////////////////////////////////////////////
core::Duration ServicePool::recordArrival(const deployment::HostRoute& route, std::optional<core::Duration> timeLeft,
                                          core::Timestamp now)
{
    RouteActivity& activity = m_routes[route.name];
    activity.targetLatency = route.targetLatency;
    // Workspaces of different ranks share a route; others give way to the most urgent one.
    if (route.priority <= activity.rank || now - activity.lastRequestAt > routeActiveFor)
    {
        activity.rank = route.priority;
        activity.lastRequestAt = now;
    }
    return timeLeft ? activity.callerElapsed.observe(*timeLeft) : core::Duration{};
}

////////////////////////////////////////////////////////////
void ServicePool::forgetPathFailures()
{
    m_pressure.clear();
    for (const auto& server : m_servers)
        server->forgetFailures();
}

////////////////////////////////////////////////////////////
void ServicePool::recordAdmitted(unsigned rank, core::Timestamp now)
{
    m_pressure[rank].recordAdmitted(now);
}

////////////////////////////////////////////////////////////
void ServicePool::recordRejected(unsigned rank, core::Timestamp now)
{
    m_pressure[rank].recordRejected(now);
}

////////////////////////////////////////////////////////////
bool ServicePool::underPressure(unsigned rank, core::Timestamp now) const
{
    return std::any_of(m_pressure.begin(), m_pressure.upper_bound(rank),
                       [now](const auto& entry) { return entry.second.active(now); });
}

////////////////////////////////////////////////////////////
bool ServicePool::underHighPressure(unsigned rank, core::Timestamp now) const
{
    return std::any_of(m_pressure.begin(), m_pressure.upper_bound(rank),
                       [now](const auto& entry) { return entry.second.high(now); });
}

////////////////////////////////////////////////////////////
const std::unordered_map<std::string, RouteActivity>& ServicePool::routes() const
{
    return m_routes;
}

////////////////////////////////////////////////////////////
double ServicePool::finishMs(const ServerView& server, std::string_view route, core::Timestamp now) const
{
    return server.finishMs(m_work.ms(route), m_work.baseline(), now);
}

////////////////////////////////////////////////////////////
bool ServicePool::wouldLoseThroughput(const ServerView& server, core::Timestamp now) const
{
    return server.wouldLoseThroughput(m_work.baseline(), now);
}

////////////////////////////////////////////////////////////
void ServicePool::recordProbeResult(bool good)
{
    m_goodShare += goodShareGain * ((good ? 1 : 0) - m_goodShare);
}

////////////////////////////////////////////////////////////
double ServicePool::goodShare() const
{
    return m_goodShare;
}

////////////////////////////////////////////////////////////
void ServicePool::recordMissingLoad()
{
    ++m_answersWithoutLoad;
}

////////////////////////////////////////////////////////////
const RetryWindow& ServicePool::retries() const
{
    return m_retries;
}

////////////////////////////////////////////////////////////
retry::FleetBudget& ServicePool::fleetBudget()
{
    return m_fleetBudget;
}

////////////////////////////////////////////////////////////
const retry::FleetBudget& ServicePool::fleetBudget() const
{
    return m_fleetBudget;
}

////////////////////////////////////////////////////////////
retry::RejectionMonitor& ServicePool::rejections()
{
    return m_rejections;
}

////////////////////////////////////////////////////////////
const retry::RejectionMonitor& ServicePool::rejections() const
{
    return m_rejections;
}

////////////////////////////////////////////////////////////
admission::ServiceAdmission& ServicePool::admission()
{
    return m_admission;
}

////////////////////////////////////////////////////////////
const admission::ServiceAdmission& ServicePool::admission() const
{
    return m_admission;
}

////////////////////////////////////////////////////////////
RetryWindow& ServicePool::retries()
{
    return m_retries;
}

////////////////////////////////////////////////////////////
const std::string& ServicePool::name() const
{
    return m_name;
}

////////////////////////////////////////////////////////////
std::size_t ServicePool::size() const
{
    return m_servers.size();
}

////////////////////////////////////////////////////////////
std::size_t ServicePool::evacuated() const
{
    return m_evacuated;
}

////////////////////////////////////////////////////////////
NoServerReason ServicePool::noServerReason(core::Timestamp now) const
{
    if (m_servers.empty())
        return m_evacuated > 0 ? NoServerReason::Evacuated : NoServerReason::Other;
    NoServerReason soonest = NoServerReason::Leaving;
    for (const auto& server : m_servers)
    {
        const NoServerReason reason = noServerReasonOf(*server, now);
        if (reason == NoServerReason::Other)
            return reason;
        soonest = std::min(soonest, reason);
    }
    return soonest;
}

////////////////////////////////////////////////////////////
NoServerReason ServicePool::noServerReasonOf(const ServerView& server, core::Timestamp now)
{
    if (server.notices().isLeaving())
        return NoServerReason::Leaving;
    if (!server.notices().mayReceiveRequest(now))
        return NoServerReason::BackOff;
    if (server.limit(now) != nullptr)
        return NoServerReason::Limited;
    return server.cold(now) ? NoServerReason::Cold : NoServerReason::Other;
}

////////////////////////////////////////////////////////////
core::Duration ServicePool::shortestBackOff(core::Timestamp now) const
{
    auto shortest = core::Duration::max();
    for (const auto& server : m_servers)
    {
        if (noServerReasonOf(*server, now) == NoServerReason::BackOff)
            shortest = std::min(shortest, server->notices().backOffLeft(now));
    }
    return shortest == core::Duration::max() ? core::Duration{} : shortest;
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerView> ServicePool::find(std::string_view instance) const
{
    const auto found = m_byId.find(std::string(instance));
    return found == m_byId.end() ? nullptr : found->second;
}

////////////////////////////////////////////////////////////
void ServicePool::learnLoad(double slowdown, std::optional<double> otherRequests)
{
    m_reportsLoad = true;
    m_work.learnSlowdown(slowdown);
    if (otherRequests)
        m_work.learnOtherRequests(*otherRequests);
}

////////////////////////////////////////////////////////////
WorkEstimator& ServicePool::work()
{
    return m_work;
}

////////////////////////////////////////////////////////////
const WorkEstimator& ServicePool::work() const
{
    return m_work;
}

} // namespace sailpath::balance

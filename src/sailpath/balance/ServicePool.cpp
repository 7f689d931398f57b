#include <sailpath/balance/ServicePool.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double      goodGain = 0.05;        // Share of one probe in the share of good servers
constexpr double      mostSuspects = 1.0 / 3; // Of a service's servers at once: the others could hardly bear more
constexpr double      witnessFadeMs = 4000;   // How fast failures that nodes saw are forgotten, on average
constexpr double      probeShare = 0.8;       // Of the budget for probes that is used
constexpr unsigned    leastConnections = 2;
constexpr std::size_t mostRemembered = 256; // Removed instances; what is forgotten is heard again with one answer
constexpr auto        urgentFor = std::chrono::seconds{5}; // After its last request a route counts as under way

} // namespace

////////////////////////////////////////////////////////////
ServicePool::ServicePool(std::string name, const Settings& settings, core::Timestamp born) :
m_name(std::move(name)),
m_settings(settings),
m_own(settings.self, settings.dataCentre, settings.ownServers),
m_retries(settings.retryWindow, settings.retryRatio, born),
m_probes(born),
m_work(settings.firstWork),
m_warmUpLimit(settings.self, born)
{
}

////////////////////////////////////////////////////////////
void ServicePool::setRule(const deployment::ServiceRule& rule, unsigned nodes)
{
    m_healthPath = rule.healthPath;
    m_nodes = std::max(1U, nodes);
    m_warmUp = rule.warmUp;
    m_warmUpLimit.setBound({rule.warmUpRate, m_settings.warmUpExcess, m_settings.warmUpSlack});
    setConnections(rule.connections, nodes);
}

////////////////////////////////////////////////////////////
bool ServicePool::mayProbe() const
{
    const bool mayTell = m_tellsLoad || m_answersWithoutLoad < m_settings.firstProbes;
    return m_settings.probing && mayTell && !m_healthPath.empty();
}

////////////////////////////////////////////////////////////
bool ServicePool::takeProbe(core::Timestamp now)
{
    return m_probes.take(probeShare * m_settings.probeRate * static_cast<double>(m_servers.size()) / m_nodes, now);
}

////////////////////////////////////////////////////////////
const std::string& ServicePool::healthPath() const
{
    return m_healthPath;
}

////////////////////////////////////////////////////////////
void ServicePool::setConnections(unsigned instanceLimit, unsigned nodes)
{
    const double part = m_settings.connectionShare * instanceLimit / std::max(1U, nodes);
    m_connections = instanceLimit == 0 ? 0 : std::max(leastConnections, static_cast<unsigned>(part));
}

////////////////////////////////////////////////////////////
void ServicePool::setInstances(std::vector<deployment::Instance> instances, core::Timestamp now,
                               const std::set<std::string>& evacuated)
{
    std::set<std::string_view> listed;
    for (const deployment::Instance& instance : instances)
        listed.insert(instance.id);
    std::vector<std::string> gone;
    for (const auto& [id, server] : m_byId)
    {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    const bool anew = m_byId.empty();
    setEvacuated(evacuated, now);
    for (const std::string& id : gone)
        remove(id);
    for (deployment::Instance& instance : instances)
        add(std::move(instance), !anew, now, evacuated);
}

////////////////////////////////////////////////////////////
void ServicePool::put(deployment::Instance instance, core::Timestamp now, const std::set<std::string>& evacuated)
{
    add(std::move(instance), !m_servers.empty(), now, evacuated);
}

////////////////////////////////////////////////////////////
void ServicePool::add(deployment::Instance instance, bool joins, core::Timestamp now,
                      const std::set<std::string>& evacuated)
{
    const auto known = m_byId.find(instance.id);
    // What a server that started again was and had before is over: it is met as a new one.
    if (known != m_byId.end() && deployment::sameInstance(*known->second->instance(), instance))
    {
        if (*known->second->instance() != instance)
            known->second->update(std::move(instance), now);
        return;
    }
    if (known != m_byId.end())
        remove(std::string(instance.id));
    const std::string id = instance.id;
    const auto        server = std::make_shared<ServerView>(std::move(instance), m_settings, now);
    const auto        removed = std::find_if(m_removed.begin(), m_removed.end(),
                                             [&](const auto& known) { return known->instance()->id == id; });
    if (removed != m_removed.end())
    {
        if (deployment::sameInstance(*(*removed)->instance(), *server->instance()))
            server->keepNotices((*removed)->notices());
        m_removed.erase(removed);
    }
    if (joins)
        server->joined();
    m_byId.emplace(id, server);
    m_byHash[deployment::instanceHash(*server->instance())] = server;
    if (evacuated.contains(server->instance()->dataCentre))
    {
        server->evacuate();
        ++m_evacuated;
    }
    else
    {
        m_servers.push_back(server);
        m_own.added(server);
    }
}

////////////////////////////////////////////////////////////
void ServicePool::remove(const std::string& id)
{
    const auto known = m_byId.find(id);
    if (known == m_byId.end())
        return;
    known->second->retire();
    remember(known->second);
    const auto hash = m_byHash.find(deployment::instanceHash(*known->second->instance()));
    if (hash != m_byHash.end() && hash->second == known->second)
        m_byHash.erase(hash);
    if (known->second->evacuated())
        --m_evacuated;
    else
    {
        m_servers.erase(std::find(m_servers.begin(), m_servers.end(), known->second));
        m_own.removed(known->second, m_servers);
    }
    m_byId.erase(known);
}

////////////////////////////////////////////////////////////
void ServicePool::remember(const std::shared_ptr<ServerView>& server)
{
    if (server->notices().empty())
        return;
    m_removed.push_back(server);
    if (m_removed.size() > mostRemembered)
        m_removed.pop_front();
}

////////////////////////////////////////////////////////////
std::uint64_t ServicePool::looked() const
{
    return m_looked;
}

////////////////////////////////////////////////////////////
const ServerSubset& ServicePool::own() const
{
    return m_own;
}

////////////////////////////////////////////////////////////
void ServicePool::setEvacuated(const std::set<std::string>& evacuated, core::Timestamp now)
{
    if (evacuated == m_evacuatedCentres)
        return;
    m_evacuatedCentres = evacuated;
    m_servers.clear();
    for (const auto& [id, server] : m_byId)
    {
        const bool leaves = evacuated.contains(server->instance()->dataCentre);
        if (leaves)
            server->evacuate();
        else if (server->evacuated())
            server->takenBack(m_warmUp, now);
        if (!leaves)
            m_servers.push_back(server);
    }
    m_evacuated = m_byId.size() - m_servers.size();
    m_own.reset(m_servers);
}

////////////////////////////////////////////////////////////
std::shared_ptr<const deployment::Instance> ServicePool::failedElsewhere(const deployment::ServerFailure& failure,
                                                                         core::Timestamp                  now)
{
    const auto found = m_byHash.find(failure.server);
    if (found == m_byHash.end())
        return nullptr;
    m_witnesses = m_witnesses * std::exp(-core::toMilliseconds(now - m_witnessesAt) / witnessFadeMs) + 1;
    m_witnessesAt = now;
    ServerView& server = *found->second;
    if (!server.failedElsewhere(failure.node, m_witnesses, m_servers.size(), now) || !mayAvoidOneMore(now))
        return nullptr;
    server.suspectFrom(now);
    return server.instance();
}

////////////////////////////////////////////////////////////
void ServicePool::addLimits(std::vector<LimitState>& all, core::Timestamp now) const
{
    for (const auto& server : m_servers)
    {
        if (const SharedLimit* limit = server->limit(now))
            all.push_back({server->instance(), limit->perSecond(now), limit->since(), limit->openness(now),
                           limit->sentHere(), limit->sentByAll()});
    }
}

////////////////////////////////////////////////////////////
ServerNotice ServicePool::noticed(const deployment::Instance& instance, const ServerNotice& notice, double spread,
                                  core::Timestamp now)
{
    const auto sameLife = [&](const std::shared_ptr<ServerView>& server)
    { return deployment::sameInstance(*server->instance(), instance); };
    if (const auto server = find(instance.id))
        return sameLife(server) ? server->noticed(notice, spread, now) : ServerNotice{};
    // Its entry may be gone only for a while: answers that are still under way speak for it.
    const auto removed = std::find_if(m_removed.begin(), m_removed.end(), sameLife);
    return removed != m_removed.end() ? (*removed)->noticed(notice, spread, now) : ServerNotice{};
}

////////////////////////////////////////////////////////////
void ServicePool::addNotices(std::vector<NoticeInForce>& all, core::Timestamp now) const
{
    for (const auto& [id, server] : m_byId)
    {
        const NoticeState& notices = server->notices();
        if (notices.inForce(now))
            all.push_back({server->instance(), notices.leaving(), notices.leavingFor(now), notices.backOffLeft(now)});
    }
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerView> ServicePool::find(std::uint32_t life) const
{
    const auto found = m_byHash.find(life);
    return found == m_byHash.end() ? nullptr : found->second;
}

////////////////////////////////////////////////////////////
bool ServicePool::anyLimited(core::Timestamp now) const
{
    // As a rule nobody is limited, and then no server is looked at: a service may have a thousand.
    m_mayBeLimited = m_mayBeLimited && std::any_of(m_servers.begin(), m_servers.end(),
                                                   [now](const auto& server) { return server->limit(now) != nullptr; });
    return m_mayBeLimited;
}

////////////////////////////////////////////////////////////
void ServicePool::limited()
{
    m_mayBeLimited = true;
}

////////////////////////////////////////////////////////////
double ServicePool::openness(core::Timestamp now) const
{
    double most = 0;
    for (const auto& server : m_servers)
    {
        if (const SharedLimit* limit = server->limit(now))
            most = std::max(most, limit->openness(now));
    }
    return most;
}

////////////////////////////////////////////////////////////
unsigned ServicePool::moreUrgent(unsigned rank, core::Timestamp now) const
{
    std::set<unsigned> ranks;
    for (const auto& [name, route] : m_routes)
    {
        if (route.rank < rank && now - route.at <= urgentFor)
            ranks.insert(route.rank);
    }
    return static_cast<unsigned>(ranks.size());
}

////////////////////////////////////////////////////////////
bool ServicePool::mayAvoidOneMore(core::Timestamp now) const
{
    const auto suspects =
        std::count_if(m_servers.begin(), m_servers.end(), [now](const auto& server) { return server->suspect(now); });
    return static_cast<double>(suspects + 1) <= mostSuspects * static_cast<double>(m_servers.size());
}

////////////////////////////////////////////////////////////
void ServicePool::sent(ServerView& server, core::Timestamp now)
{
    server.sent(now);
    if (server.cold(now))
        server.takeTurn(m_warmUpLimit.rate(), now);
}

////////////////////////////////////////////////////////////
void ServicePool::setMembers(std::span<const std::uint32_t> members)
{
    m_warmUpLimit.setMembers(members);
}

////////////////////////////////////////////////////////////
core::Duration ServicePool::arrived(const deployment::HostRoute& route, std::optional<core::Duration> timeLeft,
                                    core::Timestamp now)
{
    RouteSeen& seen = m_routes[route.name];
    seen.rank = route.priority;
    seen.target = route.targetLatency;
    seen.at = now;
    return timeLeft ? seen.patience.heard(*timeLeft) : core::Duration{};
}

////////////////////////////////////////////////////////////
void ServicePool::letIn(unsigned rank, core::Timestamp now)
{
    m_pressure[rank].letIn(now);
}

////////////////////////////////////////////////////////////
void ServicePool::turnedAway(unsigned rank, core::Timestamp now)
{
    m_pressure[rank].turnedAway(now);
}

////////////////////////////////////////////////////////////
bool ServicePool::pressed(unsigned rank, core::Timestamp now) const
{
    return std::any_of(m_pressure.begin(), m_pressure.upper_bound(rank),
                       [now](const auto& each) { return each.second.any(now); });
}

////////////////////////////////////////////////////////////
bool ServicePool::highlyPressed(unsigned rank, core::Timestamp now) const
{
    return std::any_of(m_pressure.begin(), m_pressure.upper_bound(rank),
                       [now](const auto& each) { return each.second.high(now); });
}

////////////////////////////////////////////////////////////
const std::unordered_map<std::string, RouteSeen>& ServicePool::routes() const
{
    return m_routes;
}

////////////////////////////////////////////////////////////
double ServicePool::finishMs(const ServerView& server, std::string_view route, core::Timestamp now) const
{
    return server.finishMs(m_work.ms(route), m_work.usual(), now);
}

////////////////////////////////////////////////////////////
bool ServicePool::full(const ServerView& server, core::Timestamp now) const
{
    return server.full(m_work.usual(), now);
}

////////////////////////////////////////////////////////////
void ServicePool::noteFound(bool good)
{
    m_goodShare += goodGain * ((good ? 1 : 0) - m_goodShare);
}

////////////////////////////////////////////////////////////
double ServicePool::goodShare() const
{
    return m_goodShare;
}

////////////////////////////////////////////////////////////
void ServicePool::learnNoLoad()
{
    ++m_answersWithoutLoad;
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
Shortage ServicePool::shortage(core::Timestamp now) const
{
    if (m_servers.empty())
        return m_evacuated > 0 ? Shortage::Evacuated : Shortage::Other;
    Shortage soonest = Shortage::Leaving;
    for (const auto& server : m_servers)
    {
        const Shortage its = shortageOf(*server, now);
        if (its == Shortage::Other)
            return its;
        soonest = std::min(soonest, its);
    }
    return soonest;
}

////////////////////////////////////////////////////////////
Shortage ServicePool::shortageOf(const ServerView& server, core::Timestamp now)
{
    if (server.notices().leaving())
        return Shortage::Leaving;
    if (!server.notices().takesOneMore(now))
        return Shortage::BackOff;
    if (server.limit(now) != nullptr)
        return Shortage::Limited;
    return server.cold(now) ? Shortage::Cold : Shortage::Other;
}

////////////////////////////////////////////////////////////
core::Duration ServicePool::shortestBackOff(core::Timestamp now) const
{
    auto shortest = core::Duration::max();
    for (const auto& server : m_servers)
    {
        if (shortageOf(*server, now) == Shortage::BackOff)
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
void ServicePool::learnLoad(double pace, std::optional<double> others)
{
    m_tellsLoad = true;
    m_work.learnPace(pace);
    if (others)
        m_work.learnOthers(*others);
}

////////////////////////////////////////////////////////////
UsualWork& ServicePool::work()
{
    return m_work;
}

////////////////////////////////////////////////////////////
const UsualWork& ServicePool::work() const
{
    return m_work;
}

} // namespace sailpath::balance

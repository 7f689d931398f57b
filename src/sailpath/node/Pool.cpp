#include "Pool.hpp"

#include <algorithm>
#include <cassert>

namespace sailpath::node::priv
{
namespace
{
constexpr double reportGain = 0.05;    // Weight of one report in the mean of other nodes' requests
constexpr double workGain = 0.02;      // Weight of one answer in the mean work of the priority class
constexpr double latencyGain = 0.05;   // Weight of one answer in the mean latency
constexpr double ejectableShare = 0.5; // Largest share of the pool's servers that may be ejected at once
constexpr double batchHeadroom = 1.0;  // Slots that batch requests leave free at each server

////////////////////////////////////////////////////////////
std::shared_ptr<const Target> makeTarget(const std::string& workspace, const config::Service& service,
                                         const config::BackendServer& server)
{
    Target target;
    target.workspace = workspace;
    target.service = service.name;
    target.server = server.name;
    target.address = server.address;
    target.port = server.port;
    target.probePath = service.probe.path;
    target.probeCost = service.probe.cost;
    target.connections = server.connections;
    target.claimWindow = service.claimWindow;
    return std::make_shared<const Target>(std::move(target));
}

////////////////////////////////////////////////////////////
core::Duration roundTripTo(const std::string& dataCentre, const DispatcherSettings& settings)
{
    const auto known = settings.roundTrips.find(dataCentre);
    if (known != settings.roundTrips.end())
        return known->second;
    return dataCentre == settings.dataCentre ? core::Duration{0} : settings.otherDataCentreRoundTrip;
}

} // namespace

////////////////////////////////////////////////////////////
Pool::Server::Server(std::shared_ptr<const Target> where, const config::BackendServer& declared,
                     const DispatcherSettings& settings) :
target(std::move(where)),
declaration(declared),
load(declared.slots, roundTripTo(declared.dataCentre, settings), settings.load),
health(settings.health),
limit(declared.slots, declared.connections, settings.concurrency)
{
}

////////////////////////////////////////////////////////////
Pool::Pool(std::string workspace, const DispatcherSettings& settings) :
m_workspace(std::move(workspace)),
m_settings(settings),
m_choice(routing::makeServerChoice(settings.choice)),
m_queue(0),
m_retryBudget(0),
m_meanLatency(core::toMilliseconds(settings.initialWork))
{
    assert(m_choice);
    m_meanWork.fill(core::toMilliseconds(settings.initialWork));
}

////////////////////////////////////////////////////////////
void Pool::configure(const config::Service& service, core::Timestamp now)
{
    const bool first = m_servers.empty();
    m_service = service;
    m_removed = false;
    m_queue.setCapacity(service.queue);
    m_retryBudget.setShare(service.retry.budget);
    m_anyRepeatable = std::any_of(service.routes.begin(), service.routes.end(),
                                  [](const config::Route& route) { return route.repeatable; });

    for (const auto& known : m_servers)
    {
        const auto& all = service.servers;
        known->removed = known->removed || std::find(all.begin(), all.end(), known->declaration) == all.end();
    }
    for (const config::BackendServer& server : service.servers)
        declareServer(server, !first, now);
    m_candidates.reserve(m_servers.size());
}

////////////////////////////////////////////////////////////
void Pool::declareServer(const config::BackendServer& server, bool cold, core::Timestamp now)
{
    const auto same = std::find_if(m_servers.begin(), m_servers.end(),
                                   [&](const auto& known) { return !known->removed && known->declaration == server; });
    if (same != m_servers.end())
    {
        (*same)->target = makeTarget(m_workspace, m_service, server);
        return;
    }
    auto added = std::make_unique<Server>(makeTarget(m_workspace, m_service, server), server, m_settings);
    // A server that joins a running pool may be cold, so the load on the server is ramped up.
    if (cold)
        added->health.startRamp(now);
    addServer(std::move(added));
}

////////////////////////////////////////////////////////////
void Pool::addServer(std::unique_ptr<Server> added)
{
    // Requests in flight refer to servers by index, so only the entry of an idle server is reused.
    const auto idle =
        std::find_if(m_servers.begin(), m_servers.end(),
                     [](const auto& server) { return server->removed && server->load.ownInFlight() == 0; });
    if (idle != m_servers.end())
        *idle = std::move(added);
    else
        m_servers.push_back(std::move(added));
}

////////////////////////////////////////////////////////////
void Pool::remove()
{
    m_removed = true;
    for (const auto& server : m_servers)
        server->removed = true;
}

////////////////////////////////////////////////////////////
ChoiceResult Pool::choose(const ChoiceQuery& query, core::Random& random)
{
    m_candidates.clear();
    m_limitSum = 0;
    const double work = meanWork(query.priority);
    bool         anyAvailable = false;
    for (std::size_t i = 0; i < m_servers.size(); ++i)
    {
        const Server& server = *m_servers[i];
        if (server.removed || i == query.excluded)
            continue;
        const routing::Availability standing = server.health.availability(query.now);
        if (standing == routing::Availability::Trial && trialAllowed(query))
            return {ChoiceFailure::None, i};
        if (standing != routing::Availability::Healthy && standing != routing::Availability::Ramping)
            continue;
        anyAvailable = true;
        m_limitSum += limitOf(server, query.now);
        if (!canAccept(server, query))
            continue;
        const double finish = server.load.finishMilliseconds(query.now, m_meanOtherRequests, work);
        m_candidates.push_back({i, finish / server.health.share(query.now), server.load.ownInFlight(),
                                server.load.ownInFlight() + server.load.reportedOthers().value_or(0)});
    }
    if (!anyAvailable)
        return {ChoiceFailure::NoServer, 0};
    const bool poolFull = m_settings.useLimits && m_ownInFlight >= std::max(1.0, m_limitSum);
    if (m_candidates.empty() || poolFull)
        return {ChoiceFailure::AllBusy, 0};
    return {ChoiceFailure::None, m_candidates[m_choice->choose(m_candidates, random)].server};
}

////////////////////////////////////////////////////////////
void Pool::startAttempt(std::size_t server, core::Timestamp now)
{
    Server& chosen = *m_servers[server];
    if (chosen.health.availability(now) == routing::Availability::Trial)
        chosen.health.recordTrialSent();
    chosen.load.recordSent(now);
    ++m_ownInFlight;
    ++m_counters.attempts;
}

////////////////////////////////////////////////////////////
bool Pool::endAttempt(std::size_t server, const AttemptInfo& attempt, const Outcome& outcome, core::Timestamp now)
{
    Server& attempted = *m_servers[server];
    attempted.load.recordEnded(attempt.sentAt);
    --m_ownInFlight;
    if (outcome.report)
        recordLoad(attempted, *outcome.report, now);
    const bool carriesStatus = outcome.report || outcome.draining;
    const bool startedDraining = carriesStatus && attempted.health.recordDraining(outcome.draining, now);

    switch (outcome.result)
    {
    case retries::AttemptResult::Answered:
        recordAnswer(attempted, attempt, now);
        break;
    case retries::AttemptResult::Shed:
        attempted.limit.recordRejection(now);
        if (outcome.retryAfter.count() > 0)
            attempted.health.recordBackOff(now + outcome.retryAfter);
        if (attempted.health.isEjected())
            recordFailure(attempted, now);
        break;
    case retries::AttemptResult::Failed:
    case retries::AttemptResult::NotSent:
    case retries::AttemptResult::Unknown:
        recordFailure(attempted, now);
        break;
    case retries::AttemptResult::Abandoned:
        attempted.health.recordTrialAbandoned();
        break;
    }
    return startedDraining;
}

////////////////////////////////////////////////////////////
void Pool::recordServerReport(std::string_view server, routing::LoadReport report, bool draining, core::Timestamp at)
{
    if (Server* known = findServer(server))
    {
        recordLoad(*known, report, at);
        (void)known->health.recordDraining(draining, at);
    }
}

////////////////////////////////////////////////////////////
void Pool::serverGone(std::string_view server, core::Timestamp now)
{
    if (Server* known = findServer(server))
        known->health.recordClosed(now);
}

////////////////////////////////////////////////////////////
core::Duration Pool::expectedWait(std::size_t ahead) const
{
    const double parallel = std::max(1.0, m_limitSum);
    return core::fromMilliseconds(m_meanLatency * static_cast<double>(ahead + 1) / parallel);
}

////////////////////////////////////////////////////////////
core::Duration Pool::meanLatency() const
{
    return core::fromMilliseconds(m_meanLatency);
}

////////////////////////////////////////////////////////////
core::Duration Pool::longestWait(core::Timestamp now)
{
    if (!m_settings.usePatience)
        return m_service.maxWait;
    m_patience.observe(m_queue.size() == 0, now);
    return m_patience.maxWait(m_service.maxWait, meanLatency(), now);
}

////////////////////////////////////////////////////////////
std::size_t Pool::entryCount() const
{
    return m_servers.size();
}

////////////////////////////////////////////////////////////
bool Pool::removed() const
{
    return m_removed;
}

////////////////////////////////////////////////////////////
const std::string& Pool::workspace() const
{
    return m_workspace;
}

////////////////////////////////////////////////////////////
const config::Service& Pool::service() const
{
    return m_service;
}

////////////////////////////////////////////////////////////
const std::shared_ptr<const Target>& Pool::target(std::size_t server) const
{
    return m_servers[server]->target;
}

////////////////////////////////////////////////////////////
limits::WaitQueue& Pool::queue()
{
    return m_queue;
}

////////////////////////////////////////////////////////////
retries::RetryBudget& Pool::retryBudget()
{
    return m_retryBudget;
}

////////////////////////////////////////////////////////////
DispatcherCounters& Pool::counters()
{
    return m_counters;
}

////////////////////////////////////////////////////////////
const DispatcherCounters& Pool::counters() const
{
    return m_counters;
}

////////////////////////////////////////////////////////////
bool Pool::canAccept(const Server& server, const ChoiceQuery& query) const
{
    if (query.priority == config::Priority::Batch)
    {
        const double room = std::max(1.0, server.load.slots() - batchHeadroom);
        if (server.load.occupancy(query.now, m_meanOtherRequests) + 1.0 > room)
            return false;
    }
    if (!m_settings.useLimits)
        return true;
    return server.load.ownInFlight() < std::max(1.0, limitOf(server, query.now));
}

////////////////////////////////////////////////////////////
bool Pool::trialAllowed(const ChoiceQuery& query) const
{
    // A trial may fail, so it uses a repeatable request unless the service has none.
    return query.repeatable || !m_anyRepeatable;
}

////////////////////////////////////////////////////////////
bool Pool::mayEject() const
{
    if (!m_settings.useEjection)
        return false;
    std::size_t inForce = 0;
    std::size_t ejected = 0;
    for (const auto& server : m_servers)
    {
        inForce += server->removed ? 0 : 1;
        ejected += !server->removed && server->health.isEjected() ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= ejectableShare * static_cast<double>(inForce);
}

////////////////////////////////////////////////////////////
double Pool::limitOf(const Server& server, core::Timestamp now) const
{
    return server.limit.value() * server.health.share(now);
}

////////////////////////////////////////////////////////////
double& Pool::meanWork(config::Priority priority)
{
    return m_meanWork.at(static_cast<std::size_t>(priority));
}

////////////////////////////////////////////////////////////
Pool::Server* Pool::findServer(std::string_view name)
{
    const auto found =
        std::find_if(m_servers.begin(), m_servers.end(),
                     [name](const auto& server) { return !server->removed && server->declaration.name == name; });
    return found == m_servers.end() ? nullptr : found->get();
}

////////////////////////////////////////////////////////////
void Pool::recordLoad(Server& server, routing::LoadReport report, core::Timestamp at)
{
    server.load.recordReport(report, at);
    if (const auto others = server.load.reportedOthers())
        m_meanOtherRequests += reportGain * (*others - m_meanOtherRequests);
}

////////////////////////////////////////////////////////////
void Pool::recordAnswer(Server& server, const AttemptInfo& attempt, core::Timestamp now)
{
    if (server.health.isEjected())
        server.load.resetWork();
    const core::Duration latency = now - attempt.sentAt;
    double&              mean = meanWork(attempt.priority);
    mean += workGain * (server.load.recordLatency(latency, mean) - mean);
    server.health.recordSuccess(now);
    server.limit.recordSuccess(server.load.occupancy(now, m_meanOtherRequests), server.load.ownInFlight(), now);
    m_meanLatency += latencyGain * (core::toMilliseconds(latency) - m_meanLatency);
}

////////////////////////////////////////////////////////////
void Pool::recordFailure(Server& server, core::Timestamp now)
{
    if (server.health.recordFailure(now, mayEject()))
        ++m_counters.ejections;
}

} // namespace sailpath::node::priv

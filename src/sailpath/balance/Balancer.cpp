#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr auto     misdirectedBackOff = std::chrono::seconds{2}; // A wrong entry is removed or corrected soon
constexpr double   workShareOfTarget = 0.35; // Service time over target latency, assumed until answers arrive
constexpr unsigned statusServerFailed = 500;

////////////////////////////////////////////////////////////
admission::LoadSample sampleOf(const Load& load)
{
    return {load.running, load.waiting, load.slots};
}

} // namespace

////////////////////////////////////////////////////////////
std::string_view toString(RefusalReason reason)
{
    switch (reason)
    {
    case RefusalReason::NotConfigured:
        return "not-configured";
    case RefusalReason::NoRoute:
        return "no-route";
    case RefusalReason::OldRoutes:
        return "old-routes";
    case RefusalReason::UnknownKey:
        return "unknown-key";
    case RefusalReason::OldKeys:
        return "old-keys";
    case RefusalReason::OverQuota:
        return "over-quota";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::Evacuated:
        return "all-evacuated";
    case RefusalReason::AllCold:
        return "all-cold";
    case RefusalReason::AllLimited:
        return "all-limited";
    case RefusalReason::AllLeaving:
        return "all-leaving";
    case RefusalReason::AllBackOff:
        return "all-back-off";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::NoRoom:
        return "no-room";
    case RefusalReason::EndsServers:
        return "ends-servers";
    case RefusalReason::MayEndServers:
        return "may-end-servers";
    case RefusalReason::CameBackLate:
        return "came-back-late";
    case RefusalReason::NotRun:
        return "not-run";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::Unknown:
        return "outcome-unknown";
    case RefusalReason::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

////////////////////////////////////////////////////////////
Balancer::Balancer(Settings settings, core::Timestamp now) :
m_settings(std::move(settings)),
m_startedAt(now),
m_random(m_settings.seed),
m_quotas(m_settings.quotas)
{
}

////////////////////////////////////////////////////////////
void Balancer::configure(const deployment::DeclaredState& declared, core::Timestamp now)
{
    m_nodes = std::max(1U, declared.nodes);
    m_lives->forgetOld(now);
    m_crashes.applyStored(declared.quarantines, now);
    bool changed = declared.deployment && declared.deployment != m_deployment;
    if (changed)
    {
        m_deployment = declared.deployment;
        m_routes = deployment::RouteTable(m_deployment);
        m_keys = deployment::KeyTable(m_deployment);
        forgetAnswerTimes();
    }
    if (m_deployment)
        m_quotas.configure(m_deployment->workspaces, m_nodes, m_random, now);
    m_quotas.setMembers(m_settings.self, declared.members, now);
    changed = (declared.whole ? applyAll(declared, now) : applyChanges(declared, now)) || changed;
    for (const auto& [name, pool] : m_pools)
        pool->setMembers(declared.members);
    if (!m_deployment)
        return;
    for (const deployment::ServiceRule& rule : m_deployment->services)
    {
        const auto pool = m_pools.find(rule.name);
        if (pool != m_pools.end())
            pool->second->setRule(rule, m_nodes);
    }
    if (changed)
        seedWorkEstimates();
    // Later, what this node has seen itself is better.
    if (!std::exchange(m_startedFromSnapshot, true) && declared.learned)
        applyLearned(*declared.learned);
    admitHeld(now);
}

////////////////////////////////////////////////////////////
bool Balancer::applyAll(const deployment::DeclaredState& declared, core::Timestamp now)
{
    std::unordered_map<std::string, std::vector<deployment::Instance>> byService;
    for (const deployment::Instance& instance : declared.instances)
    {
        if (!instance.draining)
            byService[instance.service].push_back(instance);
    }
    for (auto& [name, pool] : m_pools)
        byService.try_emplace(name);
    const std::size_t before = m_pools.size();
    for (auto& [name, instances] : byService)
        poolOf(name)->setInstances(std::move(instances), now, declared.evacuated);
    return m_pools.size() > before;
}

////////////////////////////////////////////////////////////
bool Balancer::applyChanges(const deployment::DeclaredState& declared, core::Timestamp now)
{
    const std::size_t before = m_pools.size();
    const auto        remove = [&](const deployment::Instance& instance)
    {
        if (const auto pool = m_pools.find(instance.service); pool != m_pools.end())
            pool->second->remove(instance.id);
    };
    for (const auto& [name, pool] : m_pools)
        pool->setEvacuated(declared.evacuated, now);
    for (const deployment::Instance& instance : declared.gone)
        remove(instance);
    for (const deployment::Instance& instance : declared.instances)
    {
        if (instance.draining)
            remove(instance);
        else
            poolOf(instance.service)->upsert(instance, now, declared.evacuated);
    }
    return m_pools.size() > before;
}

////////////////////////////////////////////////////////////
const std::shared_ptr<ServicePool>& Balancer::poolOf(const std::string& service)
{
    auto& pool = m_pools[service];
    if (!pool)
        pool = std::make_shared<ServicePool>(service, m_settings, m_lives, m_startedAt);
    return pool;
}

////////////////////////////////////////////////////////////
void Balancer::setConfigurationConfirmedAt(std::optional<core::Timestamp> at)
{
    m_confirmedAt = at;
}

////////////////////////////////////////////////////////////
void Balancer::seedWorkEstimates()
{
    for (const deployment::HostRoute& route : m_deployment->routes)
    {
        for (const deployment::SplitPart& part : route.parts)
        {
            const auto pool = m_pools.find(part.service);
            if (pool != m_pools.end())
                pool->second->work().setInitialEstimate(route.name,
                                                        workShareOfTarget * core::toMilliseconds(route.targetLatency));
        }
    }
}

////////////////////////////////////////////////////////////
void Balancer::attemptEnded(Ticket ticket, unsigned number, const Outcome& outcome, core::Timestamp now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return lateSendEnded(ticket, number, outcome, now);
    if (number == 0 || number > found->second.attempts.size())
        return;
    Request& request = found->second;
    Attempt& attempt = request.attempts[number - 1];
    if (!attempt.running)
        return;
    attempt.running = false;
    attempt.server->recordEnd(now);
    learnOutcome(request, attempt, outcome, now);
    if (outcome.identity)
        request.identity = outcome.identity;
    if (endedByServer(outcome.loss) && request.identity)
        checkAfterLoss(attempt.server->instance(), {*request.identity, attempt.sentAt, now});

    const bool failedAnswer = outcome.status >= statusServerFailed;
    if (outcome.end == AttemptEnd::Answered && !failedAnswer && request.identity)
        recordServed(*request.identity, now);
    if (outcome.end == AttemptEnd::Answered && !(failedAnswer && request.route.repeatable))
    {
        abandonRunning(ticket, request, now);
        recordAnswerTime(request, now);
        Step step;
        step.kind = StepKind::Answer;
        step.ticket = ticket;
        step.attempt = number;
        m_steps.push_back(step);
        close(ticket);
        return;
    }
    if (outcome.end == AttemptEnd::NotSent)
        --request.sends;
    if (outcome.helperStops)
        std::erase(request.triedServers, attempt.server.get());
    if (outcome.end == AttemptEnd::Lost)
        request.mayHaveRun = true;
    if (outcome.end == AttemptEnd::Answered)
        request.fallbackAttempt = number;
    request.retryAfter = std::max(request.retryAfter, outcome.retryAfter);
    const bool elsewhere = std::any_of(request.attempts.begin(), request.attempts.end(),
                                       [](const Attempt& other) { return other.running; });
    if (elsewhere)
        return;
    const bool mayRepeat = request.route.repeatable || !request.mayHaveRun;
    if (!request.callerGone && mayRepeat && maySendAgain(request, now) && !mayEndAnotherServer(request, now))
    {
        return startSearch(ticket, request, now);
    }
    conclude(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::learnLoad(ServicePool& pool, ServerView& server, const Outcome& outcome, core::Timestamp now)
{
    if (outcome.warmUp && server.updateWarmUp(*outcome.warmUp, now))
        m_warmUpChanges.push_back({server.instance(), *outcome.warmUp});
    if (outcome.limit)
        learnLimit(pool, server, *outcome.limit, now);
    if (outcome.load)
    {
        server.recordReport(*outcome.load, now);
        pool.learnLoad(outcome.load->slowdown, server.reportedOtherRequests());
        pool.admission().recordLoad(sampleOf(*outcome.load), now);
    }
    else if (outcome.end == AttemptEnd::Answered)
        pool.recordMissingLoad();
}

////////////////////////////////////////////////////////////
void Balancer::learnOutcome(Request& request, Attempt& attempt, const Outcome& outcome, core::Timestamp now)
{
    ServerView& server = *attempt.server;
    if (outcome.end == AttemptEnd::Answered || outcome.end == AttemptEnd::NotRun)
        m_crashes.recordContact(deployment::instanceHash(*server.instance()), now);
    if (outcome.end == AttemptEnd::Answered)
    {
        server.recordAccepted(attempt.sentAt);
        request.pool->rejections().recordAccepted(now);
    }
    learnLoad(*request.pool, server, outcome, now);
    const double latency = core::toMilliseconds(now - attempt.sentAt);
    switch (outcome.end)
    {
    case AttemptEnd::Answered:
        if (outcome.status >= statusServerFailed)
        {
            server.recordFailure(now);
            recordFailure(*request.pool, server, now);
            break;
        }
        learnLatency(request, attempt, latency, now);
        if (outcome.load)
            request.pool->admission().recordAnswer(sampleOf(*outcome.load), attempt.held, latency,
                                                   request.pool->work().ms(request.route.name),
                                                   now - attempt.sentAt <= request.route.targetLatency, now);
        break;
    case AttemptEnd::NotRun:
        recordRejection(*request.pool, server, outcome, now);
        if (outcome.misdirected)
            recordNotice(server.instance(), {false, misdirectedBackOff}, NoticeSource::Misdirected, now);
        break;
    case AttemptEnd::Lost:
        if (attempt.pathAtFault)
            break;
        server.recordFailure(now);
        recordFailure(*request.pool, server, now);
        break;
    case AttemptEnd::NotSent:
        if (!attempt.pathAtFault && !outcome.helperStops)
            server.recordFailure(now);
        break;
    }
}

////////////////////////////////////////////////////////////
void Balancer::learnLatency(Request& request, const Attempt& attempt, double latencyMs, core::Timestamp now)
{
    WorkEstimator& work = request.pool->work();
    work.learn(
        request.route.name,
        {latencyMs, attempt.unscaledMs, attempt.workMs, attempt.crowding, attempt.crowdedSlowdown, attempt.trial}, now);
    // What all servers have in common belongs to the route's processing time, not to each server.
    const double expectedMs = attempt.unscaledMs * work.ms(request.route.name) / attempt.workMs;
    attempt.server->recordAnswer(latencyMs, expectedMs, attempt.trial, now);
    if (attempt.trial && now - attempt.sentAt <= request.route.targetLatency)
        work.recordContradiction(request.route.name);
}

////////////////////////////////////////////////////////////
void Balancer::recordFailure(ServicePool& pool, const ServerView& server, core::Timestamp now)
{
    constexpr std::size_t maxPending = 256; // Reached only when `takeFailures` is not called
    const std::uint32_t   hash = deployment::instanceHash(*server.instance());
    recordFailureReport(pool, {0, hash}, now);
    if (m_failedInstances.size() < maxPending)
        m_failedInstances.push_back(hash);
}

////////////////////////////////////////////////////////////
void Balancer::receiveFailures(std::span<const deployment::ServerFailure> failures, core::Timestamp now)
{
    for (const deployment::ServerFailure& failure : failures)
    {
        for (const auto& [name, pool] : m_pools)
            recordFailureReport(*pool, failure, now);
    }
}

////////////////////////////////////////////////////////////
void Balancer::recordFailureReport(ServicePool& pool, const deployment::ServerFailure& failure, core::Timestamp now)
{
    if (auto suspect = pool.recordRemoteFailure(failure, now))
        m_suspects.push_back(std::move(suspect));
}

////////////////////////////////////////////////////////////
std::vector<std::shared_ptr<const deployment::Instance>> Balancer::takeSuspects()
{
    return std::exchange(m_suspects, {});
}

////////////////////////////////////////////////////////////
std::vector<WarmUpChange> Balancer::takeWarmUpChanges()
{
    return std::exchange(m_warmUpChanges, {});
}

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> Balancer::takeFailures()
{
    return std::exchange(m_failedInstances, {});
}

////////////////////////////////////////////////////////////
void Balancer::forward(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now, bool trial)
{
    Attempt attempt;
    attempt.server = choice.server;
    attempt.sentAt = now;
    attempt.expectedMs = choice.finishMs;
    attempt.unscaledMs = choice.finishMs / choice.server->latencyRatio(now);
    attempt.crowding = choice.crowding;
    attempt.workMs = request.pool->work().ms(request.route.name);
    attempt.crowdedSlowdown = request.pool->work().baseline().crowdedSlowdown;
    attempt.trial = trial;
    request.pool->work().recordSent(request.route.name, trial, now);
    attempt.held = choice.server->occupancy(request.pool->work().baseline().otherRequests, now) + 1;
    request.pool->recordSent(*choice.server, now);
    // A server may run a further attempt as well, unless the earlier ones surely did not run.
    const bool mayRunAnyway = request.mayHaveRun || std::any_of(request.attempts.begin(), request.attempts.end(),
                                                                [](const Attempt& other) { return other.running; });
    if (request.attempts.empty() || mayRunAnyway)
        m_quotas.recordSent(request.workspace, now);
    if (choice.server->limit(now) != nullptr)
        addLimitNews(*choice.server, 1, now);
    request.attempts.push_back(attempt);
    request.triedServers.push_back(choice.server.get());
    ++request.sends;

    Step step;
    step.kind = StepKind::Forward;
    step.ticket = ticket;
    step.attempt = static_cast<unsigned>(request.attempts.size());
    step.instance = choice.server->instance();
    step.deadline = request.deadline - m_settings.answerTripReserve;
    step.repeatable = request.route.repeatable;
    step.workspace = request.workspace;
    step.triedFor = request.firstByteAt - request.firstTriedAt;
    step.trial = trial;
    step.expectedMs = choice.finishMs;
    step.reportAgeMs = choice.server->reportAgeMs(now);
    step.leavingFor = choice.server->notices().leavingFor(now);
    step.backOffLeft = choice.server->notices().backOffLeft(now);
    m_steps.push_back(std::move(step));
}

////////////////////////////////////////////////////////////
void Balancer::abandonRunning(Ticket ticket, Request& request, core::Timestamp now)
{
    for (std::size_t i = 0; i < request.attempts.size(); ++i)
    {
        Attempt& attempt = request.attempts[i];
        if (!attempt.running)
            continue;
        attempt.running = false;
        attempt.server->recordEnd(now);
        const double elapsed = core::toMilliseconds(now - attempt.sentAt);
        if (!attempt.pathAtFault)
            attempt.server->recordOverdue(elapsed, attempt.unscaledMs, now);
        if (!attempt.pathAtFault &&
            elapsed >
                m_settings.stuckFactor * std::max(attempt.expectedMs, request.pool->work().ms(request.route.name)))
            attempt.server->recordFailure(now);
        request.mayHaveRun = true;
        Step step;
        step.kind = StepKind::Abandon;
        step.ticket = ticket;
        step.attempt = static_cast<unsigned>(i + 1);
        step.repeatable = request.route.repeatable;
        if (!step.repeatable)
            m_lateSends.add(ticket, step.attempt, {attempt.server->instance(), attempt.sentAt, now, request.identity});
        m_steps.push_back(step);
    }
}

////////////////////////////////////////////////////////////
void Balancer::callerLeft(Ticket ticket, core::Timestamp now)
{
    m_heldRequests.remove(ticket);
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return;
    Request& request = found->second;
    request.callerGone = true;
    const bool sent = std::any_of(request.attempts.begin(), request.attempts.end(),
                                  [](const Attempt& attempt) { return attempt.running; });
    if (!request.route.repeatable && sent)
        return; // A request that may be running must not be cancelled; its answer is discarded.
    abandonRunning(ticket, request, now);
    close(ticket);
}

////////////////////////////////////////////////////////////
void Balancer::forgetPathFailures()
{
    for (const auto& [name, pool] : m_pools)
        pool->forgetPathFailures();
    for (auto& [ticket, request] : m_requests)
    {
        for (Attempt& attempt : request.attempts)
            attempt.pathAtFault = attempt.pathAtFault || attempt.running;
    }
}

////////////////////////////////////////////////////////////
std::shared_ptr<const deployment::Instance> Balancer::findInstance(std::string_view id) const
{
    for (const auto& [name, pool] : m_pools)
    {
        if (const auto server = pool->find(id))
            return server->instance();
    }
    return nullptr;
}

////////////////////////////////////////////////////////////
std::vector<std::shared_ptr<const deployment::Instance>> Balancer::drawInstances(const deployment::Instance& except,
                                                                                 std::size_t                 most)
{
    std::vector<std::shared_ptr<const deployment::Instance>> drawn;
    const auto draw = [&](const ServicePool& pool) { pool.drawInstances(except, most, m_random, drawn); };
    if (const auto own = m_pools.find(except.service); own != m_pools.end())
        draw(*own->second);
    for (auto pool = m_pools.begin(); drawn.empty() && pool != m_pools.end(); ++pool)
        draw(*pool->second);
    return drawn;
}

////////////////////////////////////////////////////////////
void Balancer::refuse(Ticket ticket, const Refusal& refusal)
{
    Step step;
    step.kind = StepKind::Refuse;
    step.ticket = ticket;
    step.refusal = refusal;
    m_refused = m_refused || refusal.retryAfter.count() > 0;
    m_steps.push_back(step);
}

////////////////////////////////////////////////////////////
void Balancer::close(Ticket ticket)
{
    const auto found = m_requests.find(ticket);
    assert(found != m_requests.end());
    m_wakeTimes.erase({found->second.wakeAt, ticket});
    m_requests.erase(found);
}

////////////////////////////////////////////////////////////
SelectionCriteria Balancer::wishOf(const Request& request) const
{
    SelectionCriteria wish{request.route.name, request.route.repeatable, request.triedServers};
    wish.probed = request.search.probes;
    wish.draw = request.draw;
    wish.rank = request.rank;
    wish.allowLeaving = std::none_of(request.attempts.begin(), request.attempts.end(),
                                     [](const Attempt& attempt) { return attempt.running; });
    return wish;
}

////////////////////////////////////////////////////////////
void Balancer::setConnectionCounts(const deployment::Instance& instance, unsigned idle, unsigned open)
{
    const auto pool = m_pools.find(instance.service);
    if (pool == m_pools.end())
        return;
    const auto server = pool->second->find(instance.id);
    // Connections to the process before the instance's last restart do not count.
    if (!server || !deployment::sameInstance(*server->instance(), instance))
        return;
    server->setIdleConnections(idle);
    server->setOpenConnections(open);
}

////////////////////////////////////////////////////////////
void Balancer::takeSteps(std::vector<Step>& steps)
{
    steps.clear();
    steps.swap(m_steps);
}

////////////////////////////////////////////////////////////
const deployment::HostRoute* Balancer::findRoute(std::string_view host, std::string_view target) const
{
    return m_routes.find(host, target);
}

////////////////////////////////////////////////////////////
const deployment::Workspace* Balancer::findWorkspace(std::string_view key) const
{
    return m_keys.find(key);
}

////////////////////////////////////////////////////////////
bool Balancer::configured() const
{
    return m_deployment != nullptr;
}

////////////////////////////////////////////////////////////
std::size_t Balancer::unfinished() const
{
    return m_requests.size() + m_heldRequests.size();
}

} // namespace sailpath::balance

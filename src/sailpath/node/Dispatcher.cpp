#include <sailpath/node/Dispatcher.hpp>

#include "Pool.hpp"

#include <sailpath/config/Host.hpp>
#include <sailpath/retries/RetryPolicy.hpp>

#include <algorithm>
#include <cassert>

namespace sailpath::node
{
namespace
{
// Estimated length of a shortage of servers or capacity.
constexpr core::Duration defaultRetryAfter = std::chrono::milliseconds{250};
// Keeps callers from retrying at once.
constexpr core::Duration minRetryAfter = std::chrono::milliseconds{50};

////////////////////////////////////////////////////////////
Refusal refusal(RefusalReason reason, retries::Ran ran, core::Duration retryAfter)
{
    return {reason, ran, std::max(retryAfter, minRetryAfter)};
}

////////////////////////////////////////////////////////////
/// \brief Create the refusal for a request whose last attempt brought no answer
////////////////////////////////////////////////////////////
Refusal refusalAfter(const Outcome& outcome)
{
    const retries::Ran ran = retries::ranAfter(outcome.result);
    switch (outcome.result)
    {
    case retries::AttemptResult::Shed:
        return refusal(RefusalReason::ServerShed, ran, std::max(outcome.retryAfter, defaultRetryAfter));
    case retries::AttemptResult::NotSent:
        return refusal(RefusalReason::NotSent, ran, defaultRetryAfter);
    case retries::AttemptResult::Abandoned:
        return {RefusalReason::CallerGone, ran, {}};
    default:
        return refusal(RefusalReason::OutcomeUnknown, ran, defaultRetryAfter);
    }
}

} // namespace

////////////////////////////////////////////////////////////
Dispatcher::Dispatcher(DispatcherSettings settings) :
m_settings(std::move(settings)),
m_random(m_settings.seed),
m_shares(m_settings.maxRequests)
{
    m_pending.reserve(m_settings.maxRequests);
    m_freeTickets.reserve(m_settings.maxRequests);
}

////////////////////////////////////////////////////////////
Dispatcher::~Dispatcher() = default;

////////////////////////////////////////////////////////////
void Dispatcher::configure(const config::Workspace& workspace, core::Timestamp now)
{
    auto& pools = m_workspaces[workspace.name].pools;
    for (auto& item : pools)
    {
        const std::string& name = item.first;
        const bool         declared = std::any_of(workspace.services.begin(), workspace.services.end(),
                                                  [&](const config::Service& service) { return service.name == name; });
        if (!declared)
            item.second->remove();
    }
    for (const config::Service& service : workspace.services)
    {
        auto& pool = pools[service.name];
        if (!pool)
            pool = std::make_unique<priv::Pool>(workspace.name, m_settings);
        pool->configure(service, now);
    }
    for (auto& item : pools)
        dispatchHeld(*item.second, now);
}

////////////////////////////////////////////////////////////
void Dispatcher::removeWorkspace(std::string_view workspace, core::Timestamp now)
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return;
    for (auto& item : found->second.pools)
    {
        item.second->remove();
        dispatchHeld(*item.second, now);
    }
}

////////////////////////////////////////////////////////////
Step Dispatcher::admit(const Request& request, core::Timestamp now)
{
    Step step;
    if (m_workspaces.empty())
    {
        step.refusal = refusal(RefusalReason::NotConfigured, retries::Ran::No, defaultRetryAfter);
        return step;
    }
    priv::Pool* pool = findPool(request.host);
    if (!pool)
    {
        step.refusal = {RefusalReason::UnknownService, retries::Ran::No, {}};
        return step;
    }
    ++pool->counters().requests;
    if (!m_shares.acquire(pool->workspace()))
    {
        ++pool->counters().refused;
        step.refusal = refusal(RefusalReason::WorkspaceShare, retries::Ran::No, defaultRetryAfter);
        return step;
    }

    const Ticket         ticket = openTicket(*pool);
    Pending&             pending = m_pending[ticket];
    const config::Route& route = pool->service().routeFor(request.method, request.path);
    pending.repeatable = route.repeatable;
    pending.priority = route.priority;
    pending.deadline = now + std::min(pool->service().deadline, request.timeLeft.value_or(core::Duration::max()));
    if (pending.deadline <= now)
        return refuse(ticket, {RefusalReason::DeadlinePassed, retries::Ran::No, {}});

    // Queued requests go first, except that batch requests do not go before interactive ones.
    if (pool->queue().countAhead(pending.priority) > 0)
        return holdOrRefuse(ticket, now);
    const priv::ChoiceResult chosen = pool->choose(queryFor(pending, now), m_random);
    switch (chosen.failure)
    {
    case priv::ChoiceFailure::None:
        pool->retryBudget().recordFirstAttempt();
        return forward(ticket, chosen.server, now);
    case priv::ChoiceFailure::AllBusy:
        return holdOrRefuse(ticket, now);
    case priv::ChoiceFailure::NoServer:
        break;
    }
    return refuse(ticket, refusal(RefusalReason::NoServer, retries::Ran::No, defaultRetryAfter));
}

////////////////////////////////////////////////////////////
Step Dispatcher::finishAttempt(Ticket ticket, const Outcome& outcome, core::Timestamp now)
{
    const Pending& pending = m_pending[ticket];
    assert(pending.pool && !pending.held);
    priv::Pool& pool = *pending.pool;
    if (pool.endAttempt(pending.server, {pending.sentAt, pending.priority}, outcome, now))
    {
        const Target& target = *pool.target(pending.server);
        const auto    load = outcome.report.value_or(routing::LoadReport{});
        m_drainingReports.push_back({target.workspace, target.service, target.server, load, true, 0});
    }

    Step step = retryOrConclude(ticket, outcome, now);
    dispatchHeld(pool, now);
    return step;
}

////////////////////////////////////////////////////////////
bool Dispatcher::cancelHeld(Ticket ticket, core::Timestamp)
{
    const Pending& pending = m_pending[ticket];
    if (!pending.pool || !pending.held || !pending.pool->queue().remove(ticket))
        return false;
    --m_held;
    closeTicket(ticket);
    return true;
}

////////////////////////////////////////////////////////////
void Dispatcher::tick(core::Timestamp now)
{
    if (m_held == 0)
        return;
    for (auto& workspace : m_workspaces)
    {
        for (auto& item : workspace.second.pools)
        {
            expireHeld(*item.second, now);
            dispatchHeld(*item.second, now);
        }
    }
}

////////////////////////////////////////////////////////////
void Dispatcher::takeReleased(std::vector<Step>& steps)
{
    steps.clear();
    steps.swap(m_released);
}

////////////////////////////////////////////////////////////
void Dispatcher::takeDrainingReports(std::vector<ServerReport>& reports)
{
    reports.clear();
    reports.swap(m_drainingReports);
}

////////////////////////////////////////////////////////////
void Dispatcher::recordServerReport(std::string_view workspace, std::string_view service, std::string_view server,
                                    routing::LoadReport report, bool draining, core::Timestamp at)
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return;
    const auto pool = found->second.pools.find(service);
    if (pool != found->second.pools.end())
        pool->second->recordServerReport(server, report, draining, at);
}

////////////////////////////////////////////////////////////
void Dispatcher::serverGone(const Target& target, core::Timestamp now)
{
    const auto found = m_workspaces.find(target.workspace);
    if (found == m_workspaces.end())
        return;
    const auto pool = found->second.pools.find(target.service);
    if (pool != found->second.pools.end())
        pool->second->serverGone(target.server, now);
}

////////////////////////////////////////////////////////////
std::size_t Dispatcher::held() const
{
    return m_held;
}

////////////////////////////////////////////////////////////
std::size_t Dispatcher::unfinished() const
{
    return m_pending.size() - m_freeTickets.size();
}

////////////////////////////////////////////////////////////
std::size_t Dispatcher::serverEntries() const
{
    std::size_t places = 0;
    for (const auto& workspace : m_workspaces)
    {
        for (const auto& item : workspace.second.pools)
            places += item.second->entryCount();
    }
    return places;
}

////////////////////////////////////////////////////////////
void Dispatcher::visitCounters(
    const std::function<void(std::string_view, std::string_view, const DispatcherCounters&)>& visit) const
{
    for (const auto& [name, workspace] : m_workspaces)
    {
        for (const auto& [service, pool] : workspace.pools)
            visit(name, service, pool->counters());
    }
}

////////////////////////////////////////////////////////////
void Dispatcher::visitServers(core::Timestamp now, const ServerVisitor& visit) const
{
    for (const auto& workspace : m_workspaces)
    {
        for (const auto& item : workspace.second.pools)
            item.second->visitServers(now, visit);
    }
}

////////////////////////////////////////////////////////////
priv::Pool* Dispatcher::findPool(std::string_view host)
{
    const auto name = config::parseHost(host);
    if (!name)
        return nullptr;
    const auto workspace = m_workspaces.find(name->workspace);
    if (workspace == m_workspaces.end())
        return nullptr;
    const auto pool = workspace->second.pools.find(name->service);
    if (pool == workspace->second.pools.end() || pool->second->removed())
        return nullptr;
    return pool->second.get();
}

////////////////////////////////////////////////////////////
Ticket Dispatcher::openTicket(priv::Pool& pool)
{
    if (m_freeTickets.empty())
    {
        m_freeTickets.push_back(static_cast<Ticket>(m_pending.size()));
        m_pending.emplace_back();
    }
    const Ticket ticket = m_freeTickets.back();
    m_freeTickets.pop_back();
    m_pending[ticket] = Pending{};
    m_pending[ticket].pool = &pool;
    return ticket;
}

////////////////////////////////////////////////////////////
void Dispatcher::closeTicket(Ticket ticket)
{
    Pending& pending = m_pending[ticket];
    m_shares.release(pending.pool->workspace());
    pending.pool = nullptr;
    m_freeTickets.push_back(ticket);
}

////////////////////////////////////////////////////////////
Step Dispatcher::forward(Ticket ticket, std::size_t server, core::Timestamp now)
{
    Pending& pending = m_pending[ticket];
    pending.server = server;
    pending.sentAt = now;
    ++pending.attempts;
    pending.pool->startAttempt(server, now);

    Step step;
    step.verdict = Verdict::Forward;
    step.ticket = ticket;
    step.target = pending.pool->target(server);
    step.attempt = pending.attempts;
    step.repeatable = pending.repeatable;
    step.deadline = pending.deadline;
    return step;
}

////////////////////////////////////////////////////////////
Step Dispatcher::holdOrRefuse(Ticket ticket, core::Timestamp now)
{
    Pending&             pending = m_pending[ticket];
    priv::Pool&          pool = *pending.pool;
    const core::Duration wait = pool.expectedWait(pool.queue().countAhead(pending.priority));
    const core::Duration longestWait = std::min(pool.longestWait(now), pending.deadline - now - pool.meanLatency());
    if (wait > longestWait)
        return refuse(ticket, refusal(RefusalReason::WaitTooLong, retries::Ran::No, wait));

    std::optional<limits::WaitingRequest> displaced;
    if (!pool.queue().push({ticket, pending.priority, now, now + longestWait}, displaced))
        return refuse(ticket, refusal(RefusalReason::QueueFull, retries::Ran::No, wait));
    if (displaced)
    {
        --m_held;
        m_released.push_back(refuse(displaced->ticket, refusal(RefusalReason::QueueFull, retries::Ran::No, wait)));
    }
    pending.held = true;
    ++m_held;
    ++pool.counters().held;

    Step step;
    step.verdict = Verdict::Hold;
    step.ticket = ticket;
    step.deadline = pending.deadline;
    return step;
}

////////////////////////////////////////////////////////////
Step Dispatcher::refuse(Ticket ticket, const Refusal& why)
{
    ++m_pending[ticket].pool->counters().refused;
    closeTicket(ticket);

    Step step;
    step.verdict = Verdict::Refuse;
    step.ticket = ticket;
    step.refusal = why;
    return step;
}

////////////////////////////////////////////////////////////
Step Dispatcher::retryOrConclude(Ticket ticket, const Outcome& outcome, core::Timestamp now)
{
    const Pending& pending = m_pending[ticket];
    priv::Pool&    pool = *pending.pool;
    const bool     failed = outcome.result != retries::AttemptResult::Answered;
    if (failed && outcome.result != retries::AttemptResult::Abandoned)
    {
        // Another server is chosen first, so that only retries that take place are charged to the retry budget.
        priv::ChoiceQuery query = queryFor(pending, now);
        query.excluded = pending.server;
        const priv::ChoiceResult     other = pool.choose(query, m_random);
        const retries::AttemptRecord record{outcome.result,         pending.repeatable, outcome.bodyReplayable,
                                            outcome.retryForbidden, pending.attempts,   pending.deadline - now,
                                            pool.meanLatency()};
        if (other.failure == priv::ChoiceFailure::None &&
            retries::shouldRetry(record, pool.service().retry, pool.retryBudget()))
        {
            ++pool.counters().retries;
            return forward(ticket, other.server, now);
        }
    }

    const bool passOn = !failed || outcome.result == retries::AttemptResult::Failed;
    if (!passOn)
        return refuse(ticket, refusalAfter(outcome));
    ++pool.counters().answered;
    closeTicket(ticket);
    Step step;
    step.verdict = Verdict::Answer;
    step.ticket = ticket;
    return step;
}

////////////////////////////////////////////////////////////
priv::ChoiceQuery Dispatcher::queryFor(const Pending& pending, core::Timestamp now) const
{
    return {pending.priority, pending.repeatable, priv::ChoiceQuery::none, now};
}

////////////////////////////////////////////////////////////
void Dispatcher::dispatchHeld(priv::Pool& pool, core::Timestamp now)
{
    while (const limits::WaitingRequest* waiting = pool.queue().front())
    {
        const Ticket             ticket = waiting->ticket;
        const priv::ChoiceResult chosen = pool.choose(queryFor(m_pending[ticket], now), m_random);
        if (chosen.failure == priv::ChoiceFailure::AllBusy)
            return;
        pool.queue().pop();
        m_pending[ticket].held = false;
        --m_held;
        if (chosen.failure == priv::ChoiceFailure::None)
        {
            pool.retryBudget().recordFirstAttempt();
            m_released.push_back(forward(ticket, chosen.server, now));
        }
        else
        {
            m_released.push_back(refuse(ticket, refusal(RefusalReason::NoServer, retries::Ran::No, defaultRetryAfter)));
        }
    }
}

////////////////////////////////////////////////////////////
void Dispatcher::expireHeld(priv::Pool& pool, core::Timestamp now)
{
    while (const auto expired = pool.queue().popExpired(now))
    {
        m_pending[expired->ticket].held = false;
        --m_held;
        const core::Duration wait = pool.expectedWait(pool.queue().size());
        m_released.push_back(refuse(expired->ticket, refusal(RefusalReason::WaitTooLong, retries::Ran::No, wait)));
    }
}

} // namespace sailpath::node

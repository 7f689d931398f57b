// Further sends of a request, and when the callers of refused requests return.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double   roomRetryShare = 0.1; // Part of the time to spare after which a request refused for room returns
constexpr auto     minRetryAfter = std::chrono::milliseconds{50};
constexpr double   retryAfterSpread = 0.5; // Share of a back-off over which retries are spread
constexpr unsigned maxUnsentAttempts = 4;  // Failed connections before a request is refused
constexpr double   retryExtraShare = 0.6;  // Used part of `retryExtra`; the rest is left for unknown nodes

} // namespace

////////////////////////////////////////////////////////////
bool Balancer::maySendAgain(Request& request, core::Timestamp now)
{
    if (request.sends >= request.route.attempts ||
        request.attempts.size() >= request.route.attempts + maxUnsentAttempts)
        return false;
    if (now + core::fromMilliseconds(request.pool->work().ms(request.route.name) / 2) > request.deadline)
        return false;
    if (!mayAnswerBeforeStop(request.route, request.deadline, now))
        return false;
    return request.sends == 0 || (!leavesBudget(request, now) && mayRetry(*request.pool, now));
}

////////////////////////////////////////////////////////////
bool Balancer::sendAgain(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now)
{
    if (!maySendAgain(request, now) || mayEndAnotherServer(request, now) ||
        now + core::fromMilliseconds(choice.finishMs / 2) > request.deadline)
        return false;
    // A retry of a request that reached no server costs no retry budget.
    if (request.sends > 0)
        recordRetry(*request.pool, now);
    forward(ticket, request, choice, now);
    return true;
}

////////////////////////////////////////////////////////////
void Balancer::conclude(Ticket ticket, Request& request, core::Timestamp now)
{
    if (request.fallbackAttempt != 0)
    {
        Step step;
        step.kind = StepKind::Answer;
        step.ticket = ticket;
        step.attempt = request.fallbackAttempt;
        m_steps.push_back(step);
    }
    else if (request.mayHaveRun)
        refuse(ticket, {RefusalReason::Unknown, true, {}});
    else if (!mayAnswerBeforeStop(request.route, request.deadline, now))
        refuse(ticket, stopRefusal());
    else
    {
        Refusal refusal{RefusalReason::NotRun, false, {}};
        refusal.retryAtOnce = mayReturnAtOnce(request, now);
        if (!refusal.retryAtOnce)
            refusal.retryAfter = std::max(request.retryAfter, retryAfterRejection(*request.pool, now));
        refuse(ticket, refusal);
    }
    close(ticket);
}

////////////////////////////////////////////////////////////
void Balancer::recordRejection(ServicePool& pool, ServerView& server, const Outcome& outcome, core::Timestamp now)
{
    server.recordRejection(now);
    const auto& load = outcome.load;
    const bool  hadRoom = load && load->running < load->slots && load->waiting == 0;
    // An answer of a different instance says nothing about the load of this one.
    if (!outcome.misdirected)
        pool.rejections().recordRejected(hadRoom, now);
}

////////////////////////////////////////////////////////////
bool Balancer::mayReturnAtOnce(const Request& request, core::Timestamp now) const
{
    const ServicePool& pool = *request.pool;
    return request.sends > 0 && request.retryAfter.count() == 0 && pool.rejections().wouldAccept(now) &&
           pool.noServerReason(now) == NoServerReason::Other && !pool.underPressure(request.route.priority, now) &&
           !mayEndAnotherServer(request, now);
}

////////////////////////////////////////////////////////////
bool Balancer::leavesBudget(const Request& request, core::Timestamp now) const
{
    // Callers retry on a new connection, so this is a first try, and its caller has all others left.
    const bool firstTry = !request.firstOnConnection;
    const bool running = std::any_of(request.attempts.begin(), request.attempts.end(),
                                     [](const Attempt& attempt) { return attempt.running; });
    return firstTry && !running && !request.mayHaveRun && request.fallbackAttempt == 0 &&
           request.pool->fleetBudget().isShort(now) && mayReturnAtOnce(request, now);
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterRejection(const ServicePool& pool, core::Timestamp now)
{
    if (pool.noServerReason(now) == NoServerReason::BackOff)
        return retryAfterShortage(NoServerReason::BackOff, pool, now);
    return retryAfterWork(pool, 0);
}

////////////////////////////////////////////////////////////
bool Balancer::mayRetry(ServicePool& pool, core::Timestamp now)
{
    if (pool.fleetBudget().allows(pool.retries().use(retryExtra(), now), now))
        return true;
    pool.fleetBudget().recordShortage(now);
    reportRetries(pool, now);
    return false;
}

////////////////////////////////////////////////////////////
void Balancer::recordRetry(ServicePool& pool, core::Timestamp now)
{
    pool.fleetBudget().recordRetry(pool.retries().use(retryExtra(), now));
    pool.retries().recordRetry(now);
    reportRetries(pool, now);
}

////////////////////////////////////////////////////////////
void Balancer::reportRetries(ServicePool& pool, core::Timestamp now)
{
    const auto report = pool.fleetBudget().takeReport(pool.retries().use(retryExtra(), now), now);
    if (!report)
        return;
    deployment::LimitReport news;
    news.topic = deployment::LimitTopic::RetryBudget;
    news.server = deployment::shortHash(pool.name());
    news.perSecond = report->use.allowed;
    news.doublings = report->use.retries;
    news.sent = report->isShort ? 1 : 0;
    m_limitNews.push_back(news);
}

////////////////////////////////////////////////////////////
void Balancer::receiveRetryReport(const deployment::LimitReport& news, core::Timestamp now)
{
    const auto found = std::find_if(m_pools.begin(), m_pools.end(),
                                    [&](const auto& pool) { return deployment::shortHash(pool.first) == news.server; });
    const bool valid = std::isfinite(news.perSecond) && news.perSecond >= 0 && news.doublings >= 0;
    if (found == m_pools.end() || !valid)
        return;
    ServicePool& pool = *found->second;
    pool.fleetBudget().recordReport(news.node, {{news.perSecond, news.doublings}, news.sent > 0}, now);
    reportRetries(pool, now);
}

////////////////////////////////////////////////////////////
RetryState Balancer::retryState(core::Timestamp now) const
{
    RetryState state;
    for (const auto& [name, pool] : m_pools)
    {
        state.budgetLeft += std::max(0.0, pool->fleetBudget().left(pool->retries().use(retryExtra(), now), now));
        state.rejectedWithRoom += pool->rejections().rejectedWithRoom();
    }
    return state;
}

////////////////////////////////////////////////////////////
double Balancer::retryExtra() const
{
    return retryExtraShare * m_settings.retryExtra / m_nodes;
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterWork(const ServicePool& pool, double expectedMs)
{
    const double base = std::max(expectedMs, pool.work().baseline().workMs) * (0.5 + m_random.unit());
    return std::clamp<core::Duration>(core::fromMilliseconds(base), minRetryAfter, longestRetryAfter);
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterForRoom(const Request& request)
{
    // Room goes to whoever asks for it next; a caller that waits longer comes too late to use it in time.
    const double target = core::toMilliseconds(request.route.targetLatency);
    const double slack = target - request.pool->work().ms(request.route.name);
    return std::clamp<core::Duration>(core::fromMilliseconds(roomRetryShare * slack * (0.5 + m_random.unit())),
                                      minRetryAfter, longestRetryAfter);
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterForTurn(double openness)
{
    // The fewer requests are admitted, the longer the delay: callers that retry sooner compete for the same room.
    const double each = core::toMilliseconds(minRetryAfter) / std::max(openness, 0.001);
    return std::clamp<core::Duration>(core::fromMilliseconds(each * (0.5 + m_random.unit())), minRetryAfter,
                                      longestRetryAfter);
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterBackOff(core::Duration backOff)
{
    // Retries are spread over time, as after a back-off a server gets one request of each node at first.
    const double length = core::toMilliseconds(std::max<core::Duration>(backOff, minRetryAfter));
    return core::fromMilliseconds(length * (1 + retryAfterSpread * m_random.unit()));
}

////////////////////////////////////////////////////////////
core::Duration Balancer::retryAfterShortage(NoServerReason shortage, const ServicePool& pool, core::Timestamp now)
{
    if (shortage == NoServerReason::Limited)
        return retryAfterForTurn(pool.openness(now));
    if (shortage == NoServerReason::BackOff)
        return retryAfterBackOff(pool.shortestBackOff(now));
    return m_settings.defaultRetryAfter;
}

} // namespace sailpath::balance

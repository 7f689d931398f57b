// Admission of requests: route, service, workspace key, load and deadline.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr auto   never = core::Timestamp::max();
constexpr double lateFactor = 1.05; // Multiple of the target latency up to which a request is admitted
constexpr double rankStep = 0.1;    // Share of the time that a request gives up per rank, to separate the ranks
constexpr double ownDelayWorks = 2; // Service times that an urgent request may take before others delay it
constexpr auto   routeActiveFor = std::chrono::seconds{5}; // Time after its last request in which a route is active

////////////////////////////////////////////////////////////
/// \brief Return the longest expected time in milliseconds with which a request is admitted; shorter for later ranks
////////////////////////////////////////////////////////////
double maxAdmittedMs(double targetMs, unsigned rank)
{
    return lateFactor * targetMs / (1 + rankStep * rank);
}

} // namespace

////////////////////////////////////////////////////////////
bool Balancer::mayDeny(core::Timestamp now) const
{
    // Callers do not retry after a denial, so an outdated configuration must not deny a request.
    if (m_settings.maxConfigurationAgeToDeny == core::Duration::max())
        return true;
    return m_confirmedAt && now - *m_confirmedAt <= m_settings.maxConfigurationAgeToDeny;
}

////////////////////////////////////////////////////////////
void Balancer::admit(Ticket ticket, const Arrival& arrival, core::Timestamp now)
{
    if (!configured())
        return hold(ticket, arrival, now);
    const deployment::HostRoute* route = m_routes.find(arrival.host, arrival.target);
    if (!route && mayDeny(now))
        return refuse(ticket, {RefusalReason::NoRoute, false, {}});
    if (!route)
        return refuse(ticket, {RefusalReason::OldRoutes, false, m_settings.defaultRetryAfter});

    const core::Timestamp callerDeadline = arrival.timeLeft ? arrival.firstByteAt + *arrival.timeLeft : never;
    const core::Timestamp deadline =
        std::min(arrival.firstByteAt + route->timeout - m_settings.answerTripReserve, callerDeadline);
    // Before the quota is charged, as the caller asks another node next.
    if (!mayAnswerBeforeStop(*route, deadline, now))
        return refuse(ticket, stopRefusal());
    const quotas::ReturnSign sign = estimateReturn(arrival, *route, now);
    if (refusedByKey(ticket, arrival, *route, sign, now))
        return;

    Request request;
    request.returning = sign.confidence * sign.probability;
    request.route = *route;
    if (const deployment::Workspace* workspace = m_keys.find(arrival.key))
    {
        request.workspace = workspace->name;
        request.route.priority = workspace->priority.value_or(route->priority);
    }
    request.pool = choosePool(*route);
    request.firstByteAt = arrival.firstByteAt;
    request.admittedAt = now;
    request.callerDeadline = callerDeadline;
    request.deadline = deadline;
    request.identity = arrival.identity;
    request.firstOnConnection = arrival.firstOnConnection;
    // A request that crashes servers is retried again and again, and each crash loses the server's other requests.
    if (refuseIfQuarantined(ticket, request, now))
        return;
    // The caller has stopped waiting, and serving the request would only take a server's time from others.
    if (request.deadline <= now)
        return refuse(ticket, {RefusalReason::TimedOut, false, m_settings.defaultRetryAfter});
    request.pool->retries().recordRequest(now);
    request.firstTriedAt = request.firstByteAt - request.pool->recordArrival(request.route, arrival.timeLeft, now);
    startSearch(ticket, m_requests.emplace(ticket, std::move(request)).first->second, now);
}

////////////////////////////////////////////////////////////
bool Balancer::refusedForRoom(Ticket ticket, const Request& request, core::Timestamp now)
{
    admission::Applicant applicant;
    applicant.share = deployment::shortHash(request.workspace.empty() ? request.route.name : request.workspace);
    applicant.rank = request.route.priority;
    applicant.late = !mayBeInTime(request, now);
    // A search that found no room shows that the sampled load is not just that of the instances probed first.
    const bool   searched = request.pool->underPressure(applicant.rank, now);
    const double chance = request.pool->admission().chanceOf(applicant, now);
    if (!searched || m_random.unit() < chance)
        return false;
    Refusal refusal{RefusalReason::NoRoom, false, retryAfterForRoom(request)};
    refusal.triedFor = request.firstByteAt - request.firstTriedAt;
    refusal.chance = chance;
    refusal.work = request.pool->work().evidence(request.route.name, now);
    refusal.service = request.pool->admission().state(now);
    refuse(ticket, refusal);
    close(ticket);
    return true;
}

////////////////////////////////////////////////////////////
Balancer::Admission Balancer::admissionOf(const Request& request, const Choice& choice, core::Timestamp now) const
{
    ServicePool&   pool = *request.pool;
    const unsigned rank = request.route.priority;
    if (!m_settings.admissionControl)
        return Admission::Admit;
    const bool judged = mayBeInTime(request, now);
    if (estimatesAdmit(request, choice, now))
    {
        if (judged)
            pool.recordAdmitted(rank, now);
        return Admission::Admit;
    }
    const bool hasRoom = choice.server->hasRoom(pool.work().baseline().otherRequests, now);
    if (mayBecomeTrial(request, hasRoom, now))
        return Admission::Trial;
    if (judged)
        pool.recordRejected(rank, now);
    return Admission::Refuse;
}

////////////////////////////////////////////////////////////
bool Balancer::estimatesAdmit(const Request& request, const Choice& choice, core::Timestamp now) const
{
    const ServicePool& pool = *request.pool;
    if (mayBeInTime(request, now))
        return isAdmissible(request, choice, now);
    return !pool.underPressure(request.route.priority, now) && !pool.wouldLoseThroughput(*choice.server, now) &&
           !exceedsDeadline(request, choice, now);
}

////////////////////////////////////////////////////////////
bool Balancer::mayBecomeTrial(const Request& request, bool hasRoom, core::Timestamp now)
{
    // A caller that has used up its target tells nothing about the estimates.
    const double passed = core::toMilliseconds(now - request.firstTriedAt);
    const bool   fresh = passed < core::toMilliseconds(request.route.targetLatency) / 2;
    return fresh && request.pool->work().trialDue(request.route.name, hasRoom, now);
}

////////////////////////////////////////////////////////////
bool Balancer::isAdmissible(const Request& request, const Choice& choice, core::Timestamp now) const
{
    if (!m_settings.admissionControl)
        return true;
    const unsigned rank = request.route.priority;
    const double   passed = core::toMilliseconds(now - request.firstTriedAt);
    const double   most = maxAdmittedMs(core::toMilliseconds(request.route.targetLatency), rank);
    const bool     late = passed + choice.finishMs > most || exceedsDeadline(request, choice, now);
    const bool crowds = request.pool->admission().limits(now) && request.pool->wouldLoseThroughput(*choice.server, now);
    return !late && !crowds && !delaysMoreUrgent(request, *choice.server, now);
}

////////////////////////////////////////////////////////////
bool Balancer::exceedsDeadline(const Request& request, const Choice& choice, core::Timestamp now)
{
    return now + core::fromMilliseconds(choice.finishMs) > request.deadline;
}

////////////////////////////////////////////////////////////
bool Balancer::mayBeInTime(const Request& request, core::Timestamp now)
{
    const double passed = core::toMilliseconds(now - request.firstTriedAt);
    const double most = maxAdmittedMs(core::toMilliseconds(request.route.targetLatency), request.route.priority);
    return passed + request.pool->work().ms(request.route.name) <= most;
}

////////////////////////////////////////////////////////////
bool Balancer::delaysMoreUrgent(const Request& request, const ServerView& server, core::Timestamp now)
{
    const ServicePool& pool = *request.pool;
    const double       passed = core::toMilliseconds(now - request.firstTriedAt);
    const auto         delayed = [&](const std::string& name, const RouteActivity& route)
    {
        if (route.rank >= request.route.priority || now - route.lastRequestAt > routeActiveFor ||
            !pool.work().hasLearned(name))
            return false;
        const double between = 1 + rankStep * (request.route.priority - route.rank);
        const double limit = maxAdmittedMs(core::toMilliseconds(route.targetLatency), route.rank) / between;
        // A route whose service time takes most of its target gains nothing when others give way.
        return passed + pool.finishMs(server, name, now) > std::max(ownDelayWorks * pool.work().ms(name), limit);
    };
    return std::any_of(pool.routes().begin(), pool.routes().end(),
                       [&](const auto& route) { return delayed(route.first, route.second); });
}

////////////////////////////////////////////////////////////
std::map<std::string, admission::AdmissionState> Balancer::admissions(core::Timestamp now) const
{
    std::map<std::string, admission::AdmissionState> states;
    for (const auto& [name, pool] : m_pools)
        states.emplace(name, pool->admission().state(now));
    return states;
}

////////////////////////////////////////////////////////////
std::map<std::string, WorkEvidence> Balancer::works(core::Timestamp now) const
{
    std::map<std::string, WorkEvidence> works;
    for (const auto& [service, pool] : m_pools)
    {
        for (const auto& [route, activity] : pool->routes())
            works.insert_or_assign(route, pool->work().evidence(route, now));
    }
    return works;
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServicePool> Balancer::choosePool(const deployment::HostRoute& route)
{
    std::vector<double>& credit = m_splitCredits[route.name];
    if (credit.size() != route.parts.size())
        credit.assign(route.parts.size(), 0.0);
    double total = 0;
    for (const deployment::SplitPart& part : route.parts)
        total += part.weight;
    // Smooth weighted round robin: each part earns its share, and the part with the most credit is chosen and pays 1.
    std::size_t best = 0;
    for (std::size_t i = 0; i < route.parts.size(); ++i)
    {
        credit[i] += total > 0 ? route.parts[i].weight / total : 1.0 / static_cast<double>(route.parts.size());
        if (credit[i] > credit[best])
            best = i;
    }
    // The first choice is random, so that many nodes with few requests each keep the shares in total.
    if (credit.size() > 1 && std::all_of(credit.begin(), credit.end(), [](double value) { return value >= 0; }))
    {
        double at = m_random.unit() * total;
        for (best = 0; best + 1 < credit.size() && at >= route.parts[best].weight; ++best)
            at -= route.parts[best].weight;
    }
    credit[best] -= 1;
    return poolOf(route.parts[best].service);
}

} // namespace sailpath::balance

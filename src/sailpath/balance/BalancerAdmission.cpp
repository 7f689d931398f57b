// Whether a request is let in: its route and service, its room, its chance to be in time.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr auto   never = core::Timestamp::max();
constexpr double lateFactor = 1.05; // Targets that a request may be expected to take and still be let in
constexpr double rankStep = 0.1;    // Of its time that a request gives up for each rank, so that ranks part
constexpr double ownWorks = 2;      // Usual works an urgent request may take here before others are in its way
constexpr auto   urgentFor = std::chrono::seconds{5}; // After its last request a route counts as under way

////////////////////////////////////////////////////////////
/// \brief Milliseconds that a request may be expected to take and still be let in; later ranks give way sooner
////////////////////////////////////////////////////////////
double mostMs(double targetMs, unsigned rank)
{
    return lateFactor * targetMs / (1 + rankStep * rank);
}

} // namespace

////////////////////////////////////////////////////////////
bool Balancer::mayDeny(core::Timestamp now) const
{
    // A caller does not come back after a denial, so an old configuration gives none.
    if (m_settings.denyWithin == core::Duration::max())
        return true;
    return m_provedAt && now - *m_provedAt <= m_settings.denyWithin;
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
        return refuse(ticket, {RefusalReason::OldRoutes, false, m_settings.comeBackSoon});

    if (refusedByKey(ticket, arrival, *route, now))
        return;

    Request request;
    request.route = *route;
    if (const deployment::Workspace* workspace = m_keys.find(arrival.key))
    {
        request.workspace = workspace->name;
        request.route.priority = workspace->priority.value_or(route->priority);
    }
    request.pool = poolFor(*route);
    request.since = arrival.since;
    request.callerDeadline = arrival.timeLeft ? arrival.since + *arrival.timeLeft : never;
    request.deadline = std::min(arrival.since + route->timeout - m_settings.wayBack, request.callerDeadline);
    request.identity = arrival.identity;
    // A request that ends its servers comes again and again, and each server takes the other requests there along.
    if (quarantined(ticket, request, now))
        return;
    // A caller whose time is up has gone, and a server that works for him is kept from others.
    if (request.deadline <= now)
        return refuse(ticket, {RefusalReason::TimedOut, false, m_settings.comeBackSoon});
    request.pool->retries().requested(now);
    request.firstTry = request.since - request.pool->arrived(*route, arrival.timeLeft, now);
    seek(ticket, m_requests.emplace(ticket, std::move(request)).first->second, now);
}

////////////////////////////////////////////////////////////
bool Balancer::refusedByKey(Ticket ticket, const Arrival& arrival, const deployment::HostRoute& route,
                            core::Timestamp now)
{
    const deployment::Workspace* workspace = m_keys.find(arrival.key);
    if (workspace == nullptr)
    {
        if (!m_keys.needed() || route.anonymous)
            return false;
        // The key may have been given out since.
        if (mayDeny(now))
            refuse(ticket, {RefusalReason::UnknownKey, false, {}});
        else
            refuse(ticket, {RefusalReason::OldKeys, false, m_settings.comeBackSoon});
        return true;
    }
    if (m_quotas.admits(workspace->name, m_random, now))
        return false;
    refuse(ticket,
           {RefusalReason::OverQuota, false, comeBackForTurn(m_quotas.admissionProbability(workspace->name, now))});
    return true;
}

////////////////////////////////////////////////////////////
bool Balancer::turnsAway(const Request& request, const Choice& choice, core::Timestamp now) const
{
    ServicePool&      pool = *request.pool;
    const ServerView& server = *choice.server;
    const unsigned    rank = request.route.priority;
    if (!m_settings.gating)
        return false;
    if (!mayBeInTime(request, now))
        return pool.pressed(rank, now) || pool.full(server, now) || exceedsDeadline(request, choice, now);
    if (admits(request, choice, now))
    {
        pool.letIn(rank, now);
        return false;
    }
    // What is not known yet is learned by few; a guess keeps the others from flooding full servers.
    if (pool.work().tryOut(request.route.name, now))
        return false;
    pool.turnedAway(rank, now);
    return true;
}

////////////////////////////////////////////////////////////
bool Balancer::admits(const Request& request, const Choice& choice, core::Timestamp now) const
{
    if (!m_settings.gating)
        return true;
    const unsigned rank = request.route.priority;
    const double   passed = core::toMilliseconds(now - request.firstTry);
    const double   most = mostMs(core::toMilliseconds(request.route.targetLatency), rank);
    const bool     late = passed + choice.finishMs > most || exceedsDeadline(request, choice, now);
    const bool     crowds = request.pool->highlyPressed(rank, now) && request.pool->full(*choice.server, now);
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
    const double passed = core::toMilliseconds(now - request.firstTry);
    const double most = mostMs(core::toMilliseconds(request.route.targetLatency), request.route.priority);
    return passed + request.pool->work().ms(request.route.name) <= most;
}

////////////////////////////////////////////////////////////
bool Balancer::delaysMoreUrgent(const Request& request, const ServerView& server, core::Timestamp now)
{
    const ServicePool& pool = *request.pool;
    const double       passed = core::toMilliseconds(now - request.firstTry);
    const auto         delayed = [&](const std::string& name, const RouteSeen& route)
    {
        if (route.rank >= request.route.priority || now - route.at > urgentFor || !pool.work().knows(name))
            return false;
        const double between = 1 + rankStep * (request.route.priority - route.rank);
        const double limit = mostMs(core::toMilliseconds(route.target), route.rank) / between;
        // What takes most of its target by its own work is not helped by others giving way.
        return passed + pool.finishMs(server, name, now) > std::max(ownWorks * pool.work().ms(name), limit);
    };
    return std::any_of(pool.routes().begin(), pool.routes().end(),
                       [&](const auto& route) { return delayed(route.first, route.second); });
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServicePool> Balancer::poolFor(const deployment::HostRoute& route)
{
    std::vector<double>& credit = m_credit[route.name];
    if (credit.size() != route.parts.size())
        credit.assign(route.parts.size(), 0.0);
    double total = 0;
    for (const deployment::SplitPart& part : route.parts)
        total += part.weight;
    // Smooth weighted turns: each part earns its share, the one owed most goes and pays for it.
    std::size_t best = 0;
    for (std::size_t i = 0; i < route.parts.size(); ++i)
    {
        credit[i] += total > 0 ? route.parts[i].weight / total : 1.0 / static_cast<double>(route.parts.size());
        if (credit[i] > credit[best])
            best = i;
    }
    // The first turn is drawn, so that many nodes with few requests keep the shares together.
    if (credit.size() > 1 && std::all_of(credit.begin(), credit.end(), [](double owed) { return owed >= 0; }))
    {
        double at = m_random.unit() * total;
        for (best = 0; best + 1 < credit.size() && at >= route.parts[best].weight; ++best)
            at -= route.parts[best].weight;
    }
    credit[best] -= 1;
    auto& pool = m_pools[route.parts[best].service];
    if (!pool)
        pool = std::make_shared<ServicePool>(route.parts[best].service, m_settings, m_born);
    return pool;
}

} // namespace sailpath::balance

// How the balancer looks for a server: rounds of probes until one looks good.

#include <sailpath/balance/Balancer.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double goodFactor =
    1.2; // Usual works that a server may take and be chosen at once: one that begins at once, at its usual pace
constexpr double   searchRoom = 1.2;      // Usual works that have to be left to look on
constexpr unsigned mostFurtherRounds = 6; // Of probes, while what was found will do but is not good
constexpr double leastGoodShare = 0.06; // Of servers asked of late; below it most further rounds find nothing and only
                                        // take slots

////////////////////////////////////////////////////////////
RefusalReason reasonOf(NoServerReason shortage)
{
    switch (shortage)
    {
    case NoServerReason::Evacuated:
        return RefusalReason::Evacuated;
    case NoServerReason::Limited:
        return RefusalReason::AllLimited;
    case NoServerReason::Cold:
        return RefusalReason::AllCold;
    case NoServerReason::BackOff:
        return RefusalReason::AllBackOff;
    case NoServerReason::Leaving:
        return RefusalReason::AllLeaving;
    case NoServerReason::Other:
        break;
    }
    return RefusalReason::NoServer;
}

} // namespace

////////////////////////////////////////////////////////////
void Balancer::seek(Ticket ticket, Request& request, core::Timestamp now)
{
    request.search = Search{};
    request.draw = static_cast<std::uint32_t>(core::mix(static_cast<std::uint32_t>(m_settings.seed), ++m_searches));
    request.rank =
        request.pool->hasLimitedInstance(now) ? request.pool->countMoreUrgentRanks(request.route.priority, now) : 0;
    // What comes back late gets no room, and none is looked for, while others could still be in time.
    const bool gated = m_settings.gating && request.attempts.empty();
    if (gated && request.pool->underPressure(request.route.priority, now) && !mayBeInTime(request, now))
    {
        Refusal refusal{RefusalReason::CameBackLate, false, comeBack(*request.pool, 0)};
        refusal.trying = request.since - request.firstTry;
        refuse(ticket, refusal);
        return close(ticket);
    }
    const Choice choice = request.pool->choose(wishOf(request), now, m_random);
    if (!choice.server || !request.pool->mayProbe() || good(request, choice, now))
        return settle(ticket, request, choice, now);
    request.search.active = true;
    beginRound(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::beginRound(Ticket ticket, Request& request, core::Timestamp now)
{
    Search&           search = request.search;
    SelectionCriteria wish = wishOf(request);
    wish.firstRound = search.probes.empty();
    wish.localFirst = m_settings.nearFirst && wish.firstRound;
    const unsigned most = search.probes.empty() ? m_settings.probesAtFirst : m_settings.probesPerRound;
    auto           servers = request.pool->selectProbeTargets(wish, search.asked, most, now, m_random);
    if (servers.empty())
    {
        search.asked.clear();
        servers = request.pool->selectProbeTargets(wish, search.asked, most, now, m_random);
    }
    search.pausing = false;
    search.waiting = 0;
    search.roundStart = search.probes.size();
    search.next = now + m_settings.probeWait;
    for (const auto& server : servers)
    {
        if (!request.pool->takeProbe(now))
            break;
        ++search.waiting;
        search.asked.push_back(server.get());
        search.probes.push_back(server);
        Step step;
        step.kind = StepKind::Probe;
        step.ticket = ticket;
        step.attempt = static_cast<unsigned>(search.probes.size());
        step.instance = server->instance();
        step.path = request.pool->healthPath();
        m_steps.push_back(std::move(step));
    }
    if (search.waiting == 0)
        return settle(ticket, request, request.pool->choose(wishOf(request), now, m_random), now);
    plan(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::probed(Ticket ticket, unsigned probe, const Outcome& outcome, core::Timestamp now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return;
    Request& request = found->second;
    Search&  search = request.search;
    if (probe == 0 || probe > search.probes.size())
        return;
    ServerView& server = *search.probes[probe - 1];
    learnLoad(*request.pool, server, outcome, now);
    if (outcome.load)
        request.pool->recordProbeResult(looksGood(request, request.pool->finishMs(server, request.route.name, now)));
    if (!outcome.load && (outcome.end == AttemptEnd::Lost || outcome.end == AttemptEnd::NotSent))
        server.recordFailure(now);
    if (!search.active || search.pausing || probe <= search.roundStart)
        return;
    --search.waiting;
    SelectionCriteria wish = wishOf(request);
    wish.maxReportAge = m_settings.reportFresh;
    const Choice choice = request.pool->choose(wish, now, m_random);
    if (choice.server && good(request, choice, now))
        return settle(ticket, request, choice, now);
    if (search.waiting == 0)
        endRound(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::endRound(Ticket ticket, Request& request, core::Timestamp now)
{
    const Choice choice = request.pool->choose(wishOf(request), now, m_random);
    const double typical = request.pool->work().ms(request.route.name);
    const bool hasTime = meetsTarget(request, searchRoom * typical + core::toMilliseconds(m_settings.roundPause), now);
    if (!choice.server || !hasTime)
        return settle(ticket, request, choice, now);
    // What looks better than those that were asked may only be less known.
    if (!fresh(choice, now) && request.search.asked.size() < request.pool->size())
        return beginRound(ticket, request, now);
    // A server that the request would be turned away from ends no search: the next that is asked may have room. In a
    // shortage there is nothing to be found, and probes take what little room there is.
    const bool shortage = request.pool->underHighPressure(request.route.priority, now);
    const bool takes = shortage || !request.attempts.empty() || admits(request, choice, now);
    if (takes && meetsTarget(request, choice.finishMs, now))
    {
        const bool enough = shortage || good(request, choice, now) || !worthLookingOn(request);
        return enough ? settle(ticket, request, choice, now) : lookOn(ticket, request, now);
    }
    request.search.pausing = true;
    request.search.next = now + m_settings.roundPause;
    plan(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::lookOn(Ticket ticket, Request& request, core::Timestamp now)
{
    ++request.search.furtherRounds;
    beginRound(ticket, request, now);
}

////////////////////////////////////////////////////////////
bool Balancer::worthLookingOn(const Request& request)
{
    // Where a third of the servers is slow and the others work on something, the first that will do is late for one
    // request in ten, a good one for one in a hundred; a round takes 1 to 3 ms when servers have room.
    const ServicePool& pool = *request.pool;
    const bool         othersLeft = request.search.asked.size() < pool.size();
    return request.search.furtherRounds < mostFurtherRounds && othersLeft && pool.goodShare() > leastGoodShare;
}

////////////////////////////////////////////////////////////
bool Balancer::good(const Request& request, const Choice& choice, core::Timestamp now) const
{
    return fresh(choice, now) && looksGood(request, choice.finishMs);
}

////////////////////////////////////////////////////////////
bool Balancer::looksGood(const Request& request, double finishMs) const
{
    const double typical = request.pool->work().ms(request.route.name);
    return finishMs <= goodFactor * typical + core::toMilliseconds(m_settings.connectCost);
}

////////////////////////////////////////////////////////////
bool Balancer::fresh(const Choice& choice, core::Timestamp now) const
{
    const double age = choice.server->reportAgeMs(now);
    return age >= 0 && age <= core::toMilliseconds(m_settings.reportFresh);
}

////////////////////////////////////////////////////////////
bool Balancer::meetsTarget(const Request& request, double finishMs, core::Timestamp now) const
{
    const auto done = now + core::fromMilliseconds(finishMs) + m_settings.wayBack;
    return done <= request.firstTry + request.route.targetLatency;
}

////////////////////////////////////////////////////////////
void Balancer::settle(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now)
{
    request.search.active = false;
    if (!request.attempts.empty())
    {
        const bool running = request.attempts.back().running;
        const bool useful = choice.server && (!running || meetsTarget(request, choice.finishMs, now) ||
                                              now - request.attempts.back().sentAt > request.route.targetLatency);
        if (useful && sendAgain(ticket, request, choice, now))
            return plan(ticket, request, now);
        if (running)
            return plan(ticket, request, now);
        return conclude(ticket, request, now);
    }
    if (!choice.server)
    {
        const NoServerReason shortage = request.pool->noServerReason(now);
        refuse(ticket, {reasonOf(shortage), false, comeBackFrom(shortage, *request.pool, now)});
        return close(ticket);
    }
    if (turnsAway(request, choice, now))
    {
        refuse(ticket, {RefusalReason::Overloaded, false, comeBack(*request.pool, choice.finishMs), choice.finishMs,
                        choice.server->reportAgeMs(now), request.since - request.firstTry});
        return close(ticket);
    }
    forward(ticket, request, choice, now);
    plan(ticket, request, now);
}

////////////////////////////////////////////////////////////
core::Duration Balancer::comeBackFrom(NoServerReason shortage, const ServicePool& pool, core::Timestamp now)
{
    if (shortage == NoServerReason::Limited)
        return comeBackForTurn(pool.openness(now));
    if (shortage == NoServerReason::BackOff)
        return comeBackAfter(pool.shortestBackOff(now));
    return m_settings.comeBackSoon;
}

} // namespace sailpath::balance

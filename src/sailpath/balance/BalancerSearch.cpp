// The search for a server: rounds of probes until a good server is found.

#include <sailpath/balance/Balancer.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double   goodFactor = 1.2;     // Service times within which a good server answers: it is idle and not slow
constexpr double   searchRoom = 1.2;     // Service times that must be left before the target for a further round
constexpr unsigned maxFurtherRounds = 6; // Probe rounds after a usable, but not good, server was found
// Share of good servers among recent probes below which further rounds are skipped: most would find nothing and only
// occupy slots of servers.
constexpr double   minGoodShare = 0.06;

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
void Balancer::startSearch(Ticket ticket, Request& request, core::Timestamp now)
{
    request.search = Search{};
    request.draw = static_cast<std::uint32_t>(core::mix(static_cast<std::uint32_t>(m_settings.seed), ++m_searchCount));
    request.rank =
        request.pool->hasLimitedInstance(now) ? request.pool->countMoreUrgentRanks(request.route.priority, now) : 0;
    // Under load, a retrying caller's request that can no longer be in time yields to requests that can.
    const bool gated = m_settings.admissionControl && request.attempts.empty() &&
                       (mayBeInTime(request, now) || !mayBecomeTrial(request, true, now));
    if (gated && request.pool->underPressure(request.route.priority, now) && !mayBeInTime(request, now))
    {
        Refusal refusal{RefusalReason::CameBackLate, false, retryAfterWork(*request.pool, 0)};
        refusal.triedFor = request.firstByteAt - request.firstTriedAt;
        refusal.work = request.pool->work().evidence(request.route.name, now);
        refuse(ticket, refusal);
        return close(ticket);
    }
    if (gated && refusedForRoom(ticket, request, now))
        return;
    const Choice choice = request.pool->choose(wishOf(request), now, m_random);
    if (!choice.server || !request.pool->mayProbe() || isGood(request, choice, now))
        return finishSearch(ticket, request, choice, now);
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
    const unsigned most = search.probes.empty() ? m_settings.probesInFirstRound : m_settings.probesPerRound;
    auto           servers = request.pool->selectProbeTargets(wish, search.asked, most, now, m_random);
    if (servers.empty())
    {
        search.asked.clear();
        servers = request.pool->selectProbeTargets(wish, search.asked, most, now, m_random);
    }
    search.pausing = false;
    search.pendingProbes = 0;
    search.roundStart = search.probes.size();
    search.endsAt = now + m_settings.probeRoundTimeout;
    for (const auto& server : servers)
    {
        if (!request.pool->takeProbe(now))
            break;
        ++search.pendingProbes;
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
    if (search.pendingProbes == 0)
        return finishSearch(ticket, request, request.pool->choose(wishOf(request), now, m_random), now);
    scheduleWake(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::probeEnded(Ticket ticket, unsigned probe, const Outcome& outcome, core::Timestamp now)
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
    --search.pendingProbes;
    SelectionCriteria wish = wishOf(request);
    wish.maxReportAge = m_settings.freshReportAge;
    const Choice choice = request.pool->choose(wish, now, m_random);
    if (choice.server && isGood(request, choice, now))
        return finishSearch(ticket, request, choice, now);
    if (search.pendingProbes == 0)
        endRound(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::endRound(Ticket ticket, Request& request, core::Timestamp now)
{
    if (request.attempts.empty() && refusedForStop(ticket, request, now))
        return;
    const Choice choice = request.pool->choose(wishOf(request), now, m_random);
    const double typical = request.pool->work().ms(request.route.name);
    const bool   hasTime =
        meetsTarget(request, searchRoom * typical + core::toMilliseconds(m_settings.probeRoundPause), now);
    if (!choice.server || !hasTime)
        return finishSearch(ticket, request, choice, now);
    // A server without a fresh report may look better than the probed ones only because less is known of it.
    if (!isFresh(choice, now) && request.search.asked.size() < request.pool->size())
        return beginRound(ticket, request, now);
    // A server that would refuse the request for load does not end the search, as the next probed one may have room.
    // During a shortage further probes find nothing and occupy what little room is left.
    const bool shortage = request.pool->underHighPressure(request.route.priority, now);
    const bool takes = shortage || !request.attempts.empty() || isAdmissible(request, choice, now);
    if (takes && meetsTarget(request, choice.finishMs, now))
    {
        const bool enough = shortage || isGood(request, choice, now) || !worthFurtherRound(request);
        return enough ? finishSearch(ticket, request, choice, now) : searchFurther(ticket, request, now);
    }
    request.search.pausing = true;
    request.search.endsAt = now + m_settings.probeRoundPause;
    scheduleWake(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::searchFurther(Ticket ticket, Request& request, core::Timestamp now)
{
    ++request.search.furtherRounds;
    beginRound(ticket, request, now);
}

////////////////////////////////////////////////////////////
bool Balancer::worthFurtherRound(const Request& request)
{
    // When a third of the servers is slow and the others are busy, the first usable server answers one request in ten
    // late, a good server one in a hundred. A round takes 1 to 3 ms when servers have room.
    const ServicePool& pool = *request.pool;
    const bool         othersLeft = request.search.asked.size() < pool.size();
    return request.search.furtherRounds < maxFurtherRounds && othersLeft && pool.goodShare() > minGoodShare;
}

////////////////////////////////////////////////////////////
bool Balancer::isGood(const Request& request, const Choice& choice, core::Timestamp now) const
{
    return isFresh(choice, now) && looksGood(request, choice.finishMs);
}

////////////////////////////////////////////////////////////
bool Balancer::looksGood(const Request& request, double finishMs) const
{
    const double typical = request.pool->work().ms(request.route.name);
    return finishMs <= goodFactor * typical + core::toMilliseconds(m_settings.connectCost);
}

////////////////////////////////////////////////////////////
bool Balancer::isFresh(const Choice& choice, core::Timestamp now) const
{
    const double age = choice.server->reportAgeMs(now);
    return age >= 0 && age <= core::toMilliseconds(m_settings.freshReportAge);
}

////////////////////////////////////////////////////////////
bool Balancer::meetsTarget(const Request& request, double finishMs, core::Timestamp now) const
{
    const auto done = now + core::fromMilliseconds(finishMs) + m_settings.answerTripReserve;
    return done <= request.firstTriedAt + request.route.targetLatency;
}

////////////////////////////////////////////////////////////
void Balancer::finishSearch(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now)
{
    request.search.active = false;
    if (!request.attempts.empty())
    {
        const bool running = request.attempts.back().running;
        const bool useful = choice.server && (!running || meetsTarget(request, choice.finishMs, now) ||
                                              now - request.attempts.back().sentAt > request.route.targetLatency);
        if (useful && sendAgain(ticket, request, choice, now))
            return scheduleWake(ticket, request, now);
        if (running)
            return scheduleWake(ticket, request, now);
        return conclude(ticket, request, now);
    }
    if (refusedForStop(ticket, request, now))
        return;
    if (!choice.server)
    {
        const NoServerReason shortage = request.pool->noServerReason(now);
        refuse(ticket, {reasonOf(shortage), false, retryAfterShortage(shortage, *request.pool, now)});
        return close(ticket);
    }
    const Admission admission = admissionOf(request, choice, now);
    if (admission == Admission::Refuse)
    {
        Refusal refusal{RefusalReason::Overloaded,
                        false,
                        retryAfterWork(*request.pool, choice.finishMs),
                        choice.finishMs,
                        choice.server->reportAgeMs(now),
                        request.firstByteAt - request.firstTriedAt};
        refusal.latencyRatio = choice.server->latencyRatio(now);
        refusal.work = request.pool->work().evidence(request.route.name, now);
        refuse(ticket, refusal);
        return close(ticket);
    }
    forward(ticket, request, choice, now, admission == Admission::Trial);
    scheduleWake(ticket, request, now);
}

} // namespace sailpath::balance

// Timers of requests: the wait for the first configuration, probe rounds, hedges and deadlines.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double hedgeRoom = 1.2;          // Service times reserved for a hedge before the target
constexpr double minHedgeDelayWorks = 1.3; // Service times that the first attempt gets before a hedge
// A refused caller needs the other half of its time for a retry at another node.
constexpr int    heldPartOfTimeLeft = 2;
constexpr auto   never = core::Timestamp::max();

} // namespace

////////////////////////////////////////////////////////////
core::Timestamp Balancer::holdUntil(const Arrival& arrival, core::Timestamp now) const
{
    // A node that long has no configuration gets none soon.
    const core::Timestamp startEnds = m_startedAt + m_settings.maxConfigurationWait;
    const core::Timestamp shortest = now + m_settings.configurationWait;
    if (!arrival.timeLeft)
        return shortest;
    const auto half = arrival.firstByteAt + *arrival.timeLeft / heldPartOfTimeLeft;
    return std::min(half, std::max(shortest, startEnds));
}

////////////////////////////////////////////////////////////
void Balancer::hold(Ticket ticket, const Arrival& arrival, core::Timestamp now)
{
    m_heldRequests.add({ticket, std::string(arrival.host), std::string(arrival.target), std::string(arrival.key),
                        arrival.firstByteAt, arrival.timeLeft, holdUntil(arrival, now), arrival.identity,
                        arrival.firstOnConnection});
    refuseHeld(now);
}

////////////////////////////////////////////////////////////
void Balancer::refuseHeld(core::Timestamp now)
{
    for (const Ticket ticket : m_heldRequests.takeRefused(now))
        refuse(ticket, {RefusalReason::NotConfigured, false, m_settings.defaultRetryAfter});
}

////////////////////////////////////////////////////////////
void Balancer::admitHeld(core::Timestamp now)
{
    for (const HeldRequest& held : m_heldRequests.takeAll())
        admit(
            held.ticket,
            {held.host, held.target, held.firstByteAt, held.timeLeft, held.identity, held.key, held.firstOnConnection},
            now);
}

////////////////////////////////////////////////////////////
const HeldRequests& Balancer::heldRequests() const
{
    return m_heldRequests;
}

////////////////////////////////////////////////////////////
void Balancer::scheduleWake(Ticket ticket, Request& request, core::Timestamp now)
{
    if (request.wakeAt != core::Timestamp{})
        m_wakeTimes.erase({request.wakeAt, ticket});
    core::Timestamp at = request.deadline;
    if (request.search.active)
        at = std::min(at, request.search.endsAt);
    else if (!request.attempts.empty())
    {
        const bool mayHedge = m_settings.hedging && request.route.repeatable && !request.callerGone &&
                              request.sends < request.route.attempts && request.attempts.back().running;
        if (mayHedge)
            at = std::min(at, nextHedgeAt(request, now));
    }
    setWake(ticket, request, at, now);
}

////////////////////////////////////////////////////////////
core::Timestamp Balancer::nextHedgeAt(const Request& request, core::Timestamp now) const
{
    const Attempt& last = request.attempts.back();
    const double   typical = request.pool->work().ms(request.route.name);
    const auto     target = request.firstTriedAt + request.route.targetLatency;
    const auto     latestUseful = target - core::fromMilliseconds(hedgeRoom * typical) - m_settings.answerTripReserve -
                              m_settings.probeRoundTimeout - m_settings.connectCost;
    const auto patience = last.sentAt + core::fromMilliseconds(minHedgeDelayWorks * typical);
    const auto stuck =
        last.sentAt + core::fromMilliseconds(m_settings.stuckFactor * std::max(typical, last.expectedMs));
    // After `latestUseful` a hedge cannot meet the target and is sent only when the first attempt is stuck.
    core::Timestamp at = patience <= latestUseful ? latestUseful : stuck;
    if (at <= now)
        at = std::max(stuck, now + std::max(core::fromMilliseconds(typical), m_settings.minHedgeInterval));
    return std::max(at, request.noHedgeUntil);
}

////////////////////////////////////////////////////////////
void Balancer::setWake(Ticket ticket, Request& request, core::Timestamp at, core::Timestamp now)
{
    // A timeout that has already expired would let `processDue` handle the request again and again at the same `now`.
    request.wakeAt = std::max(at, now + core::Duration{1});
    m_wakeTimes.insert({request.wakeAt, ticket});
}

////////////////////////////////////////////////////////////
void Balancer::hedge(Ticket ticket, Request& request, core::Timestamp now)
{
    if (!maySendAgain(request, now) || mayEndAnotherServer(request, now))
    {
        // The next hedge is considered when the attempt counts as stuck; the deadline applies in any case.
        const double stuckMs = m_settings.stuckFactor * request.pool->work().ms(request.route.name);
        request.noHedgeUntil = now + std::max(core::fromMilliseconds(stuckMs), m_settings.minHedgeInterval);
        return scheduleWake(ticket, request, now);
    }
    startSearch(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::processDue(core::Timestamp now)
{
    m_quotas.update(now);
    refuseHeld(now);
    while (!m_wakeTimes.empty() && m_wakeTimes.begin()->first <= now)
    {
        const Ticket ticket = m_wakeTimes.begin()->second;
        Request&     request = m_requests.at(ticket);
        if (request.deadline <= now)
            timeOut(ticket, request, now);
        else if (!request.search.active)
            hedge(ticket, request, now);
        else if (request.search.pausing)
            beginRound(ticket, request, now);
        else
            endRound(ticket, request, now);
    }
}

////////////////////////////////////////////////////////////
void Balancer::timeOut(Ticket ticket, Request& request, core::Timestamp now)
{
    abandonRunning(ticket, request, now);
    if (request.sends > 0)
        recordAnswerTime(request, now);
    refuse(ticket, {RefusalReason::TimedOut, request.mayHaveRun,
                    request.mayHaveRun ? core::Duration{} : m_settings.defaultRetryAfter});
    close(ticket);
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Balancer::nextDue() const
{
    std::optional<core::Timestamp> next;
    if (!m_wakeTimes.empty())
        next = m_wakeTimes.begin()->first;
    if (const auto due = m_heldRequests.nextDue())
        next = std::min(next.value_or(never), *due);
    if (const auto due = m_quotas.nextDue())
        next = std::min(next.value_or(never), *due);
    return next;
}

} // namespace sailpath::balance

// When requests are looked at again: waits, second sends, time-outs.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double hedgeRoom = 1.2;       // Further time over the estimate that a second send is given
constexpr double leastHedgeWorks = 1.3; // Expected times that the first send is given
constexpr auto   never = core::Timestamp::max();

} // namespace

////////////////////////////////////////////////////////////
void Balancer::hold(Ticket ticket, const Arrival& arrival, core::Timestamp now)
{
    m_early.push_back({ticket, std::string(arrival.host), std::string(arrival.target), std::string(arrival.key),
                       arrival.since, arrival.timeLeft, now + m_settings.configurationWait, arrival.identity});
}

////////////////////////////////////////////////////////////
void Balancer::admitEarly(core::Timestamp now)
{
    for (const Early& early : std::exchange(m_early, {}))
        admit(early.ticket, {early.host, early.target, early.since, early.timeLeft, early.identity, early.key}, now);
}

////////////////////////////////////////////////////////////
void Balancer::plan(Ticket ticket, Request& request, core::Timestamp now)
{
    if (request.wake != core::Timestamp{})
        m_wakes.erase({request.wake, ticket});
    request.wake = request.deadline;
    if (request.search.active)
        request.wake = std::min(request.wake, request.search.next);
    if (request.search.active || request.attempts.empty())
    {
        m_wakes.insert({request.wake, ticket});
        return;
    }
    const Attempt& last = request.attempts.back();
    const bool     mayHedge = m_settings.hedging && request.route.repeatable && !request.left &&
                          request.sends < request.route.attempts && last.running;
    if (mayHedge)
    {
        const double typical = request.pool->work().ms(request.route.name);
        const auto   target = request.firstTry + request.route.targetLatency;
        const auto latestUseful = target - core::fromMilliseconds(hedgeRoom * typical) - m_settings.answerTripReserve -
                                  m_settings.probeRoundTimeout - m_settings.connectCost;
        const auto patience = last.sentAt + core::fromMilliseconds(leastHedgeWorks * typical);
        const auto stuck =
            last.sentAt + core::fromMilliseconds(m_settings.stuckFactor * std::max(typical, last.expectedMs));
        // Later than that a second send cannot meet the target; then it is only for what is stuck.
        core::Timestamp at = patience <= latestUseful ? latestUseful : stuck;
        if (at <= now)
            at = std::max(stuck, now + core::fromMilliseconds(typical));
        at = std::max(at, request.noHedgeUntil);
        request.wake = std::min(request.wake, at);
    }
    m_wakes.insert({request.wake, ticket});
}

////////////////////////////////////////////////////////////
void Balancer::hedge(Ticket ticket, Request& request, core::Timestamp now)
{
    if (!maySendAgain(request, now) || mayEndAnother(request, now))
    {
        // Looked at again only when it is stuck; the deadline ends it in any case.
        request.noHedgeUntil =
            now + core::fromMilliseconds(m_settings.stuckFactor * request.pool->work().ms(request.route.name));
        return plan(ticket, request, now);
    }
    seek(ticket, request, now);
}

////////////////////////////////////////////////////////////
void Balancer::due(core::Timestamp now)
{
    for (; !m_early.empty() && m_early.front().until <= now; m_early.pop_front())
        refuse(m_early.front().ticket, {RefusalReason::NotConfigured, false, m_settings.defaultRetryAfter});
    while (!m_wakes.empty() && m_wakes.begin()->first <= now)
    {
        const Ticket ticket = m_wakes.begin()->second;
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
    refuse(ticket, {RefusalReason::TimedOut, request.mayHaveRun,
                    request.mayHaveRun ? core::Duration{} : m_settings.defaultRetryAfter});
    close(ticket);
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Balancer::nextDue() const
{
    std::optional<core::Timestamp> next;
    if (!m_wakes.empty())
        next = m_wakes.begin()->first;
    if (!m_early.empty())
        next = std::min(next.value_or(never), m_early.front().until);
    return next;
}

} // namespace sailpath::balance

// A planned stop of the node: which requests can still be answered before its process ends.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr auto never = core::Timestamp::max();
constexpr int  slowdownReserve = 2; // Multiple of the longest recent time that a request may take

} // namespace

////////////////////////////////////////////////////////////
void Balancer::beginStop(core::Timestamp endsAt)
{
    m_stopsAt = endsAt;
}

////////////////////////////////////////////////////////////
bool Balancer::mayAnswerBeforeStop(const deployment::HostRoute& route, core::Timestamp deadline,
                                   core::Timestamp now) const
{
    if (m_stopsAt == never)
        return true;
    // At its deadline a request is answered here. Before that, only what its route's requests took tells when it will be.
    core::Duration longest = deadline - now;
    if (const auto recent = m_answerTimes.longest(route.name, now))
        longest = std::min(longest, slowdownReserve * *recent);
    return now + longest + m_settings.answerTripReserve <= m_stopsAt;
}

////////////////////////////////////////////////////////////
bool Balancer::refusedForStop(Ticket ticket, const Request& request, core::Timestamp now)
{
    if (mayAnswerBeforeStop(request.route, request.deadline, now))
        return false;
    refuse(ticket, stopRefusal());
    close(ticket);
    return true;
}

////////////////////////////////////////////////////////////
Refusal Balancer::stopRefusal()
{
    Refusal refusal{RefusalReason::Stopping, false, {}};
    refusal.retryAtOnce = true; // Other nodes take it
    return refusal;
}

////////////////////////////////////////////////////////////
void Balancer::recordAnswerTime(const Request& request, core::Timestamp now)
{
    m_answerTimes.record(request.route.name, now - request.admittedAt, now);
}

////////////////////////////////////////////////////////////
void Balancer::forgetAnswerTimes()
{
    std::set<std::string, std::less<>> routes;
    for (const deployment::HostRoute& route : m_deployment->routes)
        routes.insert(route.name);
    m_answerTimes.keepOnly(routes);
}

} // namespace sailpath::balance

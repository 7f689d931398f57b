// Requests under which servers end: what is noted of them, whom it keeps from servers.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t mostChecked = 64; // Instances at once, and requests lost at one; what is more is not looked into
constexpr std::size_t mostNews = 256;   // Not taken; more only if nobody takes them
constexpr std::size_t aloneFrom = 2;    // Servers ended under a request: it goes out once at a time, and once a try
constexpr std::size_t noSecondSend = 1; // The same: no second send while the first runs

} // namespace

////////////////////////////////////////////////////////////
void Balancer::noteLost(const Request& request, const Attempt& attempt, core::Timestamp now)
{
    const auto& instance = attempt.server->instance();
    if (m_checks.size() >= mostChecked && !m_checks.contains(instance->id))
        return;
    std::vector<LostRequest>& lost = m_checks[instance->id];
    if (lost.size() < mostChecked)
        lost.push_back({*request.identity, attempt.sentAt, now});
    if (lost.size() > 1)
        return; // A look is under way.
    Step step;
    step.kind = StepKind::Check;
    step.instance = instance;
    m_steps.push_back(std::move(step));
}

////////////////////////////////////////////////////////////
void Balancer::checked(const deployment::Instance& instance, CheckResult result, core::Timestamp now)
{
    const auto found = m_checks.find(instance.id);
    if (found == m_checks.end())
        return;
    const std::vector<LostRequest> lost = std::move(found->second);
    m_checks.erase(found);
    // Connections end for many reasons; a server that has ended refuses new ones.
    if (result != CheckResult::Refuses)
        return;
    for (const LostRequest& one : lost)
    {
        deployment::ServerCrash end;
        end.server = deployment::instanceHash(instance);
        end.request = one.identity;
        end.ran = one.lostAt - one.sentAt;
        end.ago = now - one.lostAt;
        m_crashes.ended(end, now);
        if (m_crashNews.ends.size() < mostNews)
            m_crashNews.ends.push_back(end);
    }
}

////////////////////////////////////////////////////////////
void Balancer::heardCrashes(const deployment::CrashReport& news, core::Timestamp now)
{
    for (const deployment::ServerCrash& end : news.ends)
        m_crashes.ended(end, now);
    for (const core::ContentHash& content : news.served)
        m_crashes.served(content);
}

////////////////////////////////////////////////////////////
void Balancer::noteServed(const deployment::RequestIdentity& identity, core::Timestamp now)
{
    if (m_crashes.suspicion(identity.content, now) == 0)
        return;
    m_crashes.served(identity.content);
    if (m_crashNews.served.size() < mostNews)
        m_crashNews.served.push_back(identity.content);
}

////////////////////////////////////////////////////////////
bool Balancer::quarantined(Ticket ticket, const Request& request, core::Timestamp now)
{
    if (!request.identity)
        return false;
    const deployment::Quarantine* quarantine = m_crashes.find(*request.identity, now);
    if (quarantine == nullptr && !sameIsUnderWay(request))
        return false;
    Refusal refusal;
    refusal.reason = quarantine != nullptr ? RefusalReason::EndsServers : RefusalReason::MayEndServers;
    refusal.comeBack = quarantine != nullptr ? quarantine->until - now : m_settings.comeBackSoon;
    refuse(ticket, refusal);
    return true;
}

////////////////////////////////////////////////////////////
bool Balancer::sameIsUnderWay(const Request& request) const
{
    if (m_crashes.suspicion(request.identity->content, request.since) < aloneFrom)
        return false;
    return std::any_of(m_requests.begin(), m_requests.end(),
                       [&](const auto& other) {
                           return other.second.identity && other.second.identity->content == request.identity->content;
                       });
}

////////////////////////////////////////////////////////////
bool Balancer::mayEndAnother(const Request& request, core::Timestamp now) const
{
    if (!request.identity)
        return false;
    const bool        runs = std::any_of(request.attempts.begin(), request.attempts.end(),
                                         [](const Attempt& attempt) { return attempt.running; });
    const std::size_t most = runs ? noSecondSend : aloneFrom;
    return m_crashes.suspicion(request.identity->content, now) >= most ||
           m_crashes.find(*request.identity, now) != nullptr;
}

////////////////////////////////////////////////////////////
bool Balancer::looksUpRequests() const
{
    // What comes before the first configuration is decided about with it, and with what stands in the store then.
    return !m_crashes.empty() || !configured();
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> Balancer::takeQuarantined()
{
    return m_crashes.takeConcluded();
}

////////////////////////////////////////////////////////////
deployment::CrashReport Balancer::takeCrashNews()
{
    return std::exchange(m_crashNews, {});
}

////////////////////////////////////////////////////////////
const CrashLedger& Balancer::crashes() const
{
    return m_crashes;
}

} // namespace sailpath::balance

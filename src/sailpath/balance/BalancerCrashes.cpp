// Requests during which servers crash: detection, news for other nodes and quarantine.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t maxPendingChecks = 64; // Of instances at once, and lost requests per instance; others are ignored
constexpr std::size_t maxPendingNews = 256;  // Reached only when `takeCrashNews` is not called
constexpr std::size_t singleSendFrom = 2;    // Crashes from which a request is sent once at a time and without retries
constexpr std::size_t noHedgeFrom = 1;       // Crashes from which a request is not hedged
constexpr unsigned    statusServerFailed = 500;

} // namespace

////////////////////////////////////////////////////////////
std::string_view toString(CheckResult result)
{
    switch (result)
    {
    case CheckResult::Accepts:
        return "accepts";
    case CheckResult::Refuses:
        return "refuses";
    case CheckResult::Unknown:
        return "unknown";
    }
    return "";
}

////////////////////////////////////////////////////////////
void Balancer::checkAfterLoss(const std::shared_ptr<const deployment::Instance>& instance,
                              const LostRequest&                                 lostRequest)
{
    if (m_pendingChecks.size() >= maxPendingChecks && !m_pendingChecks.contains(instance->id))
        return;
    std::vector<LostRequest>& lost = m_pendingChecks[instance->id];
    if (lost.size() < maxPendingChecks)
        lost.push_back(lostRequest);
    if (lost.size() > 1)
        return; // A check of the instance is already in progress.
    Step step;
    step.kind = StepKind::Check;
    step.instance = instance;
    m_steps.push_back(std::move(step));
}

////////////////////////////////////////////////////////////
void Balancer::identifyLateSend(Ticket ticket, unsigned attempt, const deployment::RequestIdentity& identity)
{
    m_lateSends.identify(ticket, attempt, identity);
}

////////////////////////////////////////////////////////////
void Balancer::lateSendEnded(Ticket ticket, unsigned attempt, const Outcome& outcome, core::Timestamp now)
{
    const auto late = m_lateSends.take(ticket, attempt, now);
    if (!late)
        return;
    if (endedByServer(outcome.loss))
        return checkAfterLoss(late->instance, {*late->identity, late->sentAt, now});
    if (outcome.end != AttemptEnd::Answered && outcome.end != AttemptEnd::NotRun)
        return;
    m_crashes.recordContact(deployment::instanceHash(*late->instance), now);
    if (outcome.end == AttemptEnd::Answered && outcome.status < statusServerFailed)
        recordServed(*late->identity, now);
}

////////////////////////////////////////////////////////////
void Balancer::checkEnded(const deployment::Instance& instance, CheckResult result, core::Timestamp now)
{
    const auto found = m_pendingChecks.find(instance.id);
    if (found == m_pendingChecks.end())
        return;
    const std::vector<LostRequest> lost = std::move(found->second);
    m_pendingChecks.erase(found);
    // Connections close for many reasons, but only a crashed server refuses new ones.
    if (result != CheckResult::Refuses)
        return;
    for (const LostRequest& one : lost)
    {
        deployment::ServerCrash end;
        end.server = deployment::instanceHash(instance);
        end.request = one.identity;
        end.ran = one.lostAt - one.sentAt;
        end.ago = now - one.lostAt;
        m_crashes.recordEnd(end, now);
        if (m_crashNews.ends.size() < maxPendingNews)
            m_crashNews.ends.push_back(end);
    }
}

////////////////////////////////////////////////////////////
void Balancer::receiveCrashNews(const deployment::CrashReport& news, core::Timestamp now)
{
    for (const deployment::ServerCrash& end : news.ends)
        m_crashes.recordEnd(end, now);
    for (const core::ContentHash& content : news.served)
        m_crashes.recordServed(content);
}

////////////////////////////////////////////////////////////
void Balancer::recordServed(const deployment::RequestIdentity& identity, core::Timestamp now)
{
    if (m_crashes.countEnds(identity.content, now) == 0)
        return;
    m_crashes.recordServed(identity.content);
    if (m_crashNews.served.size() < maxPendingNews)
        m_crashNews.served.push_back(identity.content);
}

////////////////////////////////////////////////////////////
bool Balancer::refuseIfQuarantined(Ticket ticket, const Request& request, core::Timestamp now)
{
    if (!request.identity)
        return false;
    const deployment::Quarantine* quarantine = m_crashes.findQuarantine(*request.identity, now);
    if (quarantine == nullptr && !identicalRequestInFlight(request))
        return false;
    Refusal refusal;
    refusal.reason = quarantine != nullptr ? RefusalReason::EndsServers : RefusalReason::MayEndServers;
    refusal.retryAfter = quarantine != nullptr ? quarantine->until - now : m_settings.defaultRetryAfter;
    refuse(ticket, refusal);
    return true;
}

////////////////////////////////////////////////////////////
bool Balancer::identicalRequestInFlight(const Request& request) const
{
    if (m_crashes.countEnds(request.identity->content, request.firstByteAt) < singleSendFrom)
        return false;
    return std::any_of(m_requests.begin(), m_requests.end(),
                       [&](const auto& other) {
                           return other.second.identity && other.second.identity->content == request.identity->content;
                       });
}

////////////////////////////////////////////////////////////
bool Balancer::mayEndAnotherServer(const Request& request, core::Timestamp now) const
{
    if (!request.identity)
        return false;
    const bool        runs = std::any_of(request.attempts.begin(), request.attempts.end(),
                                         [](const Attempt& attempt) { return attempt.running; });
    const std::size_t most = runs ? noHedgeFrom : singleSendFrom;
    return m_crashes.countEnds(request.identity->content, now) >= most ||
           m_crashes.findQuarantine(*request.identity, now) != nullptr;
}

////////////////////////////////////////////////////////////
bool Balancer::needsRequestIdentity() const
{
    // Requests held for the first configuration are checked against the quarantines that arrive with it.
    return !m_crashes.empty() || !configured();
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> Balancer::takeNewQuarantines()
{
    return m_crashes.takeChanged();
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

#include "Exchange.hpp"

#include <sailpath/deployment/ServerFailure.hpp>

#include <algorithm>
#include <array>

namespace sailpath::gateway::priv
{
namespace
{
////////////////////////////////////////////////////////////
std::string_view nameOf(balance::AttemptEnd end)
{
    switch (end)
    {
    case balance::AttemptEnd::Answered:
        return "answered";
    case balance::AttemptEnd::NotRun:
        return "not-run";
    case balance::AttemptEnd::NotSent:
        return "not-sent";
    case balance::AttemptEnd::Lost:
        return "lost";
    }
    return "";
}

////////////////////////////////////////////////////////////
std::string_view nameOf(balance::ConnectFailure failure)
{
    switch (failure)
    {
    case balance::ConnectFailure::Refused:
        return "/refused";
    case balance::ConnectFailure::TimedOut:
        return "/timed-out";
    case balance::ConnectFailure::Broken:
        return "/broken";
    case balance::ConnectFailure::None:
        break;
    }
    return "";
}

} // namespace

////////////////////////////////////////////////////////////
void Exchange::assign(CallerRequest request, const Dialect& dialect)
{
    const http::Head& head = request.head;
    firstByteAt = request.firstByteAt;
    id = head.field(dialect.requestId);
    headOnly = head.method == "HEAD";
    startLine = head.method + " " + head.target + " HTTP/1.1\r\n";
    hasBody = request.body != nullptr || head.has("Content-Length") || head.has("Transfer-Encoding");
    body = std::move(request.body);
    const std::string_view connection = head.field("Connection");
    for (const http::HeaderField& field : head.fields)
    {
        const bool replaced = http::sameName(field.name, dialect.deadlineMs) ||
                              http::sameName(field.name, dialect.targetInstance) ||
                              http::sameName(field.name, dialect.key) ||
                              http::sameName(field.name, dialect.workspace) || http::sameName(field.name, "Expect");
        if (!replaced && !http::concernsConnection(field.name, connection))
            headerFields.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

////////////////////////////////////////////////////////////
OutgoingRequest Exchange::buildRequest(const deployment::Instance& instance, core::Duration left,
                                       const Dialect& dialect) const
{
    const auto milliseconds =
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    OutgoingRequest send;
    send.id = id;
    send.headOnly = headOnly;
    send.head.append(startLine).append(headerFields);
    send.head.append(dialect.deadlineMs).append(": ").append(std::to_string(milliseconds)).append("\r\n");
    send.head.append(dialect.targetInstance).append(": ").append(instance.id).append("\r\n");
    if (!workspace.empty())
        send.head.append(dialect.workspace).append(": ").append(workspace).append("\r\n");
    if (hasBody)
        send.head.append("Content-Length: ").append(std::to_string(body ? body->bytes.size() : 0)).append("\r\n");
    send.head.append("\r\n");
    send.body = body;
    return send;
}

////////////////////////////////////////////////////////////
const deployment::RequestIdentity& Exchange::identity()
{
    if (!m_identity)
    {
        const std::array<std::string_view, 3> content{host, startLine, body ? body->bytes : std::string_view()};
        m_identity = {core::contentHash(content), deployment::shortHash(callerAddress)};
    }
    return *m_identity;
}

////////////////////////////////////////////////////////////
void Exchange::recordAttempt(const balance::Step& step, core::Timestamp now)
{
    ++attempts;
    workspace = step.workspace;
    decidedAt = decidedAt.value_or(now);
    triedFor = step.triedFor;
    if (!attemptLog.empty())
        attemptLog += ',';
    attemptLog += std::to_string(step.attempt) + ":" + step.instance->id + "@" +
                  std::to_string(static_cast<int>(core::toMilliseconds(now - firstByteAt))) +
                  "ms/expected=" + std::to_string(static_cast<int>(step.expectedMs)) +
                  "ms/report=" + std::to_string(static_cast<int>(step.reportAgeMs)) + "ms";
    if (step.trial)
        attemptLog += "/trial";
    if (step.leavingFor.count() > 0)
        attemptLog += "/leaving-for=" + std::to_string(static_cast<int>(core::toMilliseconds(step.leavingFor))) + "ms";
    if (step.backOffLeft.count() > 0)
        attemptLog +=
            "/back-off-left=" + std::to_string(static_cast<int>(core::toMilliseconds(step.backOffLeft))) + "ms";
}

////////////////////////////////////////////////////////////
void Exchange::recordAttemptEnd(unsigned attempt, const balance::Outcome& outcome, core::Timestamp now)
{
    anyAttemptLost = anyAttemptLost || outcome.end == balance::AttemptEnd::Lost;
    attemptLog += ",end" + std::to_string(attempt) + "=" + std::string(nameOf(outcome.end)) + "/" +
                  std::to_string(outcome.status) + "@" +
                  std::to_string(static_cast<int>(core::toMilliseconds(now - firstByteAt))) + "ms" +
                  std::string(nameOf(outcome.connectFailure));
    if (outcome.loss != balance::LossCause::None)
        attemptLog.append("/").append(balance::toString(outcome.loss));
    if (!outcome.helper.empty())
        attemptLog += "/through=" + outcome.helper;
    if (outcome.end == balance::AttemptEnd::NotRun && outcome.load)
        attemptLog += "/load=" + std::to_string(outcome.load->running) + "+" + std::to_string(outcome.load->waiting) +
                      "of" + std::to_string(outcome.load->slots);
}

////////////////////////////////////////////////////////////
void Exchange::recordRefusal(const balance::Refusal& refusal)
{
    if (!refusal.retryAtOnce && refusal.retryAfter.count() == 0)
        return;
    attemptLog += (attemptLog.empty() ? "retry-after=" : ",retry-after=") +
                  std::to_string(static_cast<int>(core::toMilliseconds(refusal.retryAfter))) + "ms";
}

////////////////////////////////////////////////////////////
void Exchange::recordEstimate(const balance::Refusal& refusal)
{
    attemptLog += "best-expected=" + std::to_string(static_cast<int>(refusal.expectedMs)) +
                  "ms/report=" + std::to_string(static_cast<int>(refusal.reportAgeMs)) +
                  "ms/ratio=" + std::to_string(refusal.latencyRatio) + ",";
}

////////////////////////////////////////////////////////////
void Exchange::recordWork(const balance::WorkEvidence& work)
{
    attemptLog += "work=" + std::to_string(static_cast<int>(work.workMs)) +
                  "ms/answered=" + std::to_string(static_cast<int>(work.answerAgeMs)) + "ms";
}

////////////////////////////////////////////////////////////
void Exchange::recordRoom(const balance::Refusal& refusal)
{
    attemptLog += "load=" + std::to_string(refusal.service.load) + "/best=" + std::to_string(refusal.service.bestLoad) +
                  "/admitted=" + std::to_string(refusal.service.admitted) + "/own=" + std::to_string(refusal.chance) +
                  ",";
}

////////////////////////////////////////////////////////////
void Exchange::setEnding(unsigned status, std::string_view reason, core::Timestamp now)
{
    ending = Ending{status, reason, now};
    decidedAt = decidedAt.value_or(now);
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection> Exchange::releaseAttempt(unsigned attempt)
{
    const auto found = activeAttempts.find(attempt);
    if (found == activeAttempts.end())
        return nullptr;
    auto connection = std::move(found->second);
    activeAttempts.erase(found);
    return connection;
}

} // namespace sailpath::gateway::priv

#include <sailpath/entry/Proxy.hpp>

#include "Attempt.hpp"

#include <sailpath/config/Host.hpp>
#include <sailpath/entry/HeaderNames.hpp>
#include <sailpath/entry/SteadyClock.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

namespace sailpath::entry
{
namespace
{
using adapters::http::BodyFraming;
using adapters::http::CallerRequest;
using adapters::http::Header;
using adapters::http::RequestHead;
using adapters::http::sameName;
using adapters::http::ServerRequest;
using node::RefusalReason;
using node::toString;

constexpr std::size_t maxBufferedBody = 64UL * 1024; // Bytes; bodies up to this size are read before a server is chosen
constexpr core::Duration shortRetryDelay = std::chrono::seconds{2};
constexpr std::size_t    maxRequestIdLength = 64;
constexpr std::uint64_t  maxDeadlineMs = 3'600'000;

////////////////////////////////////////////////////////////
int statusFor(const node::Refusal& refusal)
{
    switch (refusal.reason)
    {
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::Duplicate:
        return 409;
    case RefusalReason::WorkspaceShare:
        return 429;
    case RefusalReason::OutcomeUnknown:
    case RefusalReason::NotSent:
        return 502;
    case RefusalReason::DeadlinePassed:
        return 504;
    default:
        return 503;
    }
}

////////////////////////////////////////////////////////////
std::optional<core::Duration> parseDeadline(const RequestHead& head)
{
    const std::string_view value = head.header(headerDeadlineMs);
    std::uint64_t          milliseconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
    if (value.empty() || error != std::errc{} || end != value.data() + value.size())
        return std::nullopt;
    return std::chrono::milliseconds{std::min(milliseconds, maxDeadlineMs)};
}

////////////////////////////////////////////////////////////
bool isNotForwarded(const Header& header, std::string_view connection)
{
    static constexpr std::array<std::string_view, 4> replaced{"Content-Length", "Expect", headerRequestId,
                                                              headerDeadlineMs};
    return adapters::http::isHopByHop(header.name, connection) ||
           std::any_of(replaced.begin(), replaced.end(),
                       [&header](std::string_view name) { return sameName(header.name, name); });
}

////////////////////////////////////////////////////////////
/// \brief Make the headers for the server: the caller's headers, the caller's address and the request id
////////////////////////////////////////////////////////////
std::vector<Header> makeServerHeaders(const CallerRequest& caller, const std::string& id)
{
    const RequestHead&     head = caller.head;
    const std::string_view connection = head.header("Connection");
    std::vector<Header>    headers;
    headers.reserve(head.headers.size() + 3);
    std::string forwardedFor;
    std::string forwarded;
    for (const Header& header : head.headers)
    {
        if (sameName(header.name, "X-Forwarded-For"))
            forwardedFor += header.value + ", ";
        else if (sameName(header.name, "Forwarded"))
            forwarded += header.value + ", ";
        else if (!isNotForwarded(header, connection))
            headers.push_back(header);
    }
    const bool v6 = caller.address.find(':') != std::string::npos;
    headers.push_back({"X-Forwarded-For", forwardedFor + caller.address});
    headers.push_back(
        {"Forwarded", forwarded + "for=" + (v6 ? "\"[" + caller.address + "]\"" : caller.address) + ";proto=http"});
    headers.push_back({std::string(headerRequestId), id});
    return headers;
}

////////////////////////////////////////////////////////////
void sendRefusal(CallerRequest& caller, const node::Refusal& refusal, const std::string& id)
{
    if (caller.answer.begun())
    {
        caller.answer.abort();
        return;
    }
    adapters::http::AnswerHead head;
    head.status = statusFor(refusal);
    head.reason = "Refused";
    head.headers.push_back({std::string(headerReason), std::string(toString(refusal.reason))});
    head.headers.push_back({std::string(headerRan), std::string(toString(refusal.ran))});
    head.headers.push_back({std::string(headerRequestId), id});
    head.headers.push_back({"Content-Type", "text/plain"});
    if (refusal.retryAfter.count() > 0)
    {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count();
        head.headers.push_back({"Retry-After", std::to_string((milliseconds + 999) / 1000)});
        head.headers.push_back({std::string(headerRetryAfterMs), std::to_string(milliseconds)});
    }
    // Retries have been made as far as the budget allows; a proxy or client above must not multiply the retries.
    if (refusal.reason == RefusalReason::OutcomeUnknown || refusal.reason == RefusalReason::NotSent)
        head.headers.push_back({std::string(headerRetry), "never"});

    const std::string text =
        "refused: " + std::string(toString(refusal.reason)) + "; " + std::string(toString(refusal.ran)) + "\n";
    head.framing = caller.head.method == "HEAD" ? BodyFraming::None : BodyFraming::Length;
    head.lengthWithoutBody = caller.head.method == "HEAD";
    head.contentLength = text.size();
    caller.answer.begin(head);
    (void)caller.answer.body(text);
    (void)caller.answer.end();
}

////////////////////////////////////////////////////////////
/// \brief Read a small body completely, so that a slow caller occupies no server and a retry is possible
////////////////////////////////////////////////////////////
bool readSmallBody(CallerRequest& caller, std::string& body)
{
    body.reserve(caller.head.contentLength);
    return caller.body(
        [&body](std::string_view data)
        {
            body.append(data);
            return true;
        });
}

////////////////////////////////////////////////////////////
bool isSmallBody(const RequestHead& head)
{
    return head.framing == BodyFraming::Length && head.contentLength <= maxBufferedBody;
}

////////////////////////////////////////////////////////////
/// \brief Make the outcome of an attempt that was abandoned before sending
////////////////////////////////////////////////////////////
node::Outcome abandonedOutcome()
{
    node::Outcome outcome;
    outcome.result = retries::AttemptResult::Abandoned;
    outcome.retryForbidden = true;
    return outcome;
}

} // namespace

////////////////////////////////////////////////////////////
Proxy::Proxy(std::string node, SharedDispatcher& dispatcher, adapters::http::BackendClient& client,
             ClaimBatcher& claims, metrics::TrafficMetrics& metrics, ports::EventLog& log) :
m_node(std::move(node)),
m_dispatcher(dispatcher),
m_client(client),
m_claims(claims),
m_metrics(metrics),
m_log(log),
m_processStart(std::chrono::system_clock::now().time_since_epoch().count())
{
}

////////////////////////////////////////////////////////////
void Proxy::serve(CallerRequest& caller)
{
    const auto        start = steadyNow();
    const std::string id = requestId(caller.head);
    const auto        host = config::parseHost(caller.head.header("Host"));
    if (m_log.writes(ports::Level::Debug))
        m_log.write(ports::Level::Debug, "request-received",
                    {{"request", id},
                     {"in", id},
                     {"method", caller.head.method},
                     {"host", caller.head.header("Host")},
                     {"path", caller.head.path}});

    std::string body;
    if (isSmallBody(caller.head) && !readSmallBody(caller, body))
    {
        caller.answer.abort();
        return;
    }
    ServerRequest request;
    request.method = caller.head.method;
    request.target = caller.head.target;
    request.framing = caller.head.framing;
    request.contentLength = caller.head.contentLength;
    request.body = body;
    if (request.framing != BodyFraming::None && !isSmallBody(caller.head))
        request.stream = caller.body;

    node::Step step = m_dispatcher.admit(
        {caller.head.header("Host"), caller.head.method, caller.head.path, parseDeadline(caller.head)},
        [&caller] { return caller.cancellation.cancelled(); });
    const std::string_view outcome =
        step.verdict == node::Verdict::Refuse ? refuse(caller, step.refusal, id) : forward(caller, request, step, id);
    // Host names invented by callers must not become metric labels.
    const bool known =
        host && outcome != toString(RefusalReason::UnknownService) && outcome != toString(RefusalReason::NotConfigured);
    m_metrics.record(known ? host->workspace : std::string_view{}, outcome, steadyNow() - start);
}

////////////////////////////////////////////////////////////
std::string_view Proxy::forward(CallerRequest& caller, ServerRequest& request, node::Step step, const std::string& id)
{
    std::optional<HeldClaim> held;
    if (const auto refusal = claim(caller.head, step, id, held))
    {
        (void)m_dispatcher.finish(step.ticket, abandonedOutcome());
        return refuse(caller, *refusal, id);
    }
    while (true)
    {
        // While this process was paused, the claim may have expired and been granted to another request.
        if (held && steadyNow() >= held->sendBefore)
        {
            (void)m_dispatcher.finish(step.ticket, abandonedOutcome());
            return refuse(caller, {RefusalReason::ClaimsUnavailable, retries::Ran::No, shortRetryDelay}, id);
        }
        priv::Attempt       attempt(caller, request, id);
        const node::Outcome result = runAttempt(caller, request, step, id, attempt);
        step = m_dispatcher.finish(step.ticket, result);
        if (step.verdict == node::Verdict::Answer)
        {
            attempt.forwardAnswer();
            return "answered";
        }
        if (step.verdict == node::Verdict::Refuse)
        {
            // A request that certainly did not run may be retried with the same key.
            if (held && step.refusal.ran == retries::Ran::No)
                m_claims.release(held->claim);
            return refuse(caller, step.refusal, id);
        }
    }
}

////////////////////////////////////////////////////////////
node::Outcome Proxy::runAttempt(CallerRequest& caller, ServerRequest& request, const node::Step& step,
                                const std::string& id, priv::Attempt& attempt)
{
    const std::string attemptId = id + "." + std::to_string(step.attempt);
    const auto        left = std::chrono::ceil<std::chrono::milliseconds>(step.deadline - steadyNow()).count();
    request.headers = makeServerHeaders(caller, attemptId);
    request.headers.push_back({std::string(headerDeadlineMs), std::to_string(std::max<std::int64_t>(left, 1))});
    request.deadline = toSteady(step.deadline);
    request.reuseRecentOnly = !step.repeatable;
    if (m_log.writes(ports::Level::Debug))
        m_log.write(ports::Level::Debug, "attempt-sent",
                    {{"request", id}, {"out", attemptId}, {"server", step.target->server}, {"attempt", step.attempt}});

    node::Outcome outcome = attempt.run(m_client, *step.target);
    if (m_log.writes(ports::Level::Debug))
        m_log.write(ports::Level::Debug, "attempt-ended",
                    {{"request", id}, {"in", attemptId + ".answer"}, {"status", attempt.status()}});
    return outcome;
}

////////////////////////////////////////////////////////////
std::string_view Proxy::refuse(CallerRequest& caller, const node::Refusal& refusal, const std::string& id)
{
    sendRefusal(caller, refusal, id);
    if (m_log.writes(ports::Level::Debug))
        m_log.write(ports::Level::Debug, "request-refused",
                    {{"request", id}, {"reason", toString(refusal.reason)}, {"ran", toString(refusal.ran)}});
    return toString(refusal.reason);
}

////////////////////////////////////////////////////////////
std::optional<node::Refusal> Proxy::claim(const RequestHead& head, const node::Step& step, const std::string& id,
                                          std::optional<HeldClaim>& held)
{
    const std::string_view key = head.header(headerIdempotencyKey);
    if (key.empty() || step.repeatable)
        return std::nullopt;
    const node::Target& target = *step.target;
    HeldClaim           claimed;
    claimed.claim.key = claims::claimKey(target.workspace, target.service, key);
    claimed.claim.token = m_node + "/" + std::to_string(m_processStart) + "/" + std::to_string(m_nextClaim++);
    claimed.claim.window = target.claimWindow;
    // Measured from before the claim is committed; a tenth of the window is a margin for clock drift.
    claimed.sendBefore = steadyNow() + target.claimWindow * 9 / 10;
    switch (m_claims.claim(claimed.claim))
    {
    case claims::ClaimVerdict::Granted:
        held = std::move(claimed);
        return std::nullopt;
    case claims::ClaimVerdict::Duplicate:
        m_log.write(ports::Level::Info, "duplicate-refused", {{"request", id}, {"workspace", target.workspace}});
        return node::Refusal{RefusalReason::Duplicate, retries::Ran::Unknown, shortRetryDelay};
    case claims::ClaimVerdict::Unavailable:
    case claims::ClaimVerdict::Unresolved:
        break;
    }
    return node::Refusal{RefusalReason::ClaimsUnavailable, retries::Ran::No, shortRetryDelay};
}

////////////////////////////////////////////////////////////
std::string Proxy::requestId(const RequestHead& head)
{
    const std::string_view given = head.header(headerRequestId);
    const bool             usable = !given.empty() && given.size() <= maxRequestIdLength &&
                        std::all_of(given.begin(), given.end(),
                                    [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '.'; });
    if (usable)
        return std::string(given);
    return m_node + "-" + std::to_string(m_nextId++);
}

} // namespace sailpath::entry

#include "AnswerHead.hpp"

#include "AnswerMatcher.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace sailpath::gateway::priv
{
namespace
{
constexpr unsigned statusOk = 200;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 408;
constexpr unsigned statusServerFailed = 500;

////////////////////////////////////////////////////////////
core::Duration parseSeconds(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value < 0 || value > 3600)
        return {};
    (void)end;
    return core::fromMilliseconds(value * 1000);
}

////////////////////////////////////////////////////////////
/// \brief Parse the seconds of a `Retry-After` field, capped at one hour; 0 when the value is no number of 0 or more
////////////////////////////////////////////////////////////
core::Duration parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 3600; // So that a mistaken value expires
    double           value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    if (!whole || !std::isfinite(value) || value < 0)
        return {};
    return core::fromMilliseconds(std::min(value, maxSeconds) * 1000);
}

////////////////////////////////////////////////////////////
/// \brief Parse a number of milliseconds, capped at one day; null when the value is no number of 0 or more
////////////////////////////////////////////////////////////
std::optional<core::Duration> parseMilliseconds(std::string_view text)
{
    constexpr double longest = 86'400'000;
    double           value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 0))
        return std::nullopt;
    return core::fromMilliseconds(std::min(value, longest));
}

////////////////////////////////////////////////////////////
/// \brief Parse the seconds of `timeout=N` in a `Keep-Alive` field; 0 when they are missing or above 3600
////////////////////////////////////////////////////////////
core::Duration parseTimeout(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto                 at = field.find(key);
    return at == std::string_view::npos ? core::Duration{} : parseSeconds(field.substr(at + key.size()));
}

////////////////////////////////////////////////////////////
/// \brief Return the lowest limit, in requests a second, that an answer names for its server
///
/// \param limitIfAbsent Result when the answer has no field for a limit
///
/// \return Null when there are such fields but no value can be parsed, so that nothing is concluded
////////////////////////////////////////////////////////////
std::optional<double> lowestLimit(const http::Head& head, const Dialect& dialect, std::optional<double> limitIfAbsent)
{
    std::optional<double> lowest;
    bool                  found = false;
    for (const http::HeaderField& field : head.fields)
    {
        const bool matches = std::any_of(dialect.limits.begin(), dialect.limits.end(),
                                         [&](const std::string& name) { return http::sameName(field.name, name); });
        if (!matches)
            continue;
        found = true;
        if (const auto value = dialect.parseLimit(field.value))
            lowest = std::min(lowest.value_or(*value), *value);
    }
    return found ? lowest : limitIfAbsent;
}

////////////////////////////////////////////////////////////
/// \brief Test whether an answer comes from the instance that the request was sent to
///
/// A 421 comes from another instance at the same address. An answer to a request (not to a probe) that does not repeat
/// the request id may come from anywhere, such as a proxy.
////////////////////////////////////////////////////////////
bool comesFromInstance(const http::Head& head, bool probe, std::string_view instance, const Dialect& dialect)
{
    const std::string_view answeringInstance = head.field(dialect.instanceId);
    if (head.status == statusMisdirected || (!answeringInstance.empty() && answeringInstance != instance))
        return false;
    return probe || head.has(dialect.requestId);
}

////////////////////////////////////////////////////////////
/// \brief Return how long a server asks for no further requests; the longest of several values
///
/// Only a 503 counts: a 429 concerns just the caller whose request was rejected.
////////////////////////////////////////////////////////////
core::Duration longestBackOff(const http::Head& head)
{
    core::Duration longest{};
    for (const http::HeaderField& field : head.fields)
    {
        if (head.status == statusUnavailable && http::sameName(field.name, "Retry-After"))
            longest = std::max(longest, parseRetryAfter(field.value));
    }
    return longest;
}

} // namespace

////////////////////////////////////////////////////////////
balance::Outcome classifyAnswer(const http::Head& head, const Dialect& dialect)
{
    balance::Outcome outcome;
    outcome.status = head.status;
    // A 421 reports the load of another instance, and an answer without a request id may come from anywhere.
    const bool fromInstance = head.status != statusMisdirected && head.has(dialect.requestId);
    const bool success = head.status >= 200 && head.status < 300;
    if (dialect.parseLoad && fromInstance)
        outcome.load = dialect.parseLoad(head.field(dialect.load));
    // Only a success that names no limit lifts an earlier limit: a rejection may omit the field.
    if (dialect.parseLimit && fromInstance)
        outcome.limit = lowestLimit(head, dialect, success ? std::optional(balance::unlimited) : std::nullopt);
    // Retry-After of a 503 is meant for this node; other servers may accept the caller's request sooner.
    if (head.status != statusUnavailable)
        outcome.retryAfter = parseRetryAfter(head.field("Retry-After"));
    if (success)
    {
        const bool whole = head.has(dialect.signature) && !head.has("Content-Encoding");
        outcome.end = whole ? balance::AttemptEnd::Answered : balance::AttemptEnd::Lost;
        return outcome;
    }
    if (provesNotRun(head, dialect))
    {
        outcome.end = balance::AttemptEnd::NotRun;
        outcome.misdirected = head.status == statusMisdirected;
        return outcome;
    }
    // These statuses tell the caller that the request did not run. Without the not-executed field that is uncertain, so
    // the answer is not passed on.
    const bool impliesNotRun =
        head.status == statusUnavailable || head.status == statusTooMany || head.status == statusTimeout;
    // A caller does not retry after a final rejection, so it has to carry the server's signature.
    const bool unsignedRejection = head.status < statusServerFailed && !head.has(dialect.signature);
    outcome.end = impliesNotRun || unsignedRejection ? balance::AttemptEnd::Lost : balance::AttemptEnd::Answered;
    return outcome;
}

////////////////////////////////////////////////////////////
balance::Outcome classifyProbe(const http::Head& head, std::string_view instance, const Dialect& dialect)
{
    balance::Outcome outcome;
    outcome.status = head.status;
    outcome.end = balance::AttemptEnd::Answered;
    // Another instance has taken over the address; its load is not that of the probed instance.
    const std::string_view answeringInstance = head.field(dialect.instanceId);
    if (!answeringInstance.empty() && answeringInstance != instance)
    {
        outcome.end = balance::AttemptEnd::Lost;
        return outcome;
    }
    // Limits apply to requests, so a health answer without a limit does not lift an earlier one.
    if (dialect.parseLimit)
        outcome.limit = lowestLimit(head, dialect, std::nullopt);
    // A healthy instance that does not report a warm-up time has warmed up.
    const bool healthyWithoutWarmUp = !head.has(dialect.warmUpMs) && head.status == statusOk;
    outcome.warmUp = healthyWithoutWarmUp ? core::Duration{} : parseMilliseconds(head.field(dialect.warmUpMs));
    if (dialect.parseLoad)
        outcome.load = dialect.parseLoad(head.field(dialect.load));
    return outcome;
}

////////////////////////////////////////////////////////////
balance::ServerNotice parseNotice(const http::Head& head, bool probe, std::string_view instance, const Dialect& dialect)
{
    if (!comesFromInstance(head, probe, instance, dialect))
        return {};
    balance::ServerNotice notice;
    notice.backOff = longestBackOff(head);
    for (const http::HeaderField& field : head.fields)
    {
        const bool matches = std::any_of(dialect.leaving.begin(), dialect.leaving.end(),
                                         [&](const std::string& name) { return http::sameName(field.name, name); });
        notice.leaving =
            notice.leaving || (matches && dialect.parseLeaving != nullptr && dialect.parseLeaving(field.value));
    }
    return notice;
}

////////////////////////////////////////////////////////////
core::Duration parseKeepAlive(const http::Head& head)
{
    return parseTimeout(head.field("Keep-Alive"));
}

} // namespace sailpath::gateway::priv

#include "AnswerHead.hpp"

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
/// \brief Seconds in a `Retry-After` field, an hour at the most; 0 when it is no number of 0 or more
////////////////////////////////////////////////////////////
core::Duration parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 3600; // A mistaken value ends by itself
    double           value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    if (!whole || !std::isfinite(value) || value < 0)
        return {};
    return core::fromMilliseconds(std::min(value, maxSeconds) * 1000);
}

////////////////////////////////////////////////////////////
/// \brief A number of milliseconds, of a day at the most; null when there is none
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
/// \brief The time in a `Keep-Alive` field, `timeout=N`
////////////////////////////////////////////////////////////
core::Duration parseTimeout(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto                 at = field.find(key);
    return at == std::string_view::npos ? core::Duration{} : parseSeconds(field.substr(at + key.size()));
}

////////////////////////////////////////////////////////////
/// \brief What an answer says of the requests a second that its server takes
///
/// \param whenSilent What it means that there is none
///
/// \return Of several values the lowest; null when none can be read, so nothing is concluded
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
/// \brief Whether an answer speaks for the instance that was asked
///
/// One that says the request is for somebody else speaks of another instance; one to a request that does not repeat
/// its id may be anybody's.
////////////////////////////////////////////////////////////
bool comesFromInstance(const http::Head& head, bool probe, std::string_view instance, const Dialect& dialect)
{
    const std::string_view answeringInstance = head.field(dialect.instanceId);
    if (head.status == statusMisdirected || (!answeringInstance.empty() && answeringInstance != instance))
        return false;
    return probe || head.has(dialect.requestId);
}

////////////////////////////////////////////////////////////
/// \brief How long an answer asks for no further requests: of several values the longest
///
/// Only with a 503: a 429 speaks to the caller whose request it was.
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
    // Who answers that the request is for somebody else speaks of itself; what has no id may be anybody's.
    const bool fromInstance = head.status != statusMisdirected && head.has(dialect.requestId);
    const bool success = head.status >= 200 && head.status < 300;
    if (dialect.parseLoad && fromInstance)
        outcome.load = dialect.parseLoad(head.field(dialect.load));
    // Only a whole answer that names no limit ends one: what turns a request away may say less.
    if (dialect.parseLimit && fromInstance)
        outcome.limit = lowestLimit(head, dialect, success ? std::optional(balance::unlimited) : std::nullopt);
    // What a 503 asks for is asked of this node; other servers may take the caller's request before.
    if (head.status != statusUnavailable)
        outcome.comeBack = parseRetryAfter(head.field("Retry-After"));
    if (success)
    {
        const bool whole = head.has(dialect.signature) && !head.has("Content-Encoding");
        outcome.end = whole ? balance::AttemptEnd::Answered : balance::AttemptEnd::Lost;
        return outcome;
    }
    if (head.has(dialect.notExecuted) || head.status == statusMisdirected)
    {
        outcome.end = balance::AttemptEnd::NotRun;
        outcome.misdirected = head.status == statusMisdirected;
        return outcome;
    }
    // These say that the request did not run; without the mark that is not to be passed on.
    const bool impliesNotRun =
        head.status == statusUnavailable || head.status == statusTooMany || head.status == statusTimeout;
    // What turns a request away for good has to be the server's; a caller does not come back after it.
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
    // Another instance has the address now; what it says is not this one's load.
    const std::string_view answeringInstance = head.field(dialect.instanceId);
    if (!answeringInstance.empty() && answeringInstance != instance)
    {
        outcome.end = balance::AttemptEnd::Lost;
        return outcome;
    }
    // A health answer that names no limit ends none: it is requests that are limited.
    if (dialect.parseLimit)
        outcome.limit = lowestLimit(head, dialect, std::nullopt);
    // A healthy instance that says nothing of it is not cold.
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

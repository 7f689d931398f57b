#include "Attempt.hpp"

#include <sailpath/entry/HeaderNames.hpp>

#include <algorithm>
#include <charconv>

namespace sailpath::entry::priv
{
namespace
{
using adapters::http::AnswerHead;
using adapters::http::ExchangeEnd;
using adapters::http::Header;
using adapters::http::sameName;
using retries::AttemptResult;

constexpr std::int64_t maxRetryAfterMs = 3'600'000;     // Bounds the effect of a wrong value sent by a server
constexpr std::size_t  maxBufferedAnswer = 64UL * 1024; // Bytes; larger answers are forwarded without a decision

////////////////////////////////////////////////////////////
template <typename Number>
Number parseNumber(std::string_view text, Number fallback)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? value : fallback;
}

////////////////////////////////////////////////////////////
/// \brief Check whether a status reports a failure of the server
////////////////////////////////////////////////////////////
bool isFailure(int status)
{
    return status == 500 || status == 502 || status == 503 || status == 504;
}

////////////////////////////////////////////////////////////
bool isInternalHeader(std::string_view name)
{
    return sameName(name, headerLoad) || sameName(name, headerDraining);
}

} // namespace

////////////////////////////////////////////////////////////
Attempt::Attempt(adapters::http::CallerRequest& caller, const adapters::http::ServerRequest& request,
                 const std::string& id) :
m_caller(caller),
m_request(request),
m_id(id)
{
}

////////////////////////////////////////////////////////////
node::Outcome Attempt::run(adapters::http::BackendClient& client, const node::Target& target)
{
    const adapters::http::AnswerSink sink{[this](const AnswerHead& head) { return receiveHead(head); },
                                          [this](std::string_view data) { return receiveBody(data); }};
    const ExchangeEnd end = client.exchange(target.address, target.port, m_request, sink, m_caller.cancellation);
    return makeOutcome(end);
}

////////////////////////////////////////////////////////////
void Attempt::forwardAnswer()
{
    if (m_buffering && !m_caller.answer.begun())
    {
        // Retries have been made as far as the budget allows; a proxy or client above must not multiply the retries.
        if (!m_outcome.retryForbidden)
            m_head.headers.push_back({std::string(headerRetry), "never"});
        m_caller.answer.begin(m_head);
        (void)m_caller.answer.body(m_bufferedBody);
    }
    if (m_caller.answer.begun())
        (void)m_caller.answer.end();
}

////////////////////////////////////////////////////////////
int Attempt::status() const
{
    return m_status;
}

////////////////////////////////////////////////////////////
bool Attempt::receiveHead(const AnswerHead& head)
{
    m_status = head.status;
    m_serverFailed = isFailure(head.status);
    readServerHeaders(head);
    m_head = head;
    std::erase_if(m_head.headers, [](const Header& header) { return isInternalHeader(header.name); });
    m_head.headers.push_back({std::string(headerRequestId), m_id});

    m_buffering = m_serverFailed &&
                  (head.framing != adapters::http::BodyFraming::Length || head.contentLength <= maxBufferedAnswer);
    if (!m_buffering)
        m_caller.answer.begin(m_head);
    return true;
}

////////////////////////////////////////////////////////////
bool Attempt::receiveBody(std::string_view data)
{
    if (m_buffering && m_bufferedBody.size() + data.size() <= maxBufferedAnswer)
    {
        m_bufferedBody.append(data);
        return true;
    }
    if (m_buffering)
    {
        m_buffering = false;
        m_caller.answer.begin(m_head);
        if (!m_caller.answer.body(m_bufferedBody))
            return false;
    }
    return m_caller.answer.body(data);
}

////////////////////////////////////////////////////////////
void Attempt::readServerHeaders(const AnswerHead& head)
{
    for (const Header& header : head.headers)
    {
        if (sameName(header.name, headerLoad))
            m_outcome.report = routing::LoadReport{parseNumber(header.value, 0U)};
        else if (sameName(header.name, headerDraining))
            m_outcome.draining = header.value == "true";
        else if (sameName(header.name, headerRetry))
            m_outcome.retryForbidden = header.value == "never";
        else if (sameName(header.name, headerRan))
            m_shed = m_serverFailed && header.value == "not-run";
        else if (sameName(header.name, headerRetryAfterMs))
            m_outcome.retryAfter = std::chrono::milliseconds{
                std::clamp<std::int64_t>(parseNumber<std::int64_t>(header.value, 0), 0, maxRetryAfterMs)};
    }
}

////////////////////////////////////////////////////////////
node::Outcome Attempt::makeOutcome(ExchangeEnd end)
{
    node::Outcome outcome = m_outcome;
    // If a truncated small answer has not been sent yet, the caller can still get an error, or the request a retry.
    const bool    complete = end == ExchangeEnd::Whole;
    const bool    forwarded = m_caller.answer.begun() && (complete || !m_caller.answer.discardUnsent());
    outcome.bodyReplayable = !m_request.stream && !forwarded;
    switch (end)
    {
    case ExchangeEnd::Whole:
        outcome.result = AttemptResult::Answered;
        if (m_serverFailed)
            outcome.result = m_shed ? AttemptResult::Shed : AttemptResult::Failed;
        break;
    case ExchangeEnd::NotSent:
        // The body has not been read yet, so the body is available for a retry even if streamed.
        outcome.result = AttemptResult::NotSent;
        outcome.bodyReplayable = true;
        break;
    case ExchangeEnd::SinkRefused:
    case ExchangeEnd::SourceFailed:
    case ExchangeEnd::Cancelled:
        outcome.result = AttemptResult::Abandoned;
        break;
    case ExchangeEnd::NoAnswer:
    case ExchangeEnd::TimedOut:
    case ExchangeEnd::Truncated:
        outcome.result = AttemptResult::Unknown;
        break;
    }
    return outcome;
}

} // namespace sailpath::entry::priv

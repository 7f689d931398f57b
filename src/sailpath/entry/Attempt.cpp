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

constexpr std::int64_t longestBackOffMs = 3'600'000; // A mistaken value of a server ends by itself
constexpr std::size_t  mostKept = 64UL * 1024;       // Larger answers are passed on without waiting for a decision

////////////////////////////////////////////////////////////
template <typename Number>
Number toNumber(std::string_view text, Number fallback)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? value : fallback;
}

////////////////////////////////////////////////////////////
/// \brief Whether a status says that the server could not do its work
////////////////////////////////////////////////////////////
bool isFailure(int status)
{
    return status == 500 || status == 502 || status == 503 || status == 504;
}

////////////////////////////////////////////////////////////
bool isPrivate(std::string_view name)
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
    const adapters::http::AnswerSink sink{[this](const AnswerHead& head) { return takeHead(head); },
                                          [this](std::string_view data) { return takeBody(data); }};
    const ExchangeEnd end = client.exchange(target.address, target.port, m_request, sink, m_caller.cancellation);
    return judge(end);
}

////////////////////////////////////////////////////////////
void Attempt::passOn()
{
    if (m_keepBack && !m_caller.answer.begun())
    {
        // Retries were made as far as the budget allows; a layer above must not multiply them.
        if (!m_outcome.retryForbidden)
            m_head.headers.push_back({std::string(headerRetry), "never"});
        m_caller.answer.begin(m_head);
        (void)m_caller.answer.body(m_kept);
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
bool Attempt::takeHead(const AnswerHead& head)
{
    m_status = head.status;
    m_failure = isFailure(head.status);
    readSignals(head);
    m_head = head;
    std::erase_if(m_head.headers, [](const Header& header) { return isPrivate(header.name); });
    m_head.headers.push_back({std::string(headerRequestId), m_id});

    m_keepBack = m_failure && (head.framing != adapters::http::BodyFraming::Length || head.contentLength <= mostKept);
    if (!m_keepBack)
        m_caller.answer.begin(m_head);
    return true;
}

////////////////////////////////////////////////////////////
bool Attempt::takeBody(std::string_view data)
{
    if (m_keepBack && m_kept.size() + data.size() <= mostKept)
    {
        m_kept.append(data);
        return true;
    }
    if (m_keepBack)
    {
        m_keepBack = false;
        m_caller.answer.begin(m_head);
        if (!m_caller.answer.body(m_kept))
            return false;
    }
    return m_caller.answer.body(data);
}

////////////////////////////////////////////////////////////
void Attempt::readSignals(const AnswerHead& head)
{
    for (const Header& header : head.headers)
    {
        if (sameName(header.name, headerLoad))
            m_outcome.report = routing::LoadReport{toNumber(header.value, 0U)};
        else if (sameName(header.name, headerDraining))
            m_outcome.draining = header.value == "true";
        else if (sameName(header.name, headerRetry))
            m_outcome.retryForbidden = header.value == "never";
        else if (sameName(header.name, headerRan))
            m_shed = m_failure && header.value == "not-run";
        else if (sameName(header.name, headerRetryAfterMs))
            m_outcome.comeBack = std::chrono::milliseconds{
                std::clamp<std::int64_t>(toNumber<std::int64_t>(header.value, 0), 0, longestBackOffMs)};
    }
}

////////////////////////////////////////////////////////////
node::Outcome Attempt::judge(ExchangeEnd end)
{
    node::Outcome outcome = m_outcome;
    // Nothing of a small answer that was cut has left yet; the caller can be told, or the request sent again.
    const bool    complete = end == ExchangeEnd::Whole;
    const bool    passedOn = m_caller.answer.begun() && (complete || !m_caller.answer.discardUnsent());
    outcome.bodyAtHand = !m_request.stream && !passedOn;
    switch (end)
    {
    case ExchangeEnd::Whole:
        outcome.result = AttemptResult::Answered;
        if (m_failure)
            outcome.result = m_shed ? AttemptResult::Shed : AttemptResult::Failed;
        break;
    case ExchangeEnd::NotSent:
        // The body has not been touched yet, so it is at hand even when it streams.
        outcome.result = AttemptResult::NotSent;
        outcome.bodyAtHand = true;
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

#include "ServerConnection.hpp"

#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <netinet/tcp.h>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t headLimit = 64U * 1024;
constexpr auto          leastProof = std::chrono::milliseconds{1};   // For a reset to arrive, a round trip as a rule:
constexpr auto          longestProof = std::chrono::milliseconds{5}; // as long as connecting took, within these

constexpr unsigned statusOk = 200;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 408;
constexpr unsigned statusServerFailed = 500;

////////////////////////////////////////////////////////////
core::Duration secondsOf(std::string_view text)
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
core::Duration retryAfterOf(std::string_view text)
{
    constexpr double longestSeconds = 3600; // A mistaken value ends by itself
    double           value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    if (!whole || !std::isfinite(value) || value < 0)
        return {};
    return core::fromMilliseconds(std::min(value, longestSeconds) * 1000);
}

////////////////////////////////////////////////////////////
/// \brief A number of milliseconds, of a day at the most; null when there is none
////////////////////////////////////////////////////////////
std::optional<core::Duration> millisecondsOf(std::string_view text)
{
    constexpr double most = 86'400'000;
    double           value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 0))
        return std::nullopt;
    return core::fromMilliseconds(std::min(value, most));
}

////////////////////////////////////////////////////////////
/// \brief The time in a `Keep-Alive` field, `timeout=N`
////////////////////////////////////////////////////////////
core::Duration keepAliveOf(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto                 at = field.find(key);
    return at == std::string_view::npos ? core::Duration{} : secondsOf(field.substr(at + key.size()));
}

////////////////////////////////////////////////////////////
/// \brief What an answer says of the requests a second that its server takes
///
/// \param whenSilent What it means that there is none
///
/// \return Of several values the lowest; null when none can be read, so nothing is concluded
////////////////////////////////////////////////////////////
std::optional<double> limitOf(const http::Head& head, const Dialect& dialect, std::optional<double> whenSilent)
{
    std::optional<double> lowest;
    bool                  named = false;
    for (const http::HeaderField& field : head.fields)
    {
        const bool names = std::any_of(dialect.limits.begin(), dialect.limits.end(),
                                       [&](const std::string& name) { return http::sameName(field.name, name); });
        if (!names)
            continue;
        named = true;
        if (const auto value = dialect.parseLimit(field.value))
            lowest = std::min(lowest.value_or(*value), *value);
    }
    return named ? lowest : whenSilent;
}

////////////////////////////////////////////////////////////
/// \brief Whether an answer speaks for the instance that was asked
///
/// One that says the request is for somebody else speaks of another instance; one to a request that does not repeat
/// its id may be anybody's.
////////////////////////////////////////////////////////////
bool speaksForInstance(const http::Head& head, bool probe, std::string_view instance, const Dialect& dialect)
{
    const std::string_view who = head.field(dialect.instanceId);
    if (head.status == statusMisdirected || (!who.empty() && who != instance))
        return false;
    return probe || head.has(dialect.requestId);
}

////////////////////////////////////////////////////////////
/// \brief How long an answer asks for no further requests: of several values the longest
///
/// Only with a 503: a 429 speaks to the caller whose request it was.
////////////////////////////////////////////////////////////
core::Duration backOffOf(const http::Head& head)
{
    core::Duration longest{};
    for (const http::HeaderField& field : head.fields)
    {
        if (head.status == statusUnavailable && http::sameName(field.name, "Retry-After"))
            longest = std::max(longest, retryAfterOf(field.value));
    }
    return longest;
}

////////////////////////////////////////////////////////////
balance::ServerNotice noticeOf(const http::Head& head, const Dialect& dialect)
{
    balance::ServerNotice notice;
    notice.backOff = backOffOf(head);
    for (const http::HeaderField& field : head.fields)
    {
        const bool names = std::any_of(dialect.leaving.begin(), dialect.leaving.end(),
                                       [&](const std::string& name) { return http::sameName(field.name, name); });
        notice.leaving =
            notice.leaving || (names && dialect.parseLeaving != nullptr && dialect.parseLeaving(field.value));
    }
    return notice;
}

} // namespace

////////////////////////////////////////////////////////////
ServerConnection::ServerConnection(asio::io_context& context, std::shared_ptr<const deployment::Instance> instance,
                                   const GatewaySettings& settings, const Dialect& dialect, Changed changed,
                                   Noticed noticed) :
m_socket(context),
m_timer(context),
m_instance(std::move(instance)),
m_settings(settings),
m_dialect(dialect),
m_changed(std::move(changed)),
m_noticed(std::move(noticed))
{
}

////////////////////////////////////////////////////////////
void ServerConnection::send(Send request, Done done)
{
    m_request = std::move(request);
    m_done = std::move(done);
    startReader();
    if (m_state == State::New)
        return connect();
    m_state = State::Busy;
    write();
}

////////////////////////////////////////////////////////////
void ServerConnection::check(Checked checked)
{
    m_checked = std::move(checked);
    connect();
}

////////////////////////////////////////////////////////////
void ServerConnection::tellCheck(balance::CheckResult result)
{
    if (const Checked checked = std::exchange(m_checked, nullptr))
        checked(result);
}

////////////////////////////////////////////////////////////
void ServerConnection::startReader()
{
    const auto kind = m_request.headOnly ? http::MessageKind::AnswerNoBody : http::MessageKind::Answer;
    m_reader = std::make_unique<http::MessageReader>(kind, headLimit, m_settings.answerBytes);
    m_headHeard = false;
}

////////////////////////////////////////////////////////////
void ServerConnection::connect()
{
    m_state = State::Connecting;
    m_since = core::now();
    asio::error_code ignored;
    m_socket.open(asio::ip::tcp::v4(), ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> silence(
        static_cast<int>(m_settings.silence.count() / 1000));
    m_socket.set_option(silence, ignored);
    auto self = shared_from_this();
    m_timer.expires_after(m_settings.connectTimeout);
    m_timer.async_wait(
        [self](const asio::error_code& error)
        {
            if (!error && self->m_state == State::Connecting)
                self->ended(false);
        });
    const asio::ip::tcp::endpoint where(asio::ip::make_address(m_instance->address, ignored), m_instance->port);
    m_socket.async_connect(where,
                           [self](const asio::error_code& error)
                           {
                               if (self->m_state != State::Connecting)
                                   return;
                               self->m_timer.cancel();
                               if (error == asio::error::connection_refused)
                                   self->tellCheck(balance::CheckResult::Refuses);
                               if (error)
                                   return self->ended(false);
                               self->connected();
                           });
}

////////////////////////////////////////////////////////////
void ServerConnection::connected()
{
    read();
    if (m_checked)
    {
        m_state = State::Idle;
        m_since = core::now();
        m_changed(*this);
        return tellCheck(balance::CheckResult::Accepts);
    }
    if (!m_request.once)
    {
        m_state = State::Busy;
        return write();
    }
    // A server that takes no further connection resets it at once. Before anything is sent that says that the request
    // has not run; afterwards nobody could tell.
    const auto tookToConnect = core::now() - m_since;
    auto       self = shared_from_this();
    m_timer.expires_after(std::clamp<core::Duration>(tookToConnect, leastProof, longestProof));
    m_timer.async_wait(
        [self](const asio::error_code& error)
        {
            if (error || self->m_state != State::Connecting)
                return;
            self->m_state = State::Busy;
            self->write();
        });
}

////////////////////////////////////////////////////////////
void ServerConnection::write()
{
    m_written = false;
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_request.bytes),
                      [self](const asio::error_code& error, std::size_t)
                      {
                          // An error shows on the reading side too, where an answer may still wait.
                          self->m_written = !error;
                      });
}

////////////////////////////////////////////////////////////
void ServerConnection::read()
{
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self](const asio::error_code& error, std::size_t bytes)
                             {
                                 if (self->m_state == State::Closed)
                                     return;
                                 const bool inOrder = error == asio::error::eof;
                                 const bool reset =
                                     error == asio::error::connection_reset || error == asio::error::broken_pipe;
                                 if (error)
                                     return self->ended(inOrder, inOrder || reset);
                                 self->received(bytes);
                                 if (self->m_state != State::Closed)
                                     self->read();
                             });
}

////////////////////////////////////////////////////////////
void ServerConnection::received(std::size_t bytes)
{
    // Bytes that come at rest belong to no request.
    if (m_state != State::Busy)
        return close();
    m_unread.append(m_buffer.data(), bytes);
    while (m_state == State::Busy && !m_unread.empty())
    {
        m_unread.erase(0, m_reader->read(m_unread));
        const http::ReadState state = m_reader->state();
        if (state == http::ReadState::Body || state == http::ReadState::Done)
            hearNotice();
        if (state == http::ReadState::Head || state == http::ReadState::Body)
            return;
        if (state != http::ReadState::Done)
            return ended(false);
        answered();
    }
}

////////////////////////////////////////////////////////////
bool ServerConnection::belongs(const http::Head& head) const
{
    const std::string_view id = head.field(m_dialect.requestId);
    const bool             success = head.status >= 200 && head.status < 300;
    if (m_request.probe)
        return id.empty();
    return id.empty() ? !success : id == m_request.id;
}

////////////////////////////////////////////////////////////
void ServerConnection::hearNotice()
{
    if (std::exchange(m_headHeard, true))
        return;
    // An answer that nobody waits for any more, or that comes twice, speaks for its server all the same.
    const http::Head& head = m_reader->head();
    if (!speaksForInstance(head, m_request.probe, m_instance->id, m_dialect))
        return;
    const balance::ServerNotice notice = noticeOf(head, m_dialect);
    if (!notice.empty())
        m_noticed(m_instance, notice,
                  m_request.probe ? balance::NoticeSource::HealthAnswer : balance::NoticeSource::Answer);
}

////////////////////////////////////////////////////////////
void ServerConnection::answered()
{
    const http::Head& head = m_reader->head();
    const bool        interim = head.status < 200;
    if (interim || !belongs(head))
    {
        // An answer to an earlier request, or none yet; the one that is due may follow.
        m_poisoned = m_poisoned || !interim;
        if (head.untilEnd)
            return ended(false);
        startReader();
        return;
    }
    balance::Outcome outcome;
    if (m_request.probe)
        judgeProbe(outcome, head);
    else
        judge(outcome, head);
    // After what is not the server's answer, the one that is due may still come.
    const bool sound = outcome.end != balance::AttemptEnd::Lost && !m_poisoned;
    const bool keep = head.keepAlive && !head.untilEnd && m_written && sound && m_unread.empty();
    m_restLimit = keepAliveOf(head.field("Keep-Alive"));
    ServerAnswer answer{head, m_reader->takeBody()};
    finish(outcome, std::move(answer), keep);
}

////////////////////////////////////////////////////////////
void ServerConnection::judge(balance::Outcome& outcome, const http::Head& head) const
{
    outcome.status = head.status;
    if (m_dialect.parseLoad)
        outcome.load = m_dialect.parseLoad(head.field(m_dialect.load));
    // Who answers that the request is for somebody else speaks of itself; what has no id may be anybody's.
    const bool itsOwn = head.status != statusMisdirected && head.has(m_dialect.requestId);
    const bool success = head.status >= 200 && head.status < 300;
    // Only a whole answer that names no limit ends one: what turns a request away may say less.
    if (m_dialect.parseLimit && itsOwn)
        outcome.limit = limitOf(head, m_dialect, success ? std::optional(balance::unlimited) : std::nullopt);
    // What a 503 asks for is asked of this node; other servers may take the caller's request before.
    if (head.status != statusUnavailable)
        outcome.comeBack = retryAfterOf(head.field("Retry-After"));
    if (success)
    {
        const bool whole = head.has(m_dialect.signature) && !head.has("Content-Encoding");
        outcome.end = whole ? balance::AttemptEnd::Answered : balance::AttemptEnd::Lost;
        return;
    }
    if (head.has(m_dialect.notExecuted) || head.status == statusMisdirected)
    {
        outcome.end = balance::AttemptEnd::NotRun;
        outcome.misdirected = head.status == statusMisdirected;
        return;
    }
    // These say that the request did not run; without the mark that is not to be passed on.
    const bool promises =
        head.status == statusUnavailable || head.status == statusTooMany || head.status == statusTimeout;
    // What turns a request away for good has to be the server's; a caller does not come back after it.
    const bool denies = head.status < statusServerFailed && !head.has(m_dialect.signature);
    outcome.end = promises || denies ? balance::AttemptEnd::Lost : balance::AttemptEnd::Answered;
}

////////////////////////////////////////////////////////////
void ServerConnection::judgeProbe(balance::Outcome& outcome, const http::Head& head) const
{
    outcome.status = head.status;
    outcome.end = balance::AttemptEnd::Answered;
    const std::string_view instance = head.field(m_dialect.instanceId);
    const bool             other = !instance.empty() && instance != m_instance->id;
    // Another instance has the address now; what it says is not this one's load.
    if (other)
        outcome.end = balance::AttemptEnd::Lost;
    else
    {
        // A health answer that names no limit ends none: it is requests that are limited.
        if (m_dialect.parseLimit)
            outcome.limit = limitOf(head, m_dialect, std::nullopt);
        // A healthy instance that says nothing of it is not cold.
        const bool silent = !head.has(m_dialect.warmUpMs) && head.status == statusOk;
        outcome.warmUp = silent ? core::Duration{} : millisecondsOf(head.field(m_dialect.warmUpMs));
        if (m_dialect.parseLoad)
            outcome.load = m_dialect.parseLoad(head.field(m_dialect.load));
    }
}

////////////////////////////////////////////////////////////
void ServerConnection::ended(bool inOrder, bool byServer)
{
    const State before = m_state;
    if (before == State::Busy && inOrder && m_reader->state() == http::ReadState::Body)
    {
        m_reader->ended();
        if (m_reader->state() == http::ReadState::Done && belongs(m_reader->head()))
            return answered();
    }
    m_state = State::Closed;
    asio::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    tellCheck(balance::CheckResult::Unknown);
    if (before == State::Connecting || before == State::Busy)
    {
        balance::Outcome outcome;
        outcome.connectionEnded = before == State::Busy && byServer;
        outcome.end = before == State::Connecting ? balance::AttemptEnd::NotSent : balance::AttemptEnd::Lost;
        const Done done = std::move(m_done);
        m_done = nullptr;
        m_changed(*this);
        if (done)
            done(outcome, {});
        return;
    }
    m_changed(*this);
}

////////////////////////////////////////////////////////////
void ServerConnection::finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep)
{
    const Done done = std::move(m_done);
    m_done = nullptr;
    m_unread.clear();
    m_since = core::now();
    m_state = keep ? State::Idle : State::Closed;
    if (!keep)
    {
        asio::error_code ignored;
        m_socket.close(ignored);
    }
    m_changed(*this);
    if (done)
        done(outcome, std::move(answer));
}

////////////////////////////////////////////////////////////
void ServerConnection::abandon()
{
    m_done = nullptr;
    close();
}

////////////////////////////////////////////////////////////
void ServerConnection::close()
{
    if (m_state != State::Closed)
        ended(false);
}

////////////////////////////////////////////////////////////
const deployment::Instance& ServerConnection::instance() const
{
    return *m_instance;
}

////////////////////////////////////////////////////////////
bool ServerConnection::idle() const
{
    return m_state == State::Idle;
}

////////////////////////////////////////////////////////////
bool ServerConnection::closed() const
{
    return m_state == State::Closed;
}

////////////////////////////////////////////////////////////
core::Duration ServerConnection::rest() const
{
    return core::now() - m_since;
}

////////////////////////////////////////////////////////////
core::Duration ServerConnection::restLimit() const
{
    return m_restLimit;
}

} // namespace sailpath::gateway::priv

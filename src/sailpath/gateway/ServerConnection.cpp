#include "ServerConnection.hpp"

#include "AnswerHead.hpp"

#include <sailpath/adapters/links/TunnelCodec.hpp>
#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t maxHeadBytes = 64U * 1024;
constexpr std::uint64_t maxCheckBytes = 8192;                   // Body of a health answer, of which nothing is used
constexpr auto          checkTimeout = std::chrono::seconds{1}; // For a health answer that has begun
constexpr auto          silentCheckAfter = std::chrono::milliseconds{100}; // Without a byte of the health answer
constexpr unsigned      maxSkippedAnswers = 64;                      // Interim answers, and answers to other requests
constexpr std::size_t   uncountedBytes = 65'536;                     // Of each body; larger ones are reserved
constexpr auto          minResetWait = std::chrono::milliseconds{1}; // Bounds of the wait for a reset, which is as long
constexpr auto          maxResetWait = std::chrono::milliseconds{5}; // as connecting took: about one round trip

////////////////////////////////////////////////////////////
balance::LossCause causeOf(paths::TunnelEnd end)
{
    switch (end)
    {
    case paths::TunnelEnd::Closed:
        return balance::LossCause::ClosedByServer;
    case paths::TunnelEnd::Reset:
        return balance::LossCause::ResetByServer;
    case paths::TunnelEnd::Lost:
    case paths::TunnelEnd::NotPassed:
        break;
    }
    return balance::LossCause::PathBroken;
}

} // namespace

////////////////////////////////////////////////////////////
ServerConnection::ServerConnection(asio::io_context& context, std::shared_ptr<const deployment::Instance> instance,
                                   const GatewaySettings& settings, const Dialect& dialect, Paths& paths,
                                   paths::DialWays ways, ServerConnectionEvents& events) :
m_context(context),
m_timer(context),
m_instance(std::move(instance)),
m_settings(settings),
m_dialect(dialect),
m_paths(paths),
m_ways(ways),
m_events(events),
m_matcher(dialect),
m_streamEnd(context, settings.unacknowledgedTimeout)
{
}

////////////////////////////////////////////////////////////
void ServerConnection::send(OutgoingRequest request, DoneCallback onDone)
{
    m_request = std::move(request);
    m_onDone = std::move(onDone);
    ++m_sends;
    m_skippedAnswers = 0;
    m_matcher.send(m_request.id);
    startReader();
    if (m_state == State::New)
        return connect();
    m_state = State::Busy;
    write();
}

////////////////////////////////////////////////////////////
void ServerConnection::check(CheckCallback onChecked)
{
    m_onChecked = std::move(onChecked);
    connect();
}

////////////////////////////////////////////////////////////
void ServerConnection::reportCheck(balance::CheckResult result)
{
    if (const CheckCallback onChecked = std::exchange(m_onChecked, nullptr))
        onChecked(result);
}

////////////////////////////////////////////////////////////
void ServerConnection::startReader()
{
    const auto          kind = m_request.headOnly ? http::MessageKind::AnswerNoBody : http::MessageKind::Answer;
    const std::uint64_t maxBodyBytes = m_request.probe ? maxCheckBytes : m_settings.maxAnswerBytes;
    m_reader = std::make_unique<http::MessageReader>(kind, maxHeadBytes, maxBodyBytes);
    m_noticeReported = false;
}

////////////////////////////////////////////////////////////
void ServerConnection::connect()
{
    m_state = State::Connecting;
    m_since = core::now();
    m_dial = std::make_shared<ServerDial>(m_context, m_settings, m_paths, *m_instance, m_ways);
    m_dial->start([self = shared_from_this()](DialResult result) { self->dialed(std::move(result)); });
}

////////////////////////////////////////////////////////////
void ServerConnection::dialed(DialResult result)
{
    m_dial.reset();
    m_socket = std::move(result.socket);
    if (m_socket)
    {
        m_helper = std::move(result.helper);
        m_wrapped.append(result.unread);
        m_openedAt = core::now();
        unwrap(0);
        // Nothing was asked yet, so whatever came ends the connection.
        const bool ended = m_state == State::Closed || m_tunnelEnd || !m_unread.empty();
        return ended ? close() : handleConnected();
    }
    m_connectFailure = result.failure;
    // Without a helper's word, a refusal may be that of the path; with it, the own path does not matter.
    const bool refused = result.failure == balance::ConnectFailure::Refused;
    if (result.serverRefuses || (refused && m_paths.helpers.empty()))
        reportCheck(balance::CheckResult::Refuses);
    handleEnd(balance::LossCause::None);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleConnected()
{
    read();
    if (m_onChecked)
    {
        m_state = State::Idle;
        m_since = core::now();
        m_events.changed(*this);
        return reportCheck(balance::CheckResult::Accepts);
    }
    if (!m_request.atMostOnce)
    {
        m_state = State::Busy;
        return write();
    }
    // A server that accepts no further connection resets a new one at once. A reset before anything is sent proves that
    // the request has not run; after the request is sent, a reset would leave that open.
    const auto tookToConnect = core::now() - m_since;
    auto       self = shared_from_this();
    m_timer.expires_after(std::clamp<core::Duration>(tookToConnect, minResetWait, maxResetWait));
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
    m_requestWritten = false;
    auto self = shared_from_this();
    m_sentAt = core::now();
    m_events.awaiting(*this);
    if (m_request.probe)
        limitCheck();
    // The operation holds the bytes: a connection that waits for an answer, or for its next request, needs none.
    const auto                              head = std::make_shared<const std::string>(std::move(m_request.head));
    const auto                              body = std::exchange(m_request.body, nullptr);
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(*head),
                                                  asio::buffer(body ? body->bytes : std::string_view())};
    asio::async_write(*m_socket, bytes,
                      [self, head, body](const asio::error_code& error, std::size_t)
                      {
                          self->m_requestWritten = !error;
                          self->m_streamEnd.recordWrite(error);
                      });
}

////////////////////////////////////////////////////////////
void ServerConnection::limitCheck()
{
    m_timer.expires_after(checkTimeout);
    m_timer.async_wait(
        [self = shared_from_this(), send = m_sends](const asio::error_code& error)
        {
            // A server that is silent may be out of reach, which `ServerConnections` finds out.
            if (!error && self->awaits(send) && self->m_heardAt >= self->m_sentAt)
                self->close();
        });
}

////////////////////////////////////////////////////////////
bool ServerConnection::reserveBody()
{
    const std::size_t arrived = m_reader->bodySize();
    if (m_request.probe || arrived <= uncountedBytes)
        return true;
    // A declared length is reserved at once, so that concurrent bodies cannot all run out of memory half way. Otherwise
    // the memory of the body doubles as it grows.
    const std::size_t wanted = m_reader->bodyLength().value_or(std::bit_ceil(arrived));
    return m_request.answerMemory.growTo(static_cast<std::int64_t>(wanted));
}

////////////////////////////////////////////////////////////
void ServerConnection::read()
{
    m_socket->async_read_some(asio::buffer(m_buffer),
                              [self = shared_from_this()](const asio::error_code& error, std::size_t bytes)
                              {
                                  if (self->m_state == State::Closed)
                                      return;
                                  if (error)
                                      return self->handleReadError(error);
                                  self->m_heardAt = core::now();
                                  if (self->m_helper.empty())
                                      self->m_unread.append({self->m_buffer.data(), bytes});
                                  else
                                      self->unwrap(bytes);
                                  self->handleBytes();
                                  if (self->m_state != State::Closed && self->m_tunnelEnd)
                                      return self->handleTunnelEnd(*self->m_tunnelEnd);
                                  if (self->m_state != State::Closed)
                                      self->read();
                              });
}

////////////////////////////////////////////////////////////
void ServerConnection::unwrap(std::size_t bytes)
{
    m_wrapped.append({m_buffer.data(), bytes});
    while (!m_wrapped.empty())
    {
        const adapters::links::DecodedTunnel decoded = adapters::links::decodeTunnel(m_wrapped.bytes());
        const bool repeated = decoded.message && std::holds_alternative<paths::TunnelOpened>(*decoded.message);
        if (decoded.malformed || repeated)
            return handleEnd(balance::LossCause::PathBroken);
        if (!decoded.message)
            return;
        m_wrapped.consume(decoded.taken);
        if (const auto* data = std::get_if<paths::TunnelData>(&*decoded.message))
            m_unread.append(data->bytes);
        else
            m_tunnelEnd = std::get<paths::TunnelEnded>(*decoded.message).how;
    }
}

////////////////////////////////////////////////////////////
void ServerConnection::handleReadError(const asio::error_code& error)
{
    if (m_helper.empty() && m_heardAt == core::Timestamp{} && m_state != State::Idle)
        m_events.endedUnheard(*this);
    // A helper that ends closes its connections as a server does, so only its message tells how the server ended one.
    if (!m_helper.empty())
        return handleEnd(balance::LossCause::PathBroken);
    if (error == asio::error::eof)
        return handleEndOfFile();
    handleEnd(causeOf(endOf(error)));
}

////////////////////////////////////////////////////////////
void ServerConnection::handleEndOfFile()
{
    const auto report = [self = shared_from_this()](paths::TunnelEnd end) { self->handleEnd(causeOf(end)); };
    if (!endCompletesAnswer())
        return report(m_streamEnd.reportedEnd());
    m_streamEnd.decide(
        *m_socket, [this] { return !m_requestWritten; }, report);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleTunnelEnd(paths::TunnelEnd end)
{
    if (end == paths::TunnelEnd::NotPassed)
        return handleNotPassed();
    // The helper passes nothing on any more, so a request that is not written yet does not reach the server whole.
    const bool isCut = end == paths::TunnelEnd::Closed && endCompletesAnswer() && !m_requestWritten;
    handleEnd(isCut ? balance::LossCause::ResetByServer : causeOf(end));
}

////////////////////////////////////////////////////////////
void ServerConnection::handleNotPassed()
{
    m_paths.helpers.recordFailed(m_helper, paths::HelperFailure::Busy, core::now());
    // Bytes of an answer would contradict the helper.
    m_notPassed = m_state == State::Busy && m_reader->state() == http::ReadState::Head && m_unread.empty() &&
                  m_skippedAnswers == 0;
    handleEnd(balance::LossCause::PathBroken);
}

////////////////////////////////////////////////////////////
bool ServerConnection::endCompletesAnswer() const
{
    return m_state == State::Busy && m_reader->state() == http::ReadState::Body && m_reader->head().untilEnd;
}

////////////////////////////////////////////////////////////
void ServerConnection::handleBytes()
{
    if (m_state == State::Closed || m_unread.empty())
        return;
    // Bytes on an idle connection belong to no request.
    if (m_state != State::Busy)
        return close();
    while (m_state == State::Busy && !m_unread.empty())
    {
        m_reader->read(m_unread);
        const http::ReadState state = m_reader->state();
        if (state == http::ReadState::Body || state == http::ReadState::Done)
            reportNotice();
        if (state == http::ReadState::Body && !reserveBody())
            return handleEnd(balance::LossCause::NoMemory);
        if (state == http::ReadState::Head || state == http::ReadState::Body)
            return;
        if (state != http::ReadState::Done)
            return handleEnd(state == http::ReadState::Malformed ? balance::LossCause::Malformed
                                                                 : balance::LossCause::TooLarge);
        handleAnswer();
    }
}

////////////////////////////////////////////////////////////
void ServerConnection::reportNotice()
{
    if (std::exchange(m_noticeReported, true))
        return;
    // A notice holds for the server even if its answer is late or a duplicate.
    const balance::ServerNotice notice = parseNotice(m_reader->head(), m_request.probe, m_instance->id, m_dialect);
    if (!notice.empty())
        m_events.noticed(m_instance, notice,
                         m_request.probe ? balance::NoticeSource::HealthAnswer : balance::NoticeSource::Answer);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleAnswer()
{
    const http::Head& head = m_reader->head();
    const AnswerMatch match = m_matcher.match(head);
    if (match == AnswerMatch::Unidentified)
        return endUnidentified();
    if (match != AnswerMatch::Expected)
    {
        m_notReusable = m_notReusable || match == AnswerMatch::Other;
        return skipAnswer();
    }
    m_events.heard(*this);
    balance::Outcome outcome =
        m_request.probe ? classifyProbe(head, m_instance->id, m_dialect) : classifyAnswer(head, m_dialect);
    // After an answer that is not the server's own, the expected one may still arrive, so the connection is not reused.
    const bool reusable = outcome.end != balance::AttemptEnd::Lost && !m_notReusable;
    const bool keep = head.keepAlive && !head.untilEnd && m_requestWritten && reusable && m_unread.empty();
    m_keepAliveTimeout = parseKeepAlive(head);
    outcome.helper = m_helper;
    ServerAnswer answer{head, m_reader->takeBody(), std::move(m_request.answerMemory)};
    finish(outcome, std::move(answer), keep);
}

////////////////////////////////////////////////////////////
void ServerConnection::skipAnswer()
{
    if (m_reader->head().untilEnd || ++m_skippedAnswers > maxSkippedAnswers)
        return handleEnd(balance::LossCause::Malformed);
    startReader();
}

////////////////////////////////////////////////////////////
void ServerConnection::endUnidentified()
{
    m_events.heard(*this);
    balance::Outcome outcome;
    outcome.status = m_reader->head().status;
    outcome.end = balance::AttemptEnd::Lost;
    outcome.loss = balance::LossCause::Malformed;
    outcome.helper = m_helper;
    finish(outcome, {m_reader->head(), {}}, false);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleEnd(balance::LossCause cause)
{
    const State previous = m_state;
    const bool  cleanEnd = cause == balance::LossCause::ClosedByServer;
    if (previous == State::Busy && cleanEnd && m_reader->state() == http::ReadState::Body)
    {
        m_reader->ended();
        if (m_reader->state() == http::ReadState::Done && m_matcher.isExpected(m_reader->head()))
            return handleAnswer();
    }
    m_state = State::Closed;
    m_unread.clear();
    m_wrapped.clear();
    asio::error_code ignored;
    m_timer.cancel();
    m_streamEnd.cancel();
    if (const auto dial = std::exchange(m_dial, nullptr))
        dial->cancel();
    if (m_socket)
        m_socket->close(ignored);
    reportCheck(balance::CheckResult::Unknown);
    if (previous == State::Connecting || previous == State::Busy)
    {
        balance::Outcome outcome;
        const bool       lost = previous == State::Busy && !m_notPassed;
        outcome.end = lost ? balance::AttemptEnd::Lost : balance::AttemptEnd::NotSent;
        outcome.helperStops = m_notPassed;
        if (lost)
            outcome.loss = cause;
        if (previous == State::Connecting)
            outcome.connectFailure = m_connectFailure;
        const DoneCallback onDone = std::move(m_onDone);
        m_onDone = nullptr;
        outcome.helper = m_helper;
        m_events.changed(*this);
        if (onDone)
            onDone(outcome, {});
        return;
    }
    m_events.changed(*this);
}

////////////////////////////////////////////////////////////
void ServerConnection::finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep)
{
    const DoneCallback onDone = std::move(m_onDone);
    m_onDone = nullptr;
    m_timer.cancel();
    m_unread.clear();
    m_since = core::now();
    m_state = keep ? State::Idle : State::Closed;
    if (!keep)
    {
        asio::error_code ignored;
        m_socket->close(ignored);
    }
    m_events.changed(*this);
    if (onDone)
        onDone(outcome, std::move(answer));
}

////////////////////////////////////////////////////////////
void ServerConnection::abandon()
{
    m_onDone = nullptr;
    close();
}

////////////////////////////////////////////////////////////
void ServerConnection::close()
{
    if (m_state != State::Closed)
        handleEnd(balance::LossCause::PathBroken);
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
bool ServerConnection::maySend(const OutgoingRequest& request) const
{
    return request.probe || m_matcher.maySend(request.id);
}

////////////////////////////////////////////////////////////
core::Duration ServerConnection::idleTime() const
{
    return core::now() - m_since;
}

////////////////////////////////////////////////////////////
core::Duration ServerConnection::keepAliveTimeout() const
{
    return m_keepAliveTimeout;
}

////////////////////////////////////////////////////////////
const std::string& ServerConnection::helper() const
{
    return m_helper;
}

////////////////////////////////////////////////////////////
bool ServerConnection::isProbe() const
{
    return m_request.probe;
}

////////////////////////////////////////////////////////////
bool ServerConnection::isChecking() const
{
    if (!m_request.probe || (m_state != State::Connecting && m_state != State::Busy))
        return false;
    const bool            busy = m_state == State::Busy;
    const core::Timestamp begun = busy ? m_sentAt : m_since;
    return (busy && m_heardAt >= m_sentAt) || core::now() - begun < silentCheckAfter;
}

////////////////////////////////////////////////////////////
bool ServerConnection::awaits(std::uint64_t send) const
{
    return m_state == State::Busy && m_sends == send;
}

////////////////////////////////////////////////////////////
std::uint64_t ServerConnection::sends() const
{
    return m_sends;
}

////////////////////////////////////////////////////////////
core::Timestamp ServerConnection::sentAt() const
{
    return m_sentAt;
}

////////////////////////////////////////////////////////////
core::Timestamp ServerConnection::openedAt() const
{
    return m_openedAt;
}

////////////////////////////////////////////////////////////
core::Timestamp ServerConnection::heardAt() const
{
    return m_heardAt;
}

////////////////////////////////////////////////////////////
std::size_t ServerConnection::unparsedBytes() const
{
    return m_unread.size() + m_wrapped.size();
}

} // namespace sailpath::gateway::priv

#include "ServerConnection.hpp"

#include "AnswerHead.hpp"

#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t maxHeadBytes = 64U * 1024;
constexpr auto          minResetWait = std::chrono::milliseconds{1}; // Bounds of the wait for a reset, which is as long
constexpr auto          maxResetWait = std::chrono::milliseconds{5}; // as connecting took: about one round trip

} // namespace

////////////////////////////////////////////////////////////
ServerConnection::ServerConnection(asio::io_context& context, std::shared_ptr<const deployment::Instance> instance,
                                   const GatewaySettings& settings, const Dialect& dialect, ChangeCallback onChange,
                                   NoticeCallback onNotice) :
m_socket(context),
m_timer(context),
m_instance(std::move(instance)),
m_settings(settings),
m_dialect(dialect),
m_onChange(std::move(onChange)),
m_onNotice(std::move(onNotice))
{
}

////////////////////////////////////////////////////////////
void ServerConnection::send(OutgoingRequest request, DoneCallback onDone)
{
    m_request = std::move(request);
    m_onDone = std::move(onDone);
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
    const auto kind = m_request.headOnly ? http::MessageKind::AnswerNoBody : http::MessageKind::Answer;
    m_reader = std::make_unique<http::MessageReader>(kind, maxHeadBytes, m_settings.maxAnswerBytes);
    m_noticeReported = false;
}

////////////////////////////////////////////////////////////
void ServerConnection::connect()
{
    m_state = State::Connecting;
    m_since = core::now();
    asio::error_code ignored;
    m_socket.open(asio::ip::tcp::v4(), ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> userTimeout(
        static_cast<int>(m_settings.unacknowledgedTimeout.count() / 1000));
    m_socket.set_option(userTimeout, ignored);
    bindSource();
    auto self = shared_from_this();
    m_timer.expires_after(m_settings.connectTimeout);
    m_timer.async_wait(
        [self](const asio::error_code& error)
        {
            if (!error && self->m_state == State::Connecting)
                self->handleConnectFailure(balance::ConnectFailure::TimedOut);
        });
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_instance->address, ignored), m_instance->port);
    m_socket.async_connect(endpoint,
                           [self](const asio::error_code& error)
                           {
                               if (self->m_state != State::Connecting)
                                   return;
                               self->m_timer.cancel();
                               if (error)
                                   return self->handleConnectFailure(error == asio::error::connection_refused
                                                                         ? balance::ConnectFailure::Refused
                                                                         : balance::ConnectFailure::Broken);
                               self->handleConnected();
                           });
}

////////////////////////////////////////////////////////////
void ServerConnection::bindSource()
{
    if (m_settings.serverSource.empty())
        return;
    asio::error_code                                                                ignored;
    // The port is chosen on connecting, so that connections to different servers can share one.
    const asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT> noPort(true);
    m_socket.set_option(noPort, ignored);
    m_socket.bind({asio::ip::make_address(m_settings.serverSource, ignored), 0}, ignored);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleConnectFailure(balance::ConnectFailure failure)
{
    m_connectFailure = failure;
    if (failure == balance::ConnectFailure::Refused)
        reportCheck(balance::CheckResult::Refuses);
    handleEnd(false);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleConnected()
{
    read();
    if (m_onChecked)
    {
        m_state = State::Idle;
        m_since = core::now();
        m_onChange(*this);
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
    asio::async_write(m_socket, asio::buffer(m_request.bytes),
                      [self](const asio::error_code& error, std::size_t)
                      {
                          // A write error is also reported to the pending read, after any answer that was received.
                          self->m_requestWritten = !error;
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
                                 const bool cleanEnd = error == asio::error::eof;
                                 const bool reset =
                                     error == asio::error::connection_reset || error == asio::error::broken_pipe;
                                 if (error)
                                     return self->handleEnd(cleanEnd, cleanEnd || reset);
                                 self->handleBytes(bytes);
                                 if (self->m_state != State::Closed)
                                     self->read();
                             });
}

////////////////////////////////////////////////////////////
void ServerConnection::handleBytes(std::size_t bytes)
{
    // Bytes on an idle connection belong to no request.
    if (m_state != State::Busy)
        return close();
    m_unread.append(m_buffer.data(), bytes);
    while (m_state == State::Busy && !m_unread.empty())
    {
        m_unread.erase(0, m_reader->read(m_unread));
        const http::ReadState state = m_reader->state();
        if (state == http::ReadState::Body || state == http::ReadState::Done)
            reportNotice();
        if (state == http::ReadState::Head || state == http::ReadState::Body)
            return;
        if (state != http::ReadState::Done)
            return handleEnd(false);
        handleAnswer();
    }
}

////////////////////////////////////////////////////////////
bool ServerConnection::answersRequest(const http::Head& head) const
{
    const std::string_view id = head.field(m_dialect.requestId);
    const bool             success = head.status >= 200 && head.status < 300;
    if (m_request.probe)
        return id.empty();
    return id.empty() ? !success : id == m_request.id;
}

////////////////////////////////////////////////////////////
void ServerConnection::reportNotice()
{
    if (std::exchange(m_noticeReported, true))
        return;
    // A notice holds for the server even if its answer is late or a duplicate.
    const balance::ServerNotice notice = parseNotice(m_reader->head(), m_request.probe, m_instance->id, m_dialect);
    if (!notice.empty())
        m_onNotice(m_instance, notice,
                   m_request.probe ? balance::NoticeSource::HealthAnswer : balance::NoticeSource::Answer);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleAnswer()
{
    const http::Head& head = m_reader->head();
    const bool        interim = head.status < 200;
    if (interim || !answersRequest(head))
    {
        // An interim answer, or one to an earlier request; the expected answer may follow.
        m_notReusable = m_notReusable || !interim;
        if (head.untilEnd)
            return handleEnd(false);
        startReader();
        return;
    }
    const balance::Outcome outcome =
        m_request.probe ? classifyProbe(head, m_instance->id, m_dialect) : classifyAnswer(head, m_dialect);
    // After an answer that is not the server's own, the expected one may still arrive, so the connection is not reused.
    const bool reusable = outcome.end != balance::AttemptEnd::Lost && !m_notReusable;
    const bool keep = head.keepAlive && !head.untilEnd && m_requestWritten && reusable && m_unread.empty();
    m_keepAliveTimeout = parseKeepAlive(head);
    ServerAnswer answer{head, m_reader->takeBody()};
    finish(outcome, std::move(answer), keep);
}

////////////////////////////////////////////////////////////
void ServerConnection::handleEnd(bool cleanEnd, bool byServer)
{
    const State previous = m_state;
    if (previous == State::Busy && cleanEnd && m_reader->state() == http::ReadState::Body)
    {
        m_reader->ended();
        if (m_reader->state() == http::ReadState::Done && answersRequest(m_reader->head()))
            return handleAnswer();
    }
    m_state = State::Closed;
    asio::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    reportCheck(balance::CheckResult::Unknown);
    if (previous == State::Connecting || previous == State::Busy)
    {
        balance::Outcome outcome;
        outcome.connectionEnded = previous == State::Busy && byServer;
        outcome.end = previous == State::Connecting ? balance::AttemptEnd::NotSent : balance::AttemptEnd::Lost;
        if (previous == State::Connecting)
            outcome.connectFailure = m_connectFailure;
        const DoneCallback onDone = std::move(m_onDone);
        m_onDone = nullptr;
        m_onChange(*this);
        if (onDone)
            onDone(outcome, {});
        return;
    }
    m_onChange(*this);
}

////////////////////////////////////////////////////////////
void ServerConnection::finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep)
{
    const DoneCallback onDone = std::move(m_onDone);
    m_onDone = nullptr;
    m_unread.clear();
    m_since = core::now();
    m_state = keep ? State::Idle : State::Closed;
    if (!keep)
    {
        asio::error_code ignored;
        m_socket.close(ignored);
    }
    m_onChange(*this);
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
        handleEnd(false);
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
core::Duration ServerConnection::idleTime() const
{
    return core::now() - m_since;
}

////////////////////////////////////////////////////////////
core::Duration ServerConnection::keepAliveTimeout() const
{
    return m_keepAliveTimeout;
}

} // namespace sailpath::gateway::priv

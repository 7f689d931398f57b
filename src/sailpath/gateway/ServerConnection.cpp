#include "ServerConnection.hpp"

#include "AnswerHead.hpp"

#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t headLimit = 64U * 1024;
constexpr auto          leastProof = std::chrono::milliseconds{1};   // For a reset to arrive, a round trip as a rule:
constexpr auto          longestProof = std::chrono::milliseconds{5}; // as long as connecting took, within these

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
    m_reader = std::make_unique<http::MessageReader>(kind, headLimit, m_settings.maxAnswerBytes);
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
        static_cast<int>(m_settings.unacknowledgedTimeout.count() / 1000));
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
    const balance::ServerNotice notice = noticeOf(m_reader->head(), m_request.probe, m_instance->id, m_dialect);
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
    const balance::Outcome outcome =
        m_request.probe ? judgeProbe(head, m_instance->id, m_dialect) : judgeAnswer(head, m_dialect);
    // After what is not the server's answer, the one that is due may still come.
    const bool sound = outcome.end != balance::AttemptEnd::Lost && !m_poisoned;
    const bool keep = head.keepAlive && !head.untilEnd && m_written && sound && m_unread.empty();
    m_restLimit = keepAliveOf(head);
    ServerAnswer answer{head, m_reader->takeBody()};
    finish(outcome, std::move(answer), keep);
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

#include "CallerConnection.hpp"

#include <sailpath/adapters/net/SendQueue.hpp>
#include <sailpath/core/Clock.hpp>

#include <asio/completion_condition.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto             refusalRetryAfter = std::chrono::seconds{1};
constexpr auto             lingerTimeout = std::chrono::seconds{1};            // Without input after the last answer
constexpr auto             closePollInterval = std::chrono::milliseconds{200}; // Between checks by pollForClose
constexpr auto             crossingTime = std::chrono::milliseconds{100}; // Age of input that crosses a planned close
constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t      maxReadAhead = 64UL * 1024; // Unparsed bytes above which reading pauses
constexpr std::size_t maxPipelined = 16; // Unanswered requests of one connection: enough to cover a few round trips,
                                         // and few enough that one caller cannot use up the capacity of a node

} // namespace

////////////////////////////////////////////////////////////
CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::string address, CallerEvents& events,
                                   std::shared_ptr<BodyMemory> bodyMemory) :
m_socket(std::move(socket)),
m_address(std::move(address)),
m_closePollTimer(m_socket.get_executor()),
m_events(events),
m_bodyMemory(std::move(bodyMemory)),
m_lastActivity(core::now())
{
}

////////////////////////////////////////////////////////////
const std::string& CallerConnection::address() const
{
    return m_address;
}

////////////////////////////////////////////////////////////
void CallerConnection::start()
{
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::read()
{
    if (m_reading || m_state == State::Closed)
        return;
    const bool answersFirst = !m_events.takesFurtherRequests() && !hasNoPendingAnswer();
    if (m_reader.unreadBytes() > maxReadAhead || answersFirst)
        return pollForClose();
    m_reading = true;
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self](const asio::error_code& error, std::size_t bytes)
                             {
                                 self->m_reading = false;
                                 if (self->m_state == State::Closed)
                                     return;
                                 if (error)
                                     return self->close("caller-closed");
                                 self->handleBytes(bytes);
                             });
}

////////////////////////////////////////////////////////////
void CallerConnection::handleBytes(std::size_t bytes)
{
    m_lastActivity = core::now();
    m_reader.append({m_buffer.data(), bytes}, m_events.earliestArrival());
    readRequests();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::pollForClose()
{
    // While reading is paused, no read reports that the caller has closed, so the socket's state is polled.
    if (m_pollingForClose)
        return;
    m_pollingForClose = true;
    auto self = shared_from_this();
    m_closePollTimer.expires_after(closePollInterval);
    m_closePollTimer.async_wait(
        [self](const asio::error_code& error)
        {
            self->m_pollingForClose = false;
            if (error || self->m_state == State::Closed)
                return;
            tcp_info   info{};
            socklen_t  size = sizeof(info);
            const bool known = ::getsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
            if (known && (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE))
                return self->close("caller-closed");
            self->read();
        });
}

////////////////////////////////////////////////////////////
bool CallerConnection::canReadRequest() const
{
    if (m_state != State::Open || m_requestsEnded || m_deferred)
        return false;
    if (m_pendingAnswers.empty())
        return true;
    return m_pendingAnswers.size() < maxPipelined && m_events.takesFurtherRequests() &&
           !m_bodyMemory->isSharedPartUsedUp();
}

////////////////////////////////////////////////////////////
bool CallerConnection::hasNoPendingAnswer() const
{
    return m_pendingAnswers.empty() && !m_writing;
}

////////////////////////////////////////////////////////////
void CallerConnection::readRequests()
{
    while (canReadRequest())
    {
        switch (m_reader.read(m_events.limits()))
        {
        case http::ReadState::Head:
            return;
        case http::ReadState::Body:
            if (refusedForStop())
                return;
            if (!reserveBody())
                return refuse(503, "no memory for another body");
            return handleExpect();
        case http::ReadState::HeadTooLarge:
            return m_events.configured() ? refuse(431, "the head is too large") : refuse(503, "not-configured");
        case http::ReadState::BodyTooLarge:
            return m_events.configured() ? refuse(413, "the body is too large") : refuse(503, "not-configured");
        case http::ReadState::FramingTooLarge:
            return m_events.configured() ? refuse(400, "chunk extensions or the trailer are too large")
                                         : refuse(503, "not-configured");
        case http::ReadState::Malformed:
            return refuse(400, "no request of the protocol");
        case http::ReadState::Done:
            if (!reserveBody())
                return refuse(503, "no memory for another body");
            handleRequest();
            break;
        }
    }
}

////////////////////////////////////////////////////////////
bool CallerConnection::reserveBody()
{
    const std::int64_t bytes = m_reader.bodyBytesToReserve();
    if (bytes == 0 || m_reservation.growTo(bytes))
        return true;
    m_reservation = BodyReservation(m_bodyMemory, m_events.workspaceOf(m_reader.head()));
    return m_reservation.growTo(bytes);
}

////////////////////////////////////////////////////////////
void CallerConnection::handleExpect()
{
    if (m_expectHandled || !http::sameName(m_reader.head().field("Expect"), "100-continue"))
        return;
    m_expectHandled = true;
    m_continuePending = true;
    writeContinue();
}

////////////////////////////////////////////////////////////
void CallerConnection::writeContinue()
{
    if (!m_continuePending || m_writingContinue || !hasNoPendingAnswer() || m_state != State::Open)
        return;
    m_continuePending = false;
    m_writingContinue = true;
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(continueAnswer),
                      [self](const asio::error_code& error, std::size_t)
                      {
                          self->m_writingContinue = false;
                          if (self->m_state != State::Open)
                              return;
                          if (error)
                              return self->close("write-failed");
                          self->m_lastActivity = core::now();
                          self->writeNext();
                          self->writeContinue();
                      });
}

////////////////////////////////////////////////////////////
SharedBody CallerConnection::takeBody()
{
    BodyReservation reservation = std::exchange(m_reservation, {});
    std::string     bytes = m_reader.takeBody();
    if (bytes.empty())
        return nullptr;
    return std::make_shared<const RequestBody>(RequestBody{std::move(bytes), std::move(reservation)});
}

////////////////////////////////////////////////////////////
void CallerConnection::handleRequest()
{
    CallerRequest request{m_reader.head(), takeBody(), m_reader.firstByteAt(), !std::exchange(m_requestRead, true)};
    m_reader.finishRequest();
    m_expectHandled = false;
    m_continuePending = false;
    if (hasNoPendingAnswer() || m_events.isRepeatable(request.head))
        return forward(std::move(request));
    m_deferred = std::move(request);
}

////////////////////////////////////////////////////////////
void CallerConnection::forward(CallerRequest request)
{
    PendingAnswer pending;
    pending.ticket = m_events.newTicket();
    pending.keepAlive = request.head.keepAlive;
    pending.headOnly = request.head.method == "HEAD";
    if (!hasNoPendingAnswer())
        pending.reservation = BodyReservation(m_bodyMemory, m_events.workspaceOf(request.head));
    if (!pending.keepAlive)
    {
        m_requestsEnded = true;
        m_reader.stop();
    }
    const balance::Ticket ticket = pending.ticket;
    m_pendingAnswers.append(std::move(pending));
    m_events.requestRead(*this, ticket, std::move(request));
}

////////////////////////////////////////////////////////////
void CallerConnection::refuse(unsigned status, std::string_view reason)
{
    refuse({status, reason, status == 503 ? core::Duration(refusalRetryAfter) : core::Duration{}});
}

////////////////////////////////////////////////////////////
void CallerConnection::refuse(const LocalAnswer& local)
{
    m_events.refusedUnread(m_reader.hasRequest() ? &m_reader.head() : nullptr, local.status, local.reason);
    m_requestsEnded = true;
    m_reader.stop();
    PendingAnswer pending;
    pending.keepAlive = false;
    m_reservation = {};
    pending.answer = makeAnswer(local, false);
    pending.answeredAt = core::now();
    m_pendingAnswers.append(std::move(pending));
    writeNext();
}

////////////////////////////////////////////////////////////
bool CallerConnection::refusedForStop()
{
    if (!m_events.closesConnections() || !m_reader.headComplete() ||
        m_events.mayStillAnswer(m_reader.head(), m_reader.firstByteAt()))
        return false;
    refuse(LocalAnswer{503, toString(balance::RefusalReason::Stopping), {}, true});
    return true;
}

////////////////////////////////////////////////////////////
bool CallerConnection::answer(balance::Ticket ticket, const http::Head& head, std::string body, BodyReservation memory)
{
    PendingAnswer* const pending = m_pendingAnswers.findUnanswered(ticket);
    if (pending == nullptr)
        return false;
    CallerAnswer answer = makeAnswer(head, std::move(body), pending->headOnly);
    answer.reservation = std::move(memory);
    return setAnswer(pending, std::move(answer));
}

////////////////////////////////////////////////////////////
bool CallerConnection::answer(balance::Ticket ticket, const LocalAnswer& local)
{
    PendingAnswer* const pending = m_pendingAnswers.findUnanswered(ticket);
    return pending != nullptr && setAnswer(pending, makeAnswer(local, pending->headOnly));
}

////////////////////////////////////////////////////////////
bool CallerConnection::setAnswer(PendingAnswer* pending, CallerAnswer answer)
{
    m_pendingAnswers.setAnswer(*pending, std::move(answer), core::now());
    writeNext();
    return true;
}

////////////////////////////////////////////////////////////
void CallerConnection::writeNext()
{
    if (m_writing || m_writingContinue || m_state != State::Open)
        return;
    m_writing = m_pendingAnswers.popReady();
    if (!m_writing)
        return;
    m_lastActivity = core::now();
    m_closeAfterWrite = !m_writing->keepAlive || endsWithNextAnswer();
    if (m_closeAfterWrite)
    {
        m_requestsEnded = true;
        m_deferred.reset();
        m_reader.stop();
    }
    m_writing->answer->finishHead(m_closeAfterWrite);
    if (m_writing->ticket != 0)
        m_events.answerStarted(m_writing->ticket);
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_writing->answer->head),
                                                  asio::buffer(m_writing->answer->body)};
    auto                                    self = shared_from_this();
    const auto                              recordPart = [self](const asio::error_code& error, std::size_t bytesWritten)
    {
        self->m_lastActivity = core::now();
        return asio::transfer_all()(error, bytesWritten);
    };
    asio::async_write(m_socket, bytes, recordPart,
                      [self](const asio::error_code& error, std::size_t) { self->handleWritten(!error); });
}

////////////////////////////////////////////////////////////
bool CallerConnection::endsWithNextAnswer() const
{
    // A planned stop closes the connection with the answer to the last request that has arrived. What arrived only just
    // now crosses the close, and its caller sends it again.
    if (!m_events.closesConnections() || !m_pendingAnswers.empty() || m_deferred)
        return false;
    const auto oldestInput = m_reader.oldestInputAt();
    return !oldestInput || core::now() - *oldestInput < crossingTime;
}

////////////////////////////////////////////////////////////
void CallerConnection::handleWritten(bool succeeded)
{
    if (m_state == State::Open && !succeeded)
        close("write-failed");
    m_writing.reset();
    if (m_state != State::Open)
        return;
    m_lastActivity = core::now();
    if (m_closeAfterWrite)
        return linger();
    writeNext();
    m_readResumedAt = m_lastActivity;
    if (hasNoPendingAnswer() && m_deferred)
        forward(*std::exchange(m_deferred, std::nullopt));
    writeContinue();
    readRequests();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::linger()
{
    // Further input is read and discarded: closing with unread input sends a reset, which can destroy the answer.
    m_state = State::Lingering;
    m_reader.stop();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

////////////////////////////////////////////////////////////
bool CallerConnection::isSending()
{
    if (m_state == State::Closed)
        return false;
    return m_writing || m_writingContinue || adapters::net::unacknowledgedBytes(m_socket.native_handle()) > 0;
}

////////////////////////////////////////////////////////////
void CallerConnection::recordProgress(core::Timestamp now)
{
    const std::size_t unacknowledged = adapters::net::unacknowledgedBytes(m_socket.native_handle());
    if (std::exchange(m_unacknowledged, unacknowledged) != unacknowledged)
        m_lastActivity = now;
}

////////////////////////////////////////////////////////////
void CallerConnection::checkTimeouts(core::Timestamp at)
{
    const deployment::CallerLimits& limits = m_events.limits();
    if (m_state == State::Lingering)
    {
        recordProgress(at);
        const core::Duration longest =
            m_unacknowledged > 0 ? std::max<core::Duration>(limits.idleTime, lingerTimeout) : lingerTimeout;
        return at - m_lastActivity > longest ? close("idle-time") : void();
    }
    // A caller on a slow link takes bytes out of the send buffer long before there is room for the next part.
    if (m_writing || m_writingContinue)
        recordProgress(at);
    const core::Duration inactive = at - m_lastActivity;
    if ((m_writing || m_writingContinue) && inactive > limits.idleTime)
        return close("idle-time");
    if (m_reader.hasRequest() && canReadRequest())
    {
        if (refusedForStop())
            return;
        const core::Timestamp readSince = std::max(m_reader.firstByteAt(), m_readResumedAt);
        if (!m_reader.headComplete() && at - readSince > limits.headTime)
            return refuse(408, "the head took too long");
        if (m_reader.headComplete() && inactive > limits.idleTime)
            return refuse(408, "the body took too long");
        return;
    }
    if (m_state == State::Open && hasNoPendingAnswer() && !m_reader.hasRequest() && inactive > limits.idleTime)
        return isSending() ? linger() : close("idle-time");
}

////////////////////////////////////////////////////////////
void CallerConnection::closeIfIdle()
{
    if (!idleSince())
        return;
    // A caller that still reads an earlier answer may be sending its next request.
    if (isSending())
        return linger();
    close("planned-stop");
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> CallerConnection::idleSince() const
{
    const bool idle = m_state == State::Open && hasNoPendingAnswer() && !m_deferred && m_reader.empty();
    return idle ? std::optional(m_lastActivity) : std::nullopt;
}

////////////////////////////////////////////////////////////
void CallerConnection::close(std::string_view reason)
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    if (m_writing)
        m_events.answerCut(*this, m_writing->answer->head.size() + m_writing->answer->body.size(), reason);
    m_state = State::Closed;
    m_closePollTimer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    const auto unanswered = m_pendingAnswers.tickets();
    m_pendingAnswers = {};
    m_deferred.reset();
    m_reservation = {};
    for (const balance::Ticket ticket : unanswered)
        m_events.callerLeft(ticket);
    m_events.connectionClosed(*this);
}

} // namespace sailpath::gateway::priv

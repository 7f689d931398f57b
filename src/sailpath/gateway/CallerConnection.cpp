#include "CallerConnection.hpp"

#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto        comeBackLater = std::chrono::seconds{1};
constexpr auto        lingerTime = std::chrono::seconds{1};      // For a caller to close after the last answer
constexpr auto        endCheck = std::chrono::milliseconds{200}; // Between looks for a caller's end, see below
constexpr std::size_t mostReadAhead = 64UL * 1024;               // Bytes kept of requests not taken yet
constexpr std::size_t mostSideBySide = 16; // Requests of one connection at servers at once; a few round trips' worth,
                                           // and little beside what a node serves, so that one caller cannot take all

} // namespace

////////////////////////////////////////////////////////////
CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::string address, CallerEvents& events,
                                   std::shared_ptr<BodyMemory> bodies) :
m_socket(std::move(socket)),
m_address(std::move(address)),
m_endTimer(m_socket.get_executor()),
m_events(events),
m_bodies(std::move(bodies)),
m_activity(core::now())
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
    if (m_reader.unread() > mostReadAhead)
        return watchForEnd();
    m_reading = true;
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self](const asio::error_code& error, std::size_t bytes)
                             {
                                 self->m_reading = false;
                                 if (self->m_state == State::Closed)
                                     return;
                                 if (error)
                                     return self->close();
                                 self->received(bytes);
                             });
}

////////////////////////////////////////////////////////////
void CallerConnection::received(std::size_t bytes)
{
    m_activity = core::now();
    m_reader.received({m_buffer.data(), bytes}, m_events.earliestArrival());
    takeRequests();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::watchForEnd()
{
    // While reading is held up the end of the connection does not show by a read, but in the socket's state.
    if (m_watching)
        return;
    m_watching = true;
    auto self = shared_from_this();
    m_endTimer.expires_after(endCheck);
    m_endTimer.async_wait(
        [self](const asio::error_code& error)
        {
            self->m_watching = false;
            if (error || self->m_state == State::Closed)
                return;
            tcp_info   info{};
            socklen_t  size = sizeof(info);
            const bool known = ::getsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
            if (known && (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE))
                return self->close();
            self->read();
        });
}

////////////////////////////////////////////////////////////
bool CallerConnection::mayTakeRequest() const
{
    if (m_state != State::Open || m_lastRead || m_waiting)
        return false;
    if (m_turns.empty())
        return true;
    return m_turns.size() < mostSideBySide && !m_events.leaving() && !m_bodies->scarce();
}

////////////////////////////////////////////////////////////
bool CallerConnection::nothingOwed() const
{
    return m_turns.empty() && !m_writing;
}

////////////////////////////////////////////////////////////
void CallerConnection::takeRequests()
{
    while (mayTakeRequest())
    {
        switch (m_reader.read(m_events.limits()))
        {
        case http::ReadState::Head:
            return;
        case http::ReadState::Body:
            if (!claimBody())
                return refuse(503, "no memory for another body");
            return sayContinue();
        case http::ReadState::HeadTooLarge:
            return m_events.configured() ? refuse(431, "the head is too large") : refuse(503, "not-configured");
        case http::ReadState::BodyTooLarge:
            return m_events.configured() ? refuse(413, "the body is too large") : refuse(503, "not-configured");
        case http::ReadState::Malformed:
            return refuse(400, "no request of the protocol");
        case http::ReadState::Done:
            if (!claimBody())
                return refuse(503, "no memory for another body");
            requestDone();
            break;
        }
    }
}

////////////////////////////////////////////////////////////
bool CallerConnection::claimBody()
{
    const std::int64_t bytes = m_reader.bodyBytes();
    if (bytes == 0 || m_memory.growTo(bytes))
        return true;
    m_memory = BodyClaim(m_bodies, m_events.workspaceOf(m_reader.head()));
    return m_memory.growTo(bytes);
}

////////////////////////////////////////////////////////////
void CallerConnection::sayContinue()
{
    if (m_expectSeen || !http::sameName(m_reader.head().field("Expect"), "100-continue"))
        return;
    m_expectSeen = true;
    m_continueOwed = true;
    if (nothingOwed())
        writeContinue();
}

////////////////////////////////////////////////////////////
void CallerConnection::writeContinue()
{
    m_continueOwed = false;
    // No answer is owed before it and none follows until the body has come, so the bytes cannot mix.
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

////////////////////////////////////////////////////////////
void CallerConnection::requestDone()
{
    CallerRequest request{m_reader.head(), m_reader.takeBody(), m_reader.since(), std::exchange(m_memory, {})};
    m_reader.next();
    m_expectSeen = false;
    m_continueOwed = false;
    if (nothingOwed() || m_events.mayRepeat(request.head))
        return handOn(std::move(request));
    m_waiting = std::move(request);
}

////////////////////////////////////////////////////////////
void CallerConnection::handOn(CallerRequest request)
{
    Turn turn;
    turn.ticket = m_events.newTicket();
    turn.keep = request.head.keepAlive;
    turn.headOnly = request.head.method == "HEAD";
    turn.memory = std::move(request.memory);
    if (!turn.memory.claims() && !nothingOwed())
        turn.memory = BodyClaim(m_bodies, m_events.workspaceOf(request.head));
    if (!turn.keep)
    {
        m_lastRead = true;
        m_reader.stop();
    }
    const balance::Ticket ticket = turn.ticket;
    m_turns.expect(std::move(turn));
    m_events.requestRead(*this, ticket, std::move(request));
}

////////////////////////////////////////////////////////////
void CallerConnection::refuse(unsigned status, std::string_view reason)
{
    m_events.refusedUnread(m_reader.begun() ? &m_reader.head() : nullptr, status, reason);
    m_lastRead = true;
    m_reader.stop();
    Turn turn;
    turn.keep = false;
    turn.memory = std::exchange(m_memory, {});
    turn.answer = answerOf({status, reason, status == 503 ? core::Duration(comeBackLater) : core::Duration{}}, false);
    turn.readyAt = core::now();
    m_turns.expect(std::move(turn));
    writeNext();
}

////////////////////////////////////////////////////////////
bool CallerConnection::answer(balance::Ticket ticket, const http::Head& head, std::string body)
{
    Turn* const turn = m_turns.find(ticket);
    return turn != nullptr && give(turn, answerOf(head, std::move(body), turn->headOnly));
}

////////////////////////////////////////////////////////////
bool CallerConnection::answer(balance::Ticket ticket, const OwnAnswer& own)
{
    Turn* const turn = m_turns.find(ticket);
    return turn != nullptr && give(turn, answerOf(own, turn->headOnly));
}

////////////////////////////////////////////////////////////
bool CallerConnection::give(Turn* turn, CallerAnswer answer)
{
    m_turns.put(*turn, std::move(answer), core::now());
    writeNext();
    return true;
}

////////////////////////////////////////////////////////////
void CallerConnection::writeNext()
{
    if (m_writing || m_state != State::Open)
        return;
    m_writing = m_turns.takeReady();
    if (!m_writing)
        return;
    // From here on the caller has to take bytes. Counted from its own last ones, an answer that took longer than it may be
    // idle was cut as soon as a sweep met its writing: 15 of 160 whose answer came at that time, none of 320 since.
    m_activity = core::now();
    // A planned stop ends the connection after the last of what was handed on.
    m_lastWritten = !m_writing->keep || (m_events.leaving() && m_turns.empty());
    if (m_lastWritten)
    {
        m_lastRead = true;
        m_waiting.reset();
        m_reader.stop();
    }
    m_writing->answer->endHead(m_lastWritten);
    if (m_writing->ticket != 0)
        m_events.answerLeaves(m_writing->ticket);
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_writing->answer->head),
                                                  asio::buffer(m_writing->answer->body)};
    auto                                    self = shared_from_this();
    asio::async_write(m_socket, bytes, [self](const asio::error_code& error, std::size_t) { self->written(!error); });
}

////////////////////////////////////////////////////////////
void CallerConnection::written(bool good)
{
    m_writing.reset();
    if (m_state != State::Open)
        return;
    m_activity = core::now();
    if (!good)
        return close();
    if (m_lastWritten)
    {
        // What the caller still sends is read and dropped, or the answer could be lost with a reset.
        m_state = State::Lingering;
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return read();
    }
    writeNext();
    m_readOnAt = m_activity;
    if (nothingOwed() && m_waiting)
        handOn(*std::exchange(m_waiting, std::nullopt));
    if (nothingOwed() && m_continueOwed)
        writeContinue();
    takeRequests();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::sweep(core::Timestamp at)
{
    const deployment::CallerLimits& limits = m_events.limits();
    const core::Duration            quiet = at - m_activity;
    if (m_state == State::Lingering && quiet > lingerTime)
        return close();
    if (m_writing && quiet > limits.idleTime)
        return close();
    if (m_reader.begun() && mayTakeRequest())
    {
        const core::Timestamp readSince = std::max(m_reader.since(), m_readOnAt);
        if (!m_reader.headRead() && at - readSince > limits.headTime)
            return refuse(408, "the head took too long");
        if (m_reader.headRead() && quiet > limits.idleTime)
            return refuse(408, "the body took too long");
        return;
    }
    if (m_state == State::Open && nothingOwed() && !m_reader.begun() && quiet > limits.idleTime)
        close();
}

////////////////////////////////////////////////////////////
void CallerConnection::closeIfIdle()
{
    if (restingSince())
        close();
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> CallerConnection::restingSince() const
{
    const bool resting = m_state == State::Open && nothingOwed() && !m_waiting && m_reader.empty();
    return resting ? std::optional(m_activity) : std::nullopt;
}

////////////////////////////////////////////////////////////
void CallerConnection::close()
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    m_state = State::Closed;
    m_endTimer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    const auto unanswered = m_turns.tickets();
    m_turns = {};
    m_waiting.reset();
    m_memory = {};
    for (const balance::Ticket ticket : unanswered)
        m_events.callerLeft(ticket);
    m_events.callerGone(*this);
}

} // namespace sailpath::gateway::priv

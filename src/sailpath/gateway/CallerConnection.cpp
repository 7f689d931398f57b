#include "CallerConnection.hpp"

#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto        comeBackLater = std::chrono::seconds{1};
constexpr std::size_t mostReadAhead = 64UL * 1024; // Bytes kept of requests that follow the one under way

////////////////////////////////////////////////////////////
std::string_view reasonOf(unsigned status)
{
    switch (status)
    {
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

////////////////////////////////////////////////////////////
void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

////////////////////////////////////////////////////////////
core::Timestamp now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return core::Timestamp(std::chrono::duration_cast<core::Duration>(since));
}

////////////////////////////////////////////////////////////
CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerEvents& events, BodyMemory& bodies) :
m_socket(std::move(socket)),
m_events(events),
m_bodies(bodies),
m_activity(now())
{
}

////////////////////////////////////////////////////////////
void CallerConnection::start()
{
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::read()
{
    if (m_reading || m_state == State::Closed || m_unread.size() > mostReadAhead)
        return;
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
    m_activity = now();
    m_unread.append(m_buffer.data(), bytes);
    if (m_lastOne)
        m_unread.clear();
    else if (m_state == State::Reading)
        parse();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::parse()
{
    // Empty lines before a request are no part of it.
    if (!m_reader)
        m_unread.erase(0, m_unread.find_first_not_of("\r\n"));
    if (m_unread.empty())
        return;
    if (!m_reader)
    {
        const deployment::CallerLimits& limits = m_events.limits();
        m_reader =
            std::make_unique<http::MessageReader>(http::MessageKind::Request, limits.headBytes, limits.bodyBytes);
        m_since = m_activity;
        m_headSeen = false;
    }
    m_unread.erase(0, m_reader->read(m_unread));
    switch (m_reader->state())
    {
    case http::ReadState::Head:
        return;
    case http::ReadState::Body:
        if (!reserveBody())
            return refuse(503, "no memory for another body");
        return headRead();
    case http::ReadState::HeadTooLarge:
        return m_events.configured() ? refuse(431, "the head is too large") : refuse(503, "not-configured");
    case http::ReadState::BodyTooLarge:
        return m_events.configured() ? refuse(413, "the body is too large") : refuse(503, "not-configured");
    case http::ReadState::Malformed:
        return refuse(400, "no request of the protocol");
    case http::ReadState::Done:
        if (!reserveBody())
            return refuse(503, "no memory for another body");
        break;
    }
    const std::unique_ptr<http::MessageReader> reader = std::move(m_reader);
    m_state = State::Waiting;
    m_keep = reader->head().keepAlive;
    m_headOnly = reader->head().method == "HEAD";
    m_events.requestRead(*this, reader->head(), reader->takeBody());
}

////////////////////////////////////////////////////////////
bool CallerConnection::reserveBody()
{
    // A length that is told is reserved whole, so that bodies that grow side by side cannot all fail.
    const auto told = static_cast<std::int64_t>(m_reader->bodyLength().value_or(0));
    const auto needed = std::max(told, static_cast<std::int64_t>(m_reader->bodySize()));
    if (needed <= m_reserved)
        return true;
    if (m_reserved == 0)
        m_workspace = m_events.workspaceOf(m_reader->head());
    if (!m_bodies.take(m_workspace, needed - m_reserved))
        return false;
    m_reserved = needed;
    return true;
}

////////////////////////////////////////////////////////////
void CallerConnection::headRead()
{
    if (m_headSeen)
        return;
    m_headSeen = true;
    if (!http::sameName(m_reader->head().field("Expect"), "100-continue"))
        return;
    // Nothing else is written before the answer, so the bytes cannot mix.
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

////////////////////////////////////////////////////////////
void CallerConnection::refuse(unsigned status, std::string_view reason)
{
    m_events.refusedUnread(m_reader ? &m_reader->head() : nullptr, status, reason);
    m_reader.reset();
    m_unread.clear();
    m_keep = false;
    m_state = State::Waiting;
    OwnAnswer own;
    own.status = status;
    own.reason = reason;
    own.close = true;
    own.comeBack = status == 503 ? core::Duration(comeBackLater) : core::Duration{};
    answer(own);
}

////////////////////////////////////////////////////////////
void CallerConnection::answer(const http::Head& head, const std::string& body)
{
    if (m_state != State::Waiting)
        return;
    const std::string_view connection = head.field("Connection");
    m_out.clear();
    m_out.reserve(body.size() + 512);
    m_out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(head.reason).append("\r\n");
    for (const http::HeaderField& field : head.fields)
    {
        if (!http::concernsConnection(field.name, connection))
            appendField(m_out, field.name, field.value);
    }
    const bool bodyless = head.status == 204 || head.status == 304;
    if (m_headOnly && head.has("Content-Length"))
        appendField(m_out, "Content-Length", head.field("Content-Length"));
    else if (!m_headOnly && !bodyless)
        appendField(m_out, "Content-Length", std::to_string(body.size()));
    const bool keep = m_keep && !m_events.leaving();
    if (!keep)
        appendField(m_out, "Connection", "close");
    m_out.append("\r\n");
    if (!m_headOnly && !bodyless)
        m_out.append(body);
    write(keep);
}

////////////////////////////////////////////////////////////
void CallerConnection::answer(const OwnAnswer& own)
{
    if (m_state != State::Waiting)
        return;
    m_out.clear();
    m_out.append("HTTP/1.1 ")
        .append(std::to_string(own.status))
        .append(" ")
        .append(reasonOf(own.status))
        .append("\r\n");
    if (own.comeBack.count() > 0)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", core::toSeconds(own.comeBack));
        appendField(m_out, "Retry-After", text);
    }
    const std::string body = std::string(own.reason) + "\n";
    appendField(m_out, "Content-Type", "text/plain");
    appendField(m_out, "Content-Length", std::to_string(body.size()));
    const bool keep = m_keep && !own.close && !m_events.leaving();
    if (!keep)
        appendField(m_out, "Connection", "close");
    m_out.append("\r\n");
    if (!m_headOnly)
        m_out.append(body);
    write(keep);
}

////////////////////////////////////////////////////////////
void CallerConnection::write(bool keep)
{
    m_state = State::Writing;
    m_lastOne = !keep;
    m_ticket = 0;
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_out),
                      [self](const asio::error_code& error, std::size_t) { self->written(!error); });
}

////////////////////////////////////////////////////////////
void CallerConnection::written(bool good)
{
    if (m_state != State::Writing)
        return;
    release();
    m_out.clear();
    m_activity = now();
    if (!good)
        return close();
    if (m_lastOne)
    {
        // What the caller still sends is read and dropped, or the answer could be lost with a reset.
        m_state = State::Waiting;
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_unread.clear();
        return read();
    }
    m_state = State::Reading;
    parse();
    read();
}

////////////////////////////////////////////////////////////
void CallerConnection::cut()
{
    close();
}

////////////////////////////////////////////////////////////
void CallerConnection::sweep(core::Timestamp at)
{
    const deployment::CallerLimits& limits = m_events.limits();
    const core::Duration            quiet = at - m_activity;
    constexpr auto                  lingerTime = std::chrono::seconds{1};
    if (m_lastOne && m_state == State::Waiting && quiet > lingerTime)
        return close();
    if (m_state == State::Writing && quiet > limits.idleTime)
        return close();
    if (m_state != State::Reading)
        return;
    if (!m_reader)
    {
        if (quiet > limits.idleTime)
            close();
        return;
    }
    if (!m_headSeen && at - m_since > limits.headTime)
        return refuse(408, "the head took too long");
    if (m_headSeen && quiet > limits.idleTime)
        return refuse(408, "the body took too long");
}

////////////////////////////////////////////////////////////
void CallerConnection::closeIfIdle()
{
    if (m_state == State::Reading && !m_reader && m_unread.empty())
        close();
}

////////////////////////////////////////////////////////////
void CallerConnection::release()
{
    if (m_reserved > 0)
        m_bodies.giveBack(m_workspace, m_reserved);
    m_reserved = 0;
}

////////////////////////////////////////////////////////////
void CallerConnection::close()
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    const bool waited = m_state == State::Waiting && m_ticket != 0;
    m_state = State::Closed;
    release();
    asio::error_code ignored;
    m_socket.close(ignored);
    if (waited)
        m_events.callerLeft(*this);
    m_events.callerGone(*this);
}

////////////////////////////////////////////////////////////
core::Timestamp CallerConnection::since() const
{
    return m_since;
}

////////////////////////////////////////////////////////////
std::uint64_t CallerConnection::ticket() const
{
    return m_ticket;
}

////////////////////////////////////////////////////////////
void CallerConnection::setTicket(std::uint64_t ticket)
{
    m_ticket = ticket;
}

} // namespace sailpath::gateway::priv

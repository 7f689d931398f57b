#include "ServerStreamEnd.hpp"

#include <sailpath/adapters/net/StreamEnd.hpp>
#include <sailpath/core/Clock.hpp>

#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
using adapters::net::StreamEnd;

constexpr auto checkInterval = std::chrono::milliseconds{5}; // Nothing reports that bytes are acknowledged

} // namespace

////////////////////////////////////////////////////////////
paths::TunnelEnd endOf(const asio::error_code& error)
{
    if (error == asio::error::eof)
        return paths::TunnelEnd::Closed;
    const bool reset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    return reset ? paths::TunnelEnd::Reset : paths::TunnelEnd::Lost;
}

////////////////////////////////////////////////////////////
ServerStreamEnd::ServerStreamEnd(asio::io_context& context, core::Duration longestWait) :
m_timer(context),
m_longestWait(longestWait)
{
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::recordWrite(const asio::error_code& error)
{
    if (!m_writeError)
        m_writeError = error;
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::decide(asio::ip::tcp::socket& socket, IsSending isSending, Handler handler)
{
    m_socket = &socket;
    m_isSending = std::move(isSending);
    m_handler = std::move(handler);
    m_endedAt = core::now();
    check();
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::check()
{
    if (m_writeError)
        return finish(endOf(m_writeError));
    const StreamEnd end = adapters::net::examineStreamEnd(m_socket->native_handle());
    if (end == StreamEnd::Failed)
        return finish(paths::TunnelEnd::Reset);
    if (end == StreamEnd::Complete && !m_isSending())
        return finish(paths::TunnelEnd::Closed);
    if (core::now() - m_endedAt > m_longestWait)
        return finish(paths::TunnelEnd::Lost);
    m_timer.expires_after(checkInterval);
    // The handler keeps the owner alive.
    m_timer.async_wait(
        [this, held = m_handler](const asio::error_code& error)
        {
            if (!error && m_handler)
                check();
        });
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::finish(paths::TunnelEnd end)
{
    m_isSending = nullptr;
    if (const Handler handler = std::exchange(m_handler, nullptr))
        handler(end);
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::cancel()
{
    m_timer.cancel();
    m_isSending = nullptr;
    m_handler = nullptr;
}

////////////////////////////////////////////////////////////
paths::TunnelEnd ServerStreamEnd::reportedEnd() const
{
    return m_writeError ? endOf(m_writeError) : paths::TunnelEnd::Closed;
}

} // namespace sailpath::gateway::priv

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
ServerStreamEnd::ServerStreamEnd(asio::io_context& context, core::Duration longestWait) :
m_timer(context),
m_longestWait(longestWait)
{
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::recordWrite(bool succeeded)
{
    m_hasFailed = m_hasFailed || !succeeded;
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
    const StreamEnd end = m_hasFailed ? StreamEnd::Failed : adapters::net::examineStreamEnd(m_socket->native_handle());
    if (end == StreamEnd::Failed)
        return finish(false);
    if (end == StreamEnd::Complete && !m_isSending())
        return finish(true);
    if (core::now() - m_endedAt > m_longestWait)
        return finish(false);
    m_timer.expires_after(checkInterval);
    m_timer.async_wait(
        [this, held = m_handler](const asio::error_code& error)
        {
            if (!error && m_handler)
                check();
        });
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::finish(bool isComplete)
{
    m_isSending = nullptr;
    if (const Handler handler = std::exchange(m_handler, nullptr))
        handler(isComplete);
}

////////////////////////////////////////////////////////////
void ServerStreamEnd::cancel()
{
    m_timer.cancel();
    m_isSending = nullptr;
    m_handler = nullptr;
}

////////////////////////////////////////////////////////////
bool ServerStreamEnd::hasFailed() const
{
    return m_hasFailed;
}

} // namespace sailpath::gateway::priv

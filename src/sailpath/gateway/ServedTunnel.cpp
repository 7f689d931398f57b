#include "ServedTunnel.hpp"

#include "ServerDial.hpp"

#include <sailpath/adapters/links/TunnelCodec.hpp>
#include <sailpath/adapters/net/SendQueue.hpp>
#include <sailpath/core/Clock.hpp>

#include <asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto quietTime =
    std::chrono::milliseconds{500}; // After the server's last bytes, for the other node's next request
constexpr auto     connectTimeout = std::chrono::milliseconds{250}; // Shorter than the other node waits for an answer
constexpr auto     proofTime = std::chrono::milliseconds{120}; // For another server to show that this node's path works
constexpr unsigned proofChecks = 6;                            // In that time
constexpr auto discardTime = std::chrono::seconds{1}; // For the other node to read that its request is not passed on
// Of a node that is silent; after the last of these the unacknowledged timeout ends the connection, as it counts for
// keep-alive probes too.
constexpr int  keepAliveIdleS = 5;
constexpr int  keepAliveIntervalS = 1;

////////////////////////////////////////////////////////////
void setOption(asio::ip::tcp::socket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

////////////////////////////////////////////////////////////
ServedTunnel::ServedTunnel(asio::io_context& context, const GatewaySettings& settings, asio::ip::tcp::socket peer,
                           std::string unread, Events events) :
m_peer(std::move(peer)),
m_server(context),
m_timer(context),
m_settings(settings),
m_events(std::move(events)),
m_toServer(std::move(unread)),
m_streamEnd(context, settings.unacknowledgedTimeout)
{
    setOption(m_peer, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(m_peer, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    setOption(m_peer, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    setOption(m_peer, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(m_settings.unacknowledgedTimeout.count() / 1000));
    setOption(m_peer, IPPROTO_TCP, TCP_NODELAY, 1);
}

////////////////////////////////////////////////////////////
void ServedTunnel::open(const deployment::Instance& instance)
{
    m_instance = instance;
    prepareServerSocket(m_server, m_settings);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error && !self->m_connected && !self->m_ended)
                self->connected(asio::error::timed_out);
        });
    asio::error_code              ignored;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(instance.address, ignored), instance.port);
    m_server.async_connect(endpoint,
                           [self = shared_from_this()](const asio::error_code& error)
                           {
                               if (error != asio::error::operation_aborted)
                                   self->connected(error);
                           });
}

////////////////////////////////////////////////////////////
void ServedTunnel::connected(const asio::error_code& error)
{
    if (m_ended)
        return;
    m_timer.cancel();
    if (error)
    {
        asio::error_code ignored;
        m_server.close(ignored);
        return connectFailed(error == asio::error::connection_refused, 0);
    }
    m_connected = true;
    m_openedAt = core::now();
    m_events.connected(m_instance);
    send(paths::TunnelOpened{paths::TunnelStatus::Open}, false);
    m_traffic.passToServer(m_toServer);
    if (m_toServer.empty())
        readPeer();
    else
        writeServer();
}

////////////////////////////////////////////////////////////
void ServedTunnel::connectFailed(bool refused, unsigned asked)
{
    if (const auto status = m_events.failed(m_instance, refused, asked > 0))
        return deny(*status);
    if (asked >= proofChecks)
        return deny(paths::TunnelStatus::NoPath);
    m_timer.expires_after(proofTime / proofChecks);
    m_timer.async_wait(
        [self = shared_from_this(), refused, asked](const asio::error_code& error)
        {
            if (!error && !self->m_ended)
                self->connectFailed(refused, asked + 1);
        });
}

////////////////////////////////////////////////////////////
void ServedTunnel::deny(paths::TunnelStatus status)
{
    send(paths::TunnelOpened{status}, true);
}

////////////////////////////////////////////////////////////
void ServedTunnel::send(const paths::TunnelMessage& message, bool last)
{
    if (m_endTold)
        return;
    m_endTold = last;
    m_toPeer = adapters::links::encodeTunnel(message);
    m_sending = true;
    asio::async_write(m_peer, asio::buffer(m_toPeer),
                      [self = shared_from_this(), last](const asio::error_code& error, std::size_t)
                      {
                          self->m_sending = false;
                          if (error || last)
                              return self->end();
                          if (!self->m_ended)
                              self->readServer();
                      });
}

////////////////////////////////////////////////////////////
void ServedTunnel::readPeer()
{
    m_peer.async_read_some(asio::buffer(m_fromPeer),
                           [self = shared_from_this()](const asio::error_code& error, std::size_t bytes)
                           {
                               // The other node closes when its caller has left, so the server has to know at once.
                               if (error)
                                   return self->end();
                               if (self->refusesRequest())
                                   return self->refuseRequest();
                               self->m_toServer.assign(self->m_fromPeer.data(), bytes);
                               self->m_awaitsServer = true;
                               self->m_traffic.passToServer(self->m_toServer);
                               self->writeServer();
                           });
}

////////////////////////////////////////////////////////////
bool ServedTunnel::refusesRequest() const
{
    return m_refusesFurther && !m_sending && m_traffic.isBetweenRequests();
}

////////////////////////////////////////////////////////////
void ServedTunnel::refuseRequest()
{
    m_endTold = true;
    m_toPeer = adapters::links::encodeTunnel(paths::TunnelEnded{paths::TunnelEnd::NotPassed});
    m_timer.expires_after(discardTime);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error)
                self->end();
        });
    asio::async_write(m_peer, asio::buffer(m_toPeer),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t)
                      { return error ? self->end() : self->discardPeer(); });
}

////////////////////////////////////////////////////////////
void ServedTunnel::discardPeer()
{
    // Closing while a part of the request is unread sends a reset, which can destroy the last message.
    m_peer.async_read_some(asio::buffer(m_fromPeer),
                           [self = shared_from_this()](const asio::error_code& error, std::size_t)
                           { return error || self->m_ended ? self->end() : self->discardPeer(); });
}

////////////////////////////////////////////////////////////
void ServedTunnel::writeServer()
{
    m_writingServer = true;
    asio::async_write(m_server, asio::buffer(m_toServer),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t)
                      {
                          self->m_writingServer = false;
                          self->m_streamEnd.recordWrite(error);
                          if (!self->m_ended)
                              self->readPeer();
                      });
}

////////////////////////////////////////////////////////////
void ServedTunnel::readServer()
{
    m_server.async_read_some(asio::buffer(m_fromServer),
                             [self = shared_from_this()](const asio::error_code& error, std::size_t bytes)
                             {
                                 if (self->m_ended || self->m_endTold)
                                     return;
                                 if (error)
                                     return self->serverEnded(endOf(error));
                                 self->recordHeard();
                                 self->m_traffic.passFromServer({self->m_fromServer.data(), bytes});
                                 self->send(paths::TunnelData{{self->m_fromServer.data(), bytes}}, false);
                             });
}

////////////////////////////////////////////////////////////
void ServedTunnel::serverEnded(paths::TunnelEnd how)
{
    if (how != paths::TunnelEnd::Closed)
        return send(paths::TunnelEnded{how}, true);
    // The other node may have written all of its request, so it does not see that the server did not take it.
    m_streamEnd.decide(
        m_server, [this] { return m_writingServer || m_traffic.isRequestUnfinished(); },
        [self = shared_from_this()](paths::TunnelEnd end) { self->send(paths::TunnelEnded{end}, true); });
}

////////////////////////////////////////////////////////////
void ServedTunnel::recordHeard()
{
    m_awaitsServer = false;
    const bool first = m_heardAt == core::Timestamp{};
    m_heardAt = core::now();
    if (first)
        m_events.heard(m_instance, m_openedAt);
}

////////////////////////////////////////////////////////////
bool ServedTunnel::isBusy()
{
    if (!m_connected || m_sending || m_traffic.isAnswerDue())
        return true;
    return m_awaitsServer || core::now() - m_heardAt < quietTime ||
           adapters::net::unacknowledgedBytes(m_peer.native_handle()) > 0;
}

////////////////////////////////////////////////////////////
void ServedTunnel::refuseFurther()
{
    m_refusesFurther = true;
}

////////////////////////////////////////////////////////////
void ServedTunnel::close()
{
    end();
}

////////////////////////////////////////////////////////////
void ServedTunnel::end()
{
    if (std::exchange(m_ended, true))
        return;
    asio::error_code ignored;
    m_timer.cancel();
    m_streamEnd.cancel();
    m_server.close(ignored);
    m_peer.close(ignored);
    m_events.ended(shared_from_this());
}

} // namespace sailpath::gateway::priv

#include "ServerDial.hpp"

#include <sailpath/adapters/links/Codec.hpp>
#include <sailpath/adapters/links/TunnelCodec.hpp>
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
using Socket = asio::ip::tcp::socket;

constexpr auto trialTimeout = std::chrono::milliseconds{120};   // To learn whether a direct path works
constexpr auto stallThreshold = std::chrono::milliseconds{100}; // Delay of a timer that shows that the loop stood still
constexpr auto catchUpTime = std::chrono::milliseconds{50};     // Time to read what arrived meanwhile

////////////////////////////////////////////////////////////
paths::DialSettings dialSettings(const GatewaySettings& settings, paths::DialWays ways)
{
    paths::DialSettings dial;
    dial.directTimeout = ways == paths::DialWays::DirectOnly ? core::Duration(trialTimeout) : settings.connectTimeout;
    return dial;
}

////////////////////////////////////////////////////////////
paths::HelperFailure failureOf(paths::TunnelStatus status)
{
    switch (status)
    {
    case paths::TunnelStatus::Busy:
        return paths::HelperFailure::Busy;
    case paths::TunnelStatus::NotListed:
        return paths::HelperFailure::NotListed;
    case paths::TunnelStatus::NoPath:
        return paths::HelperFailure::NoPath;
    default:
        return paths::HelperFailure::Silent;
    }
}

} // namespace

////////////////////////////////////////////////////////////
void prepareServerSocket(Socket& socket, const GatewaySettings& settings)
{
    asio::error_code ignored;
    socket.open(asio::ip::tcp::v4(), ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // This also bounds the keep-alive probes, which are not enabled here.
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> userTimeout(
        static_cast<int>(settings.unacknowledgedTimeout.count() / 1000));
    socket.set_option(userTimeout, ignored);
    if (settings.serverSource.empty())
        return;
    // The port is chosen on connecting, so that connections to different servers can share one.
    const asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT> noPort(true);
    socket.set_option(noPort, ignored);
    socket.bind({asio::ip::make_address(settings.serverSource, ignored), 0}, ignored);
}

////////////////////////////////////////////////////////////
ServerDial::Tunnel::Tunnel(asio::io_context& context) :
socket(std::make_shared<Socket>(context)),
timer(context)
{
}

////////////////////////////////////////////////////////////
ServerDial::ServerDial(asio::io_context& context, const GatewaySettings& settings, Paths& paths,
                       deployment::Instance instance, paths::DialWays ways) :
m_context(context),
m_settings(settings),
m_paths(paths),
m_instance(std::move(instance)),
m_plan(dialSettings(settings, ways), m_paths.monitor.state(m_instance, core::now()), ways,
       !m_paths.helpers.empty() && !m_paths.monitor.isUnreachable(m_instance, core::now())),
m_timer(context),
m_serverRefuses(m_paths.monitor.isRefusing(m_instance, core::now()))
{
}

////////////////////////////////////////////////////////////
void ServerDial::start(DoneCallback onDone)
{
    m_onDone = std::move(onDone);
    perform(m_plan.start(core::now()));
}

////////////////////////////////////////////////////////////
void ServerDial::cancel()
{
    m_onDone = nullptr;
    finish({});
}

////////////////////////////////////////////////////////////
void ServerDial::perform(paths::DialStep step)
{
    switch (step)
    {
    case paths::DialStep::ConnectDirect:
        connectDirect();
        return armTimer();
    case paths::DialStep::OpenTunnel:
        return openTunnel();
    case paths::DialStep::Fail:
        if (m_verdict.isUnanimous(m_tried.size()))
            markDown();
        return finish({nullptr, {}, {}, m_failure, m_serverRefuses});
    case paths::DialStep::Wait:
        return armTimer();
    }
}

////////////////////////////////////////////////////////////
void ServerDial::armTimer()
{
    const auto due = m_plan.nextDue();
    if (!due)
    {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(*due - core::now());
    m_timer.async_wait(
        [self = shared_from_this(), due](const asio::error_code& error)
        {
            if (error || !self->m_onDone)
                return;
            if (self->waitAfterStall(*due))
                return;
            if (self->m_plan.directExpired(core::now()))
                return self->directEnded(balance::ConnectFailure::TimedOut);
            self->perform(self->m_plan.processDue(core::now()));
        });
}

////////////////////////////////////////////////////////////
bool ServerDial::waitAfterStall(core::Timestamp due)
{
    if (core::now() - due < stallThreshold || std::exchange(m_waited, true))
        return false;
    // What arrived while the event loop stood still has not been read yet.
    m_timer.expires_after(catchUpTime);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error && self->m_onDone)
                self->armTimer();
        });
    return true;
}

////////////////////////////////////////////////////////////
void ServerDial::connectDirect()
{
    m_direct = std::make_shared<Socket>(m_context);
    m_directStartedAt = core::now();
    prepareServerSocket(*m_direct, m_settings);
    asio::error_code              ignored;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_instance.address, ignored), m_instance.port);
    m_direct->async_connect(endpoint,
                            [self = shared_from_this(), socket = m_direct](const asio::error_code& error)
                            {
                                if (self->m_direct != socket)
                                    return;
                                if (!error)
                                    return self->finish({std::exchange(self->m_direct, nullptr), {}, {}});
                                self->directEnded(error == asio::error::connection_refused
                                                      ? balance::ConnectFailure::Refused
                                                      : balance::ConnectFailure::Broken);
                            });
}

////////////////////////////////////////////////////////////
void ServerDial::directEnded(balance::ConnectFailure failure)
{
    m_failure = failure;
    asio::error_code ignored;
    m_direct->close(ignored);
    m_direct.reset();
    m_paths.monitor.recordFailed(m_instance, m_directStartedAt, core::now());
    perform(m_plan.directFailed(core::now()));
}

////////////////////////////////////////////////////////////
void ServerDial::openTunnel()
{
    const auto helper = m_paths.helpers.choose(m_tried, core::now(), m_verdict.dataCentres());
    const auto endpoint = helper ? adapters::settings::parseEndpoint(*helper) : std::nullopt;
    if (!endpoint)
        return perform(m_plan.tunnelFailed(core::now()));
    m_tried.push_back(*helper);
    auto tunnel = std::make_shared<Tunnel>(m_context);
    tunnel->helper = *helper;
    m_tunnels.push_back(tunnel);
    tunnel->timer.expires_after(paths::DialSettings{}.tunnelTimeout);
    tunnel->timer.async_wait(
        [self = shared_from_this(), tunnel](const asio::error_code& error)
        {
            if (!error)
                self->tunnelFailed(tunnel, paths::HelperFailure::Silent);
        });
    asio::error_code              ignored;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint->address, ignored), endpoint->port);
    tunnel->socket->async_connect(address,
                                  [self = shared_from_this(), tunnel](const asio::error_code& error)
                                  {
                                      if (tunnel->ended)
                                          return;
                                      if (error)
                                          return self->tunnelFailed(tunnel, paths::HelperFailure::Silent);
                                      self->sendRequest(tunnel);
                                  });
    armTimer();
}

////////////////////////////////////////////////////////////
void ServerDial::sendRequest(const TunnelPtr& tunnel)
{
    asio::error_code ignored;
    tunnel->socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> userTimeout(
        static_cast<int>(m_settings.unacknowledgedTimeout.count() / 1000));
    tunnel->socket->set_option(userTimeout, ignored);
    tunnel->request = adapters::links::encode(paths::TunnelOpen{m_instance.id, m_instance.born});
    asio::async_write(*tunnel->socket, asio::buffer(tunnel->request),
                      [self = shared_from_this(), tunnel](const asio::error_code& error, std::size_t)
                      {
                          if (error && !tunnel->ended)
                              self->tunnelFailed(tunnel, paths::HelperFailure::Silent);
                      });
    readAnswer(tunnel);
}

////////////////////////////////////////////////////////////
void ServerDial::readAnswer(const TunnelPtr& tunnel)
{
    tunnel->socket->async_read_some(
        asio::buffer(tunnel->buffer),
        [self = shared_from_this(), tunnel](const asio::error_code& error, std::size_t bytes)
        {
            if (tunnel->ended)
                return;
            if (error)
                return self->tunnelFailed(tunnel, paths::HelperFailure::Silent);
            tunnel->unread.append({tunnel->buffer.data(), bytes});
            const auto decoded = adapters::links::decodeTunnel(tunnel->unread.bytes());
            if (!decoded.malformed && !decoded.message)
                return self->readAnswer(tunnel);
            const auto* opened = decoded.malformed ? nullptr : std::get_if<paths::TunnelOpened>(&*decoded.message);
            if (opened == nullptr)
                return self->tunnelFailed(tunnel, paths::HelperFailure::Silent);
            tunnel->unread.consume(decoded.taken);
            self->answered(tunnel, opened->status);
        });
}

////////////////////////////////////////////////////////////
void ServerDial::answered(const TunnelPtr& tunnel, paths::TunnelStatus status)
{
    if (status == paths::TunnelStatus::Open)
        return useTunnel(tunnel);
    const bool down = status == paths::TunnelStatus::Refused || status == paths::TunnelStatus::TimedOut;
    if (!down)
        return tunnelFailed(tunnel, failureOf(status));
    reportedDown(tunnel, status == paths::TunnelStatus::Refused);
}

////////////////////////////////////////////////////////////
void ServerDial::reportedDown(const TunnelPtr& tunnel, bool refused)
{
    close(tunnel);
    const std::string dataCentre = m_paths.helpers.dataCentreOf(tunnel->helper);
    m_verdict.record(dataCentre, refused);
    if (!m_verdict.isConclusive(m_paths.helpers.existsOutside(dataCentre)))
        return perform(m_plan.tunnelFailed(core::now()));
    markDown();
    perform(m_plan.serverDown(core::now()));
}

////////////////////////////////////////////////////////////
void ServerDial::markDown()
{
    m_serverRefuses = m_verdict.isRefusal();
    m_paths.monitor.recordUnreachable(m_instance, m_serverRefuses, core::now());
}

////////////////////////////////////////////////////////////
void ServerDial::useTunnel(const TunnelPtr& tunnel)
{
    const auto now = core::now();
    m_paths.helpers.recordOpened(tunnel->helper, now);
    // A direct attempt that takes this much longer is as good as failed.
    if (m_direct && now - m_directStartedAt >= paths::DialSettings{}.tunnelDelay)
        m_paths.monitor.recordFailed(m_instance, m_directStartedAt, now);
    m_paths.monitor.recordReached(m_instance, now);
    m_paths.onReached(m_instance);
    tunnel->ended = true;
    tunnel->timer.cancel();
    finish({tunnel->socket, tunnel->helper, tunnel->unread.take()});
}

////////////////////////////////////////////////////////////
void ServerDial::tunnelFailed(const TunnelPtr& tunnel, paths::HelperFailure failure)
{
    if (tunnel->ended)
        return;
    close(tunnel);
    m_paths.helpers.recordFailed(tunnel->helper, failure, core::now());
    perform(m_plan.tunnelFailed(core::now()));
}

////////////////////////////////////////////////////////////
void ServerDial::close(const TunnelPtr& tunnel)
{
    tunnel->ended = true;
    tunnel->timer.cancel();
    asio::error_code ignored;
    tunnel->socket->close(ignored);
    std::erase(m_tunnels, tunnel);
}

////////////////////////////////////////////////////////////
void ServerDial::finish(DialResult result)
{
    m_timer.cancel();
    asio::error_code ignored;
    if (m_direct)
        m_direct->close(ignored);
    m_direct.reset();
    const auto tunnels = m_tunnels;
    for (const TunnelPtr& tunnel : tunnels)
    {
        if (!tunnel->ended)
            close(tunnel);
    }
    m_tunnels.clear();
    if (const DoneCallback onDone = std::exchange(m_onDone, nullptr))
        onDone(std::move(result));
}

} // namespace sailpath::gateway::priv

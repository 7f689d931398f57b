#include "TunnelServer.hpp"

#include <sailpath/core/Clock.hpp>

#include <algorithm>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto heardLately = std::chrono::seconds{1}; // A node that heard a server this lately has a path to servers
constexpr auto proofInterval = std::chrono::milliseconds{100}; // Between proofs, which take a round trip

} // namespace

////////////////////////////////////////////////////////////
TunnelServer::TunnelServer(asio::io_context& context, const GatewaySettings& settings, Paths& paths,
                           FindInstance findInstance, ProvePath provePath) :
m_context(context),
m_settings(settings),
m_paths(paths),
m_findInstance(std::move(findInstance)),
m_provePath(std::move(provePath))
{
}

////////////////////////////////////////////////////////////
TunnelServer::~TunnelServer()
{
    const auto tunnels = m_tunnels;
    for (const auto& tunnel : tunnels)
        tunnel->close();
}

////////////////////////////////////////////////////////////
void TunnelServer::serve(adapters::links::TunnelRequest request)
{
    asio::ip::tcp::socket peer(m_context);
    asio::error_code      error;
    const int             descriptor = request.socket.release();
    peer.assign(asio::ip::tcp::v4(), descriptor, error);
    if (error)
    {
        request.socket = adapters::net::SocketHandle(descriptor);
        return;
    }
    const auto                instance = m_findInstance(request.open.instance);
    const paths::TunnelStatus status = admit(request.open, instance.get());
    ServedTunnel::Events      events{[this](const deployment::Instance&) { ++m_served; },
                                [this](const deployment::Instance& server, core::Timestamp openedAt)
                                { m_paths.monitor.recordHeard(server, openedAt, core::now()); },
                                [this](const deployment::Instance& server, bool refused, bool again)
                                { return connectFailed(server, refused, again); },
                                [this](const std::shared_ptr<ServedTunnel>& tunnel) { m_tunnels.erase(tunnel); }};
    auto tunnel = std::make_shared<ServedTunnel>(m_context, m_settings, std::move(peer), std::move(request.unread),
                                                 std::move(events));
    m_tunnels.insert(tunnel);
    if (status == paths::TunnelStatus::Open)
        return tunnel->open(*instance);
    ++m_denied;
    tunnel->deny(status);
}

////////////////////////////////////////////////////////////
paths::TunnelStatus TunnelServer::admit(const paths::TunnelOpen& open, const deployment::Instance* instance) const
{
    if (m_stopped || m_tunnels.size() >= m_settings.maxTunnels)
        return paths::TunnelStatus::Busy;
    if (instance == nullptr || instance->born != open.born)
        return paths::TunnelStatus::NotListed;
    if (m_paths.monitor.state(*instance, core::now()) == paths::PathState::Lost)
        return paths::TunnelStatus::NoPath;
    return paths::TunnelStatus::Open;
}

////////////////////////////////////////////////////////////
std::optional<paths::TunnelStatus> TunnelServer::connectFailed(const deployment::Instance& instance, bool refused,
                                                               bool again)
{
    const auto now = core::now();
    if (!again)
        m_paths.monitor.recordFailed(instance, now, now);
    // Only a node that reaches other servers, and has lost none of its paths, can tell that this one is at fault.
    if (m_paths.monitor.anyLost(now))
        return paths::TunnelStatus::NoPath;
    if (m_paths.monitor.heardWithin(heardLately, now))
        return refused ? paths::TunnelStatus::Refused : paths::TunnelStatus::TimedOut;
    // In light traffic no server was heard lately. After a timeout the other node does not wait any longer.
    if (!refused)
        return paths::TunnelStatus::NoPath;
    if (!again && now - m_provedAt >= proofInterval)
    {
        m_provedAt = now;
        m_provePath(instance);
    }
    return std::nullopt;
}

////////////////////////////////////////////////////////////
void TunnelServer::refuseFurther()
{
    for (const auto& tunnel : m_tunnels)
        tunnel->refuseFurther();
}

////////////////////////////////////////////////////////////
void TunnelServer::stop()
{
    m_stopped = true;
}

////////////////////////////////////////////////////////////
std::size_t TunnelServer::open() const
{
    return m_tunnels.size();
}

////////////////////////////////////////////////////////////
std::size_t TunnelServer::busy() const
{
    return static_cast<std::size_t>(
        std::count_if(m_tunnels.begin(), m_tunnels.end(), [](const auto& tunnel) { return tunnel->isBusy(); }));
}

////////////////////////////////////////////////////////////
std::uint64_t TunnelServer::served() const
{
    return m_served;
}

////////////////////////////////////////////////////////////
std::uint64_t TunnelServer::denied() const
{
    return m_denied;
}

} // namespace sailpath::gateway::priv

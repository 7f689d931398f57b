#pragma once

#include <sailpath/balance/Step.hpp>
#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/gateway/GatewaySettings.hpp>
#include <sailpath/paths/DialPlan.hpp>
#include <sailpath/paths/DownVerdict.hpp>
#include <sailpath/paths/HelperSelector.hpp>
#include <sailpath/paths/PathMonitor.hpp>
#include <sailpath/paths/TunnelMessage.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Open a socket for a connection to a server, with the options and the source address of the settings
////////////////////////////////////////////////////////////
void prepareServerSocket(asio::ip::tcp::socket& socket, const GatewaySettings& settings);

////////////////////////////////////////////////////////////
/// \brief What is known of paths to servers, shared by all connections of a node
////////////////////////////////////////////////////////////
struct Paths
{
    paths::PathMonitor                               monitor;   //!< State of the direct paths
    paths::HelperSelector                            helpers;   //!< Nodes that reach servers in their place
    std::function<void(const deployment::Instance&)> onReached; //!< A helper reached a server
};

////////////////////////////////////////////////////////////
/// \brief A connection that was opened, or why none was
////////////////////////////////////////////////////////////
struct DialResult
{
    std::shared_ptr<asio::ip::tcp::socket> socket; //!< Null when no way is left
    std::string                            helper; //!< Address of the helper; empty for a direct connection
    std::string                            unread; //!< Bytes of the helper that came with its first message
    balance::ConnectFailure failure{balance::ConnectFailure::TimedOut}; //!< Why the direct attempt failed
    bool                    serverRefuses{false};                       //!< It refuses the connections of helpers
};

////////////////////////////////////////////////////////////
/// \brief Opens one connection to a server, directly or through a helper, as a `DialPlan` says
////////////////////////////////////////////////////////////
class ServerDial : public std::enable_shared_from_this<ServerDial>
{
public:
    using DoneCallback = std::function<void(DialResult)>;

    ServerDial(asio::io_context& context, const GatewaySettings& settings, Paths& paths, deployment::Instance instance,
               paths::DialWays ways);

    void start(DoneCallback onDone); //!< Reports the result once, unless cancelled
    void cancel();                   //!< Close all attempts without a result

private:
    struct Tunnel
    {
        explicit Tunnel(asio::io_context& context);

        std::shared_ptr<asio::ip::tcp::socket> socket;       //!< Connection to the helper
        asio::steady_timer                     timer;        //!< Timeout of the helper
        std::string                            helper;       //!< Its address
        std::string                            request;      //!< Bytes of the request for a tunnel
        core::ReceiveBuffer                    unread;       //!< Bytes received
        std::array<char, 4096>                 buffer{};     //!< Receive buffer
        bool                                   ended{false}; //!< The result is known
    };

    using TunnelPtr = std::shared_ptr<Tunnel>;

    void perform(paths::DialStep step);
    void armTimer();
    bool waitAfterStall(core::Timestamp due); //!< Wait once more if the event loop stood still; false if it did not
    void connectDirect();
    void directEnded(balance::ConnectFailure failure);
    void openTunnel();
    void sendRequest(const TunnelPtr& tunnel);
    void readAnswer(const TunnelPtr& tunnel);
    void answered(const TunnelPtr& tunnel, paths::TunnelStatus status);
    void reportedDown(const TunnelPtr& tunnel, bool refused); //!< The helper reaches other servers, not this one
    void markDown();                                          //!< Ask no helper for the server for a while
    void tunnelFailed(const TunnelPtr& tunnel, paths::HelperFailure failure);
    void useTunnel(const TunnelPtr& tunnel);
    void close(const TunnelPtr& tunnel);
    void finish(DialResult result);

    asio::io_context&                      m_context;
    const GatewaySettings&                 m_settings;
    Paths&                                 m_paths;
    deployment::Instance                   m_instance;
    paths::DialPlan                        m_plan;
    asio::steady_timer                     m_timer;
    std::shared_ptr<asio::ip::tcp::socket> m_direct; //!< Null unless the direct attempt is under way
    core::Timestamp                        m_directStartedAt{};
    std::vector<TunnelPtr>                 m_tunnels; //!< Attempts that have no result yet
    std::vector<std::string>               m_tried;   //!< Helpers asked
    balance::ConnectFailure                m_failure{balance::ConnectFailure::TimedOut};
    paths::DownVerdict                     m_verdict; //!< By reports of helpers
    bool                                   m_serverRefuses{false};
    bool                                   m_waited{false}; //!< `waitAfterStall` has waited
    DoneCallback                           m_onDone;
};

} // namespace sailpath::gateway::priv

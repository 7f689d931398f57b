#pragma once

#include "ServerStreamEnd.hpp"
#include "TunnelTraffic.hpp"

#include <sailpath/deployment/Instance.hpp>
#include <sailpath/gateway/GatewaySettings.hpp>
#include <sailpath/paths/TunnelMessage.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A connection to a server that is open for another node; passes bytes on and reads none of them
////////////////////////////////////////////////////////////
class ServedTunnel : public std::enable_shared_from_this<ServedTunnel>
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief What the tunnel reports
    ////////////////////////////////////////////////////////////
    struct Events
    {
        std::function<void(const deployment::Instance&)>                           connected; //!< The server accepted
        std::function<void(const deployment::Instance&, core::Timestamp openedAt)> heard;     //!< Its first bytes came
        /// \brief The connection did not come up; returns what the other node is told, or null to be asked again
        std::function<std::optional<paths::TunnelStatus>(const deployment::Instance&, bool refused, bool again)> failed;
        std::function<void(const std::shared_ptr<ServedTunnel>&)> ended; //!< Called once
    };

    ////////////////////////////////////////////////////////////
    /// \param peer   Connection of the other node
    /// \param unread Bytes for the server that have arrived already
    ////////////////////////////////////////////////////////////
    ServedTunnel(asio::io_context& context, const GatewaySettings& settings, asio::ip::tcp::socket peer,
                 std::string unread, Events events);

    void open(const deployment::Instance& instance); //!< Connect to the server, then pass bytes on
    void deny(paths::TunnelStatus status);           //!< Tell the other node that no tunnel is opened, and end
    void refuseFurther(); //!< Pass no further request on; tell the other node that it has not run
    void close();         //!< Break both connections off

    [[nodiscard]] bool isBusy(); //!< An answer is due, or not all of its bytes have reached the other node

private:
    void               connected(const asio::error_code& error);
    void               connectFailed(bool refused, unsigned asked);
    void               send(const paths::TunnelMessage& message, bool last);
    void               readPeer();
    [[nodiscard]] bool refusesRequest() const; //!< What the other node sends now begins a request that is not passed on
    void               refuseRequest();
    void               discardPeer(); //!< Read and discard until the other node closes
    void               writeServer();
    void               readServer();
    void               serverEnded(paths::TunnelEnd how); //!< Tell the other node how the server's stream ended
    void               recordHeard();
    void               end();

    asio::ip::tcp::socket  m_peer;   //!< Connection of the other node
    asio::ip::tcp::socket  m_server; //!< Connection to the server
    asio::steady_timer     m_timer;  //!< Timeout of connecting; wait for the proof of this node's path
    const GatewaySettings& m_settings;
    Events                 m_events;
    deployment::Instance   m_instance;
    std::string            m_toServer;              //!< Bytes that are being written
    std::string            m_toPeer;                //!< Message that is being written
    std::array<char, 8192> m_fromPeer{};            //!< Receive buffer
    std::array<char, 8192> m_fromServer{};          //!< Receive buffer
    core::Timestamp        m_openedAt{};            //!< When the server accepted
    core::Timestamp        m_heardAt{};             //!< Last bytes of the server
    bool                   m_awaitsServer{false};   //!< The last bytes that passed were for the server
    bool                   m_sending{false};        //!< A message to the other node is being written
    bool                   m_writingServer{false};  //!< Bytes for the server are being written
    ServerStreamEnd        m_streamEnd;             //!< Failed writes, and what an end of file means
    TunnelTraffic          m_traffic;               //!< Requests and answers that have passed
    bool                   m_endTold{false};        //!< The last message to the other node is being written
    bool                   m_refusesFurther{false}; //!< No further request is passed on
    bool                   m_connected{false};
    bool                   m_ended{false};
};

} // namespace sailpath::gateway::priv

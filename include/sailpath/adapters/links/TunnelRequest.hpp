#pragma once

#include <sailpath/adapters/net/SocketHandle.hpp>
#include <sailpath/paths/TunnelMessage.hpp>

#include <string>

namespace sailpath::adapters::links
{
////////////////////////////////////////////////////////////
/// \brief A connection of another node that asks for a tunnel to a server
////////////////////////////////////////////////////////////
struct TunnelRequest
{
    net::SocketHandle socket; //!< Connection of the other node
    std::string       peer;   //!< IP address that it comes from
    paths::TunnelOpen open;   //!< What is asked for
    std::string       unread; //!< Bytes for the server that came with the request
};

} // namespace sailpath::adapters::links

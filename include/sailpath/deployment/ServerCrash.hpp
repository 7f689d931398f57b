#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/RequestIdentity.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief A node saw a server end while it ran a request
////////////////////////////////////////////////////////////
struct ServerEnd
{
    std::uint32_t   node{0};   //!< Short hash of the node's address; 0 is this node
    std::uint32_t   server{0}; //!< `lifeHash` of the instance
    RequestIdentity request;   //!< What ran there
    core::Duration  ran{};     //!< From its sending to the server's end
    core::Duration  ago{};     //!< From the server's end until this was told
};

} // namespace sailpath::deployment

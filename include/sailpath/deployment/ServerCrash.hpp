#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/RequestIdentity.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief The end of a server while it ran a request, as a node observed it
////////////////////////////////////////////////////////////
struct ServerCrash
{
    std::uint32_t   node{0};   //!< Short hash of the observing node's address; 0 is this node
    std::uint32_t   server{0}; //!< `instanceHash` of the instance
    RequestIdentity request;   //!< Request that ran on the server
    core::Duration  ran{};     //!< Time from sending the request to the server's end
    core::Duration  ago{};     //!< Time from the server's end to this report
};

} // namespace sailpath::deployment

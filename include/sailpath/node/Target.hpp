#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Backend server that a request or probe is sent to
////////////////////////////////////////////////////////////
struct Target
{
    std::string    workspace;     //!< Name of the workspace
    std::string    service;       //!< Name of the service
    std::string    server;        //!< Name of the backend server
    std::string    address;       //!< IP address
    std::uint16_t  port{};        //!< TCP port
    std::string    probePath;     //!< Path that a probe requests
    core::Duration probeCost{};   //!< Server time that a probe uses
    unsigned       connections{}; //!< Total connections that the server accepts
    core::Duration claimWindow{}; //!< Period in which duplicates of a request with an idempotency key are recognised
};

} // namespace sailpath::node

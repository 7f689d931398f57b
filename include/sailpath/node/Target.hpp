#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Where a request is to be sent
////////////////////////////////////////////////////////////
struct Target
{
    std::string    workspace;     //!< Workspace of the service
    std::string    service;       //!< Service of the server
    std::string    server;        //!< Name of the backend server
    std::string    address;       //!< IP number
    std::uint16_t  port{};        //!< TCP port
    std::string    probePath;     //!< What a probe asks for
    core::Duration probeCost{};   //!< Server time that a probe takes
    unsigned       connections{}; //!< Connections the server accepts in all
    core::Duration claimWindow{}; //!< How long copies of a keyed request are recognised
};

} // namespace sailpath::node

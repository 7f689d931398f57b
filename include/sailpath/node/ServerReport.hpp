#pragma once

#include <sailpath/routing/LoadReport.hpp>

#include <cstdint>
#include <string>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Report about a backend server, as exchanged between peers
////////////////////////////////////////////////////////////
struct ServerReport
{
    std::string         workspace;       //!< Name of the workspace
    std::string         service;         //!< Name of the service
    std::string         server;          //!< Name of the backend server
    routing::LoadReport load;            //!< Load that the server reported
    bool                draining{false}; //!< Whether the server is draining
    std::uint32_t       ageMs{0};        //!< Age of the report when it was sent, milliseconds
};

} // namespace sailpath::node

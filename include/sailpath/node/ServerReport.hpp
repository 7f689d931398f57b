#pragma once

#include <sailpath/routing/LoadReport.hpp>

#include <cstdint>
#include <string>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief What was heard of a backend server, as peers tell one another
////////////////////////////////////////////////////////////
struct ServerReport
{
    std::string         workspace;       //!< Workspace
    std::string         service;         //!< Service
    std::string         server;          //!< Backend server
    routing::LoadReport load;            //!< What it said
    bool                draining{false}; //!< It says that it is leaving
    std::uint32_t       ageMs{0};        //!< Age when it was told
};

} // namespace sailpath::node

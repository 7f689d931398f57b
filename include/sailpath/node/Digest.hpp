#pragma once

#include <sailpath/membership/Member.hpp>
#include <sailpath/routing/LoadReport.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief What a probe found, as peers tell one another
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

////////////////////////////////////////////////////////////
/// \brief What two peers tell each other in one exchange
////////////////////////////////////////////////////////////
struct Digest
{
    membership::Member              from;        //!< The sender
    std::uint64_t                   revision{0}; //!< Revision up to which its configuration is complete
    std::vector<membership::Member> claims;      //!< Claims about members
    std::vector<ServerReport>       reports;     //!< Fresh reports about servers
};

} // namespace sailpath::node

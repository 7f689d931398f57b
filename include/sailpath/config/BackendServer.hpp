#pragma once

#include <cstdint>
#include <string>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief A backend server, as declared by the operators of its workspace
////////////////////////////////////////////////////////////
struct BackendServer
{
    std::string   name;             //!< Unique within its service
    std::string   address;          //!< IPv4 or IPv6 address
    std::uint16_t port{};           //!< TCP port
    std::string   dataCentre;       //!< Data centre where the server runs
    unsigned      slots{3};         //!< Requests the server processes concurrently
    unsigned      connections{200}; //!< Total connections that the server accepts

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

} // namespace sailpath::config

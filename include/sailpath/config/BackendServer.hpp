#pragma once

#include <cstdint>
#include <string>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief A backend server as its workspace's operators declare it
////////////////////////////////////////////////////////////
struct BackendServer
{
    std::string   name;             //!< Unique within its service
    std::string   address;          //!< IP number
    std::uint16_t port{};           //!< TCP port
    std::string   dataCentre;       //!< Data centre where it runs
    unsigned      slots{3};         //!< Requests it works on at once
    unsigned      connections{200}; //!< Connections it accepts in all

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

} // namespace sailpath::config

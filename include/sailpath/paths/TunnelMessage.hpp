#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief Asks a helper to connect to a server; the bytes that follow are for the server
////////////////////////////////////////////////////////////
struct TunnelOpen
{
    std::string   instance; //!< Id of the server
    std::uint64_t born{0};  //!< Start of the server's life, as in `deployment::Instance::born`

    friend bool operator==(const TunnelOpen&, const TunnelOpen&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Whether a helper opened a tunnel
////////////////////////////////////////////////////////////
enum class TunnelStatus : std::uint8_t
{
    Open,      //!< The connection to the server is up
    Refused,   //!< The server refuses connections, and the helper reaches others
    TimedOut,  //!< The connection did not come up, and the helper reaches other servers
    NoPath,    //!< The helper does not reach the server, and perhaps none
    NotListed, //!< The helper does not know the server
    Busy       //!< The helper has no room for another tunnel
};

////////////////////////////////////////////////////////////
/// \brief First message of a helper
////////////////////////////////////////////////////////////
struct TunnelOpened
{
    TunnelStatus status{TunnelStatus::NoPath};

    friend bool operator==(const TunnelOpened&, const TunnelOpened&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Bytes of the server
////////////////////////////////////////////////////////////
struct TunnelData
{
    std::string bytes;

    friend bool operator==(const TunnelData&, const TunnelData&) = default;
};

////////////////////////////////////////////////////////////
/// \brief How a helper's connection to the server ended
////////////////////////////////////////////////////////////
enum class TunnelEnd : std::uint8_t
{
    Closed,   //!< The server closed it in order
    Reset,    //!< The server reset it
    Lost,     //!< It broke for another reason, which may be the helper's path
    NotPassed //!< The helper stops, and passed no byte of the last request to the server
};

////////////////////////////////////////////////////////////
/// \brief The connection to the server ended; a tunnel that ends without this was cut, or its helper ended
////////////////////////////////////////////////////////////
struct TunnelEnded
{
    TunnelEnd how{TunnelEnd::Closed};

    friend bool operator==(const TunnelEnded&, const TunnelEnded&) = default;
};

using TunnelMessage = std::variant<TunnelOpened, TunnelData, TunnelEnded>; //!< What a helper sends

} // namespace sailpath::paths

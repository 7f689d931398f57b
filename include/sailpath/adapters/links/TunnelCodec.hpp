#pragma once

#include <sailpath/paths/TunnelMessage.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::adapters::links
{
////////////////////////////////////////////////////////////
/// \brief Bytes of a message of a helper, its length in front
////////////////////////////////////////////////////////////
[[nodiscard]] std::string encodeTunnel(const paths::TunnelMessage& message);

////////////////////////////////////////////////////////////
/// \brief Result of taking a message of a helper off a stream
////////////////////////////////////////////////////////////
struct DecodedTunnel
{
    std::optional<paths::TunnelMessage> message;          //!< Null when it is not whole yet
    std::size_t                         taken{0};         //!< Bytes used
    bool                                malformed{false}; //!< The stream is of no more use
};

////////////////////////////////////////////////////////////
/// \brief Take the next message of a helper off the front of a stream
////////////////////////////////////////////////////////////
[[nodiscard]] DecodedTunnel decodeTunnel(std::string_view bytes);

} // namespace sailpath::adapters::links

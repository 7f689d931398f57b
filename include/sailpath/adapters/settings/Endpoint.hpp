#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
/// \brief An IP number and a TCP port
////////////////////////////////////////////////////////////
struct Endpoint
{
    std::string   address; //!< IP number
    std::uint16_t port{};  //!< Port; 0 lets the system choose

    ////////////////////////////////////////////////////////////
    /// \brief The form `IP:PORT`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string text() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Read `IP:PORT`; an IPv6 number stands in brackets
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace sailpath::adapters::settings

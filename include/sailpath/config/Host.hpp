#pragma once

#include <optional>
#include <string_view>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief The service that a Host header names
////////////////////////////////////////////////////////////
struct HostName
{
    std::string_view service;   //!< First label
    std::string_view workspace; //!< Second label
};

////////////////////////////////////////////////////////////
/// \brief Take a Host header apart: `SERVICE.WORKSPACE[.suffix][:port]`
///
/// The workspace is part of the name, so no workspace can claim a host of
/// another.
///
/// \return Nothing when there are fewer than two labels
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<HostName> parseHost(std::string_view host);

} // namespace sailpath::config

#pragma once

#include <optional>
#include <string_view>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Service and workspace named by a Host header
////////////////////////////////////////////////////////////
struct HostName
{
    std::string_view service;   //!< Name of the service: first label of the host
    std::string_view workspace; //!< Name of the workspace: second label of the host
};

////////////////////////////////////////////////////////////
/// \brief Parse a Host header of the form `SERVICE.WORKSPACE[.suffix][:port]`
///
/// The workspace is part of the host name, so one workspace cannot claim a
/// host of another.
///
/// \return The two names; `std::nullopt` if `host` has fewer than two labels
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<HostName> parseHost(std::string_view host);

} // namespace sailpath::config

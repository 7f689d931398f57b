#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/node/ServerReport.hpp>
#include <sailpath/node/Target.hpp>

#include <optional>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief Request the load of a backend server
///
/// \param client HTTP client with connections to servers
/// \param target The server and the path of the probe request
///
/// \return The load that the server reported; `std::nullopt` if the answer has no load
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<node::ServerReport> probeServer(adapters::http::BackendClient& client,
                                                            const node::Target&            target);

} // namespace sailpath::control

#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/node/ServerReport.hpp>
#include <sailpath/node/Target.hpp>

#include <optional>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief Probe a backend server
///
/// \param client Connections to servers
/// \param target The server, and what a probe asks for
///
/// \return What it said of its load; nothing when it said nothing
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<node::ServerReport> probeServer(adapters::http::BackendClient& client,
                                                            const node::Target&            target);

} // namespace sailpath::control

#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Settings of the data path
////////////////////////////////////////////////////////////
struct GatewaySettings
{
    adapters::settings::Endpoint                listen;          //!< Address that callers connect to
    adapters::settings::Endpoint                readinessListen; //!< Address of the readiness page
    std::optional<adapters::settings::Endpoint> metricsListen; //!< Address of the metrics pages; not served when empty
    std::string    serverSource; //!< IP address that connections to servers come from; the system chooses when empty
    core::Duration connectTimeout{std::chrono::milliseconds{300}}; //!< Time to establish a connection to a server
    core::Duration unacknowledgedTimeout{
        std::chrono::milliseconds{2500}}; //!< TCP user timeout (unacknowledged data) of server connections
    core::Duration maxServerIdle{std::chrono::seconds{6}}; //!< Idle time until a server connection is closed
    core::Duration maxIdleBeforeNonRepeatable{
        std::chrono::milliseconds{1500}}; //!< Longest idle time of a connection that may carry a non-repeatable request
    std::uint64_t     maxAnswerBytes{std::uint64_t{16} << 20U};         //!< Largest body of a server's answer
    std::uint64_t     maxBufferedBytes{std::uint64_t{64} << 20U};       //!< Request bodies in memory, over all callers
    std::uint64_t     maxBufferedAnswerBytes{std::uint64_t{64} << 20U}; //!< Bodies of servers' answers in memory
    std::size_t       maxCallers{3000};                                 //!< Open connections of callers
    std::string       self;                                             //!< Address by which other nodes know this one
    std::size_t       maxTunnels{256}; //!< Tunnels to servers that are open for other nodes
    balance::Settings balance;         //!< Settings of the balancer
};

} // namespace sailpath::gateway

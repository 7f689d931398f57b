#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Settings of the data path
////////////////////////////////////////////////////////////
struct GatewaySettings
{
    adapters::settings::Endpoint                listen;            //!< Where callers connect
    adapters::settings::Endpoint                readinessListen;   //!< Where readiness is asked for
    std::optional<adapters::settings::Endpoint> metricsListen;     //!< Where metrics are asked for
    core::Duration connectTimeout{std::chrono::milliseconds{300}}; //!< For a server's connection to come up
    core::Duration unacknowledgedTimeout{
        std::chrono::milliseconds{2500}};                  //!< Unacknowledged bytes until a connection is given up
    core::Duration maxServerIdle{std::chrono::seconds{6}}; //!< Rest of a server's connection until it is closed
    core::Duration maxIdleBeforeNonRepeatable{
        std::chrono::milliseconds{1500}}; //!< Rest after which what may not be repeated gets a new connection
    std::uint64_t     maxAnswerBytes{std::uint64_t{16} << 20U};   //!< Largest answer
    std::uint64_t     maxBufferedBytes{std::uint64_t{64} << 20U}; //!< Request bodies held at once, all callers together
    std::size_t       maxCallers{3000};                           //!< Callers' connections kept at once
    balance::Settings balance;                                    //!< Of the decisions
};

} // namespace sailpath::gateway

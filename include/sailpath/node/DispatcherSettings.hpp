#pragma once

#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/limits/ConcurrencyLimit.hpp>
#include <sailpath/routing/LoadSettings.hpp>
#include <sailpath/routing/ServerHealth.hpp>

#include <cstdint>
#include <string>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Settings of one node's decisions
////////////////////////////////////////////////////////////
struct DispatcherSettings
{
    std::string    dataCentre;                                    //!< Data centre of this VM
    std::size_t    maxRequests{512};                              //!< Requests handled at once, waiting ones included
    std::string    choice{"estimated-finish"};                    //!< Name of the choice strategy
    core::Duration otherDataCentre{std::chrono::milliseconds{3}}; //!< Round trip to another data centre
    core::StringMap<core::Duration> roundTrips;                   //!< Round trips that are known better
    core::Duration initialWork{std::chrono::milliseconds{5}};     //!< Work of a request assumed before the first answer
    routing::LoadSettings       load;                             //!< Constants of the load view
    routing::HealthSettings     health;                           //!< Constants of ejection
    limits::ConcurrencySettings concurrency;                      //!< Constants of the adaptive limits
    bool                        useEjection{true};                //!< Off only to measure what it is worth
    bool                        useLimits{true};                  //!< Off only to measure what it is worth
    bool                        usePatience{true};                //!< Off only to measure what it is worth
    std::uint64_t               seed{1};                          //!< Seed of all random choices
};

} // namespace sailpath::node

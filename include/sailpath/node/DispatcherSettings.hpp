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
/// \brief Settings of one node's `Dispatcher`
////////////////////////////////////////////////////////////
struct DispatcherSettings
{
    std::string    dataCentre;                 //!< Data centre of this VM
    std::size_t    maxRequests{512};           //!< Maximum number of unfinished requests, queued requests included
    std::string    choice{"estimated-finish"}; //!< Name of the strategy that chooses a server
    core::Duration otherDataCentreRoundTrip{
        std::chrono::milliseconds{3}};          //!< Round trip to data centres not in `roundTrips`
    core::StringMap<core::Duration> roundTrips; //!< Round trips by data centre; override `otherDataCentreRoundTrip`
    core::Duration          initialWork{std::chrono::milliseconds{5}}; //!< Initial estimate of a request's server time
    routing::LoadSettings   load;                                      //!< Settings of the load estimates
    routing::HealthSettings health;                                    //!< Settings of ejection
    limits::ConcurrencySettings concurrency;                           //!< Settings of the adaptive concurrency limits
    bool          useEjection{true}; //!< Whether failing servers are ejected; disabled only for comparisons
    bool          useLimits{true};   //!< Whether concurrency limits apply; disabled only for comparisons
    bool          usePatience{true}; //!< Whether the longest wait adapts to the queue; disabled only for comparisons
    std::uint64_t seed{1};           //!< Seed of the random number generator
};

} // namespace sailpath::node

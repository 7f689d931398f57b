#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Parameters of the load estimate
////////////////////////////////////////////////////////////
struct LoadSettings
{
    double         usualWorkWeight{0.03}; //!< Weight of a new sample in the usual work, a moving average
    double         recentWorkWeight{0.3}; //!< Weight of a new sample in the recent work, which shows peaks
    double         peakRatio{2.5};        //!< Ratio to the usual work above which the recent work is used
    core::Duration reportHalfLife{std::chrono::milliseconds{20}}; //!< Age at which the weight of a report is one half
    bool           useReports{true};                              //!< Whether the estimate uses load reports
    bool           useOldestAge{true}; //!< Whether the estimate uses the age of unanswered requests
};

} // namespace sailpath::routing

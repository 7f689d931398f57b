#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Constants of the load view; the defaults are the measured ones
////////////////////////////////////////////////////////////
struct LoadSettings
{
    double         usualWorkWeight{0.03}; //!< Share of a new sample in the usual work
    double         recentWorkWeight{0.3}; //!< The same for the recent work, which shows peaks
    double         peakRatio{2.5};        //!< Recent work counts in place of the usual when it is so many times as long
    core::Duration reportHalfLife{std::chrono::milliseconds{20}}; //!< Age at which a report counts half
    bool           useReports{true};                              //!< Whether load reports count at all
    bool           useOldestAge{true}; //!< Whether unanswered requests count before their answer
};

} // namespace sailpath::routing

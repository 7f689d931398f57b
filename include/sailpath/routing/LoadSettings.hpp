#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Constants of the load view; the defaults are the measured ones
////////////////////////////////////////////////////////////
struct LoadSettings
{
    core::Duration initialWork{std::chrono::milliseconds{5}};     //!< Assumed before the first answer
    double         workGain{0.1};                                 //!< Share of a new sample in the work estimate
    double         peakGain{0.3};                                 //!< The same for samples above the estimate
    core::Duration reportHalfLife{std::chrono::milliseconds{80}}; //!< Age at which a report counts half
    bool           useReports{true};                              //!< Whether load reports count at all
    bool           useOldestAge{true}; //!< Whether unanswered requests count before their answer
};

} // namespace sailpath::routing

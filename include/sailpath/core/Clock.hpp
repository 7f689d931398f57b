#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Read the clock that all ages, windows and deadlines are measured by
///
/// The clock never goes back and counts the time in which the VM is suspended:
/// information from before a suspension is as old afterwards as it is for all
/// other nodes. Timers of the event loop do not count that time, so code that is
/// woken by a timer, or by anything else, asks this clock what is due.
////////////////////////////////////////////////////////////
[[nodiscard]] Timestamp now();

} // namespace sailpath::core

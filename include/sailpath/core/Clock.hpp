#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief The clock that all beliefs, ages, windows and deadlines go by
///
/// It never goes back, and time in which the VM is suspended counts: what was
/// believed before a suspension is as old afterwards as it is for everybody
/// else. Timers of the event loop do not count that time, so whoever is woken
/// by one, or by anything else, asks this clock what is due.
////////////////////////////////////////////////////////////
[[nodiscard]] Timestamp now();

} // namespace sailpath::core

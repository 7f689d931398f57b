#pragma once

#include <sailpath/timeline/Event.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sailpath::timeline
{
////////////////////////////////////////////////////////////
/// \brief Corrections to the clocks of the processes, in microseconds, by node
////////////////////////////////////////////////////////////
using ClockCorrections = std::map<std::string, std::int64_t>;

////////////////////////////////////////////////////////////
/// \brief Find the smallest corrections under which no message arrives before it was sent
///
/// The field `out` names a message that leaves, `in` one that arrives.
/// Each pair of processes gives one constraint, solved by relaxation.
/// Clocks that contradict themselves are corrected as far as they go.
////////////////////////////////////////////////////////////
[[nodiscard]] ClockCorrections alignClocks(std::span<const Event> events);

////////////////////////////////////////////////////////////
/// \brief Apply corrections and sort; equal times keep their order
////////////////////////////////////////////////////////////
void applyCorrections(std::vector<Event>& events, const ClockCorrections& corrections);

} // namespace sailpath::timeline

#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::entry
{
////////////////////////////////////////////////////////////
/// \brief Get the current time of the machine's steady clock as a timestamp of the decision logic
////////////////////////////////////////////////////////////
[[nodiscard]] inline core::Timestamp steadyNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return core::Timestamp{std::chrono::duration_cast<core::Duration>(sinceBoot)};
}

////////////////////////////////////////////////////////////
/// \brief Convert a timestamp of the decision logic to a time point of the steady clock
////////////////////////////////////////////////////////////
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(core::Timestamp time)
{
    return std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch())};
}

} // namespace sailpath::entry

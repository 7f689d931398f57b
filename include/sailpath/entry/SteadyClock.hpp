#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::entry
{
////////////////////////////////////////////////////////////
/// \brief Reading of the machine's steady clock, for the decision logic
////////////////////////////////////////////////////////////
[[nodiscard]] inline core::Timestamp steadyNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return core::Timestamp{std::chrono::duration_cast<core::Duration>(sinceBoot)};
}

////////////////////////////////////////////////////////////
/// \brief The steady clock's point for a timestamp of the decision logic
////////////////////////////////////////////////////////////
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(core::Timestamp time)
{
    return std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch())};
}

} // namespace sailpath::entry

#pragma once

#include <chrono>
#include <cstdint>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Duration in microseconds, the resolution of all times in sailpath
////////////////////////////////////////////////////////////
using Duration = std::chrono::microseconds;

////////////////////////////////////////////////////////////
/// \brief Tag of the clock whose readings callers pass to the decision logic
///
/// The decision logic never reads a clock. Programs pass readings of
/// `core::now`, tests and replays pass virtual time.
////////////////////////////////////////////////////////////
struct ProcessClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessClock, Duration>;

    static constexpr bool is_steady = true; //!< Readings never go back; the name is that of the C++ standard
};

////////////////////////////////////////////////////////////
/// \brief Reading of the process clock, in microseconds
////////////////////////////////////////////////////////////
using Timestamp = std::chrono::time_point<ProcessClock, Duration>;

////////////////////////////////////////////////////////////
/// \brief Convert a duration to fractional milliseconds
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

////////////////////////////////////////////////////////////
/// \brief Convert fractional milliseconds to a duration
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr Duration fromMilliseconds(double milliseconds)
{
    return Duration{static_cast<std::int64_t>(milliseconds * 1000.0)};
}

////////////////////////////////////////////////////////////
/// \brief Convert a duration to fractional seconds
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000'000.0;
}

} // namespace sailpath::core

#include <sailpath/core/Clock.hpp>

#include <ctime>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
Timestamp now()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since = std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    return Timestamp(std::chrono::duration_cast<Duration>(since));
}

} // namespace sailpath::core

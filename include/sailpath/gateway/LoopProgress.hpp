#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Progress of an event loop, written by its thread and read by any other
////////////////////////////////////////////////////////////
class LoopProgress
{
public:
    /// \brief Record that the loop's periodic timer was handled
    void beat() noexcept
    {
        m_beats.fetch_add(1, std::memory_order_relaxed);
    }

    ////////////////////////////////////////////////////////////
    /// \brief Record what the loop begins to handle
    ///
    /// \param activity Name with static storage duration and a terminating 0
    ////////////////////////////////////////////////////////////
    void enter(const char* activity) noexcept
    {
        m_activity.store(activity, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t beats() const noexcept //!< Number of beats since the start
    {
        return m_beats.load(std::memory_order_relaxed);
    }

    [[nodiscard]] std::string_view activity() const noexcept //!< What was begun last
    {
        return m_activity.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_beats{0};
    std::atomic<const char*>   m_activity{"start"};
};

} // namespace sailpath::gateway

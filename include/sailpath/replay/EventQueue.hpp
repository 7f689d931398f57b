#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
/// \brief Virtual time: runs events in the order of their times, equal ones in the order of their making
////////////////////////////////////////////////////////////
class EventQueue
{
public:
    using Event = std::function<void()>;

    ////////////////////////////////////////////////////////////
    /// \brief Run an event at a time, not before now
    ////////////////////////////////////////////////////////////
    void at(core::Timestamp time, Event event);

    ////////////////////////////////////////////////////////////
    /// \brief Run an event after a while
    ////////////////////////////////////////////////////////////
    void after(core::Duration delay, Event event);

    ////////////////////////////////////////////////////////////
    /// \brief Run the next event; false when there is none
    ////////////////////////////////////////////////////////////
    bool runNext();

    [[nodiscard]] core::Timestamp now() const; //!< Virtual time

private:
    struct Item
    {
        core::Timestamp time;   //!< When
        std::uint64_t   number; //!< Order of making
        Event           event;  //!< What
    };

    [[nodiscard]] static bool later(const Item& left, const Item& right);

    std::vector<Item> m_heap;    //!< Earliest first
    std::uint64_t     m_made{0}; //!< Events made
    core::Timestamp   m_now{};   //!< Virtual time
};

} // namespace sailpath::replay

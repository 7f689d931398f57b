#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief A stall of an event loop
////////////////////////////////////////////////////////////
struct Stall
{
    core::Duration lasted{};     //!< Time without a beat so far, or in total
    bool           ended{false}; //!< The loop beats again
};

////////////////////////////////////////////////////////////
/// \brief Detects from observations at intervals that an event loop makes no progress
///
/// A stall is reported when it is detected, again each time it has lasted
/// twice as long, and when it has ended. Does no input or output and reads
/// no clock.
////////////////////////////////////////////////////////////
class StallDetector
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a detector
    ///
    /// \param threshold Time without a beat that is a stall
    /// \param interval  Time between two observations
    /// \param now       Time of the first beat
    ////////////////////////////////////////////////////////////
    StallDetector(core::Duration threshold, core::Duration interval, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Observe the number of beats since the start
    ///
    /// \return Stall to be reported; null if there is nothing new
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<Stall> observe(std::uint64_t beats, core::Timestamp now);

private:
    core::Duration  m_threshold;       //!< Time without a beat that is a stall
    core::Duration  m_interval;        //!< Time between two observations
    core::Duration  m_nextReport;      //!< Time without a beat that is reported next
    std::uint64_t   m_beats{0};        //!< Number at the last observation
    core::Timestamp m_lastBeatAt;      //!< Observation at which the number had last grown
    core::Timestamp m_observedAt;      //!< Last observation
    bool            m_reported{false}; //!< A stall was reported that has not ended
};

} // namespace sailpath::gateway

#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>

namespace sailpath::fleet
{
////////////////////////////////////////////////////////////
/// \brief Times at which a starting node passed the stages before it can serve
///
/// Shows whether a slow start spent its time on connecting to peers, on getting the copy or on parsing it.
////////////////////////////////////////////////////////////
struct StartStages
{
    core::Timestamp                born{};   //!< Start of the control thread
    std::optional<core::Timestamp> linkAt;   //!< First link to a peer; null when none was up before the first copy
    std::optional<core::Timestamp> copyAt;   //!< Arrival of the first copy
    std::optional<core::Timestamp> usableAt; //!< End of parsing the first copy's deployment and entries

    ////////////////////////////////////////////////////////////
    /// \brief Get the milliseconds from the start to a stage; -1 when the stage was not reached
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double msTo(const std::optional<core::Timestamp>& stage) const
    {
        return stage ? core::toMilliseconds(*stage - born) : -1.0;
    }
};

} // namespace sailpath::fleet

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sailpath::timeline
{
////////////////////////////////////////////////////////////
/// \brief One event of one process's log
////////////////////////////////////////////////////////////
struct Event
{
    std::int64_t                                     micros{0}; //!< Microseconds since 1970 by the writer's clock
    std::string                                      node;      //!< Who wrote it
    std::string                                      name;      //!< What happened
    std::vector<std::pair<std::string, std::string>> fields;    //!< Particulars

    ////////////////////////////////////////////////////////////
    /// \brief Value of a field; empty when it is absent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view field(std::string_view key) const;
};

////////////////////////////////////////////////////////////
/// \brief Read one line of a log; nothing when it is not an event
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<Event> parseEvent(std::string_view line);

////////////////////////////////////////////////////////////
/// \brief Write a time as it stands in logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string formatTime(std::int64_t micros);

} // namespace sailpath::timeline

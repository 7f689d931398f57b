#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sailpath::ports
{
////////////////////////////////////////////////////////////
/// \brief How much an event matters
////////////////////////////////////////////////////////////
enum class Level
{
    Debug,   //!< Each request
    Info,    //!< Each change of state
    Warning, //!< Something to look at
    Error    //!< Something that needs a person
};

////////////////////////////////////////////////////////////
/// \brief One key and its value in an event
////////////////////////////////////////////////////////////
struct Field
{
    ////////////////////////////////////////////////////////////
    /// \brief A text
    ////////////////////////////////////////////////////////////
    Field(std::string_view fieldKey, std::string_view fieldValue) :
    key(fieldKey),
    value(fieldValue)
    {
    }

    ////////////////////////////////////////////////////////////
    /// \brief A number
    ////////////////////////////////////////////////////////////
    template <typename Number>
    requires std::is_arithmetic_v<Number> Field(std::string_view fieldKey, Number fieldValue) :
    key(fieldKey),
    value(std::to_string(fieldValue))
    {
    }

    std::string_view key;   //!< Name, a constant of the code
    std::string      value; //!< Text form
};

////////////////////////////////////////////////////////////
/// \brief Port for events: where a program writes what happens to it
///
/// Thread-safe. The fields `out` and `in` name a message that leaves or
/// reaches the process; `sailpath-timeline` orders events by them.
////////////////////////////////////////////////////////////
class EventLog
{
public:
    virtual ~EventLog() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Whether events of a level are written
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual bool writes(Level level) const = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Write one event
    ///
    /// \param level  How much it matters
    /// \param event  What happened, in words joined by hyphens
    /// \param fields Particulars
    ////////////////////////////////////////////////////////////
    virtual void write(Level level, std::string_view event, std::initializer_list<Field> fields) = 0;
};

} // namespace sailpath::ports

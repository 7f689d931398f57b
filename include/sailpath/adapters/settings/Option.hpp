#pragma once

#include <string_view>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
/// \brief What values an option takes
////////////////////////////////////////////////////////////
enum class OptionKind
{
    Text,         //!< Any text
    Name,         //!< Letters, digits, hyphens and dots; not empty
    Whole,        //!< Whole number, 0 or more
    Number,       //!< Number, 0 or more
    Milliseconds, //!< Whole number of milliseconds
    Address,      //!< IP address, or nothing
    Endpoint,     //!< `IP:PORT`
    Endpoints,    //!< `IP:PORT` separated by commas, or nothing
    Switch,       //!< `true` or `false`; a flag without a value means `true`
    SecretFile    //!< Path of a file whose first line is a secret
};

////////////////////////////////////////////////////////////
/// \brief One setting of a program
////////////////////////////////////////////////////////////
struct Option
{
    std::string_view name;     //!< Flag without the dashes; the variable is derived from it
    OptionKind       kind;     //!< What it takes
    std::string_view fallback; //!< Default in text form; `required` when there is none
    std::string_view help;     //!< One line for `--help`
};

////////////////////////////////////////////////////////////
/// \brief Marks an option without a default
////////////////////////////////////////////////////////////
inline constexpr std::string_view required = "<required>";

} // namespace sailpath::adapters::settings

#pragma once

#include <string>
#include <vector>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief How urgently requests of a route are wanted
////////////////////////////////////////////////////////////
enum class Priority
{
    Interactive, //!< Somebody waits for the answer
    Batch        //!< Takes what interactive requests leave
};

////////////////////////////////////////////////////////////
/// \brief What operators declare about the requests of one path prefix
////////////////////////////////////////////////////////////
struct Route
{
    std::string              path{"/"};                       //!< Path prefix; the longest match wins
    std::vector<std::string> methods;                         //!< Methods it covers; empty means all
    bool                     repeatable{false};               //!< Whether a request may run more than once
    Priority                 priority{Priority::Interactive}; //!< Who goes first

    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace sailpath::config

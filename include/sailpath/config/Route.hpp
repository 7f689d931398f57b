#pragma once

#include <string>
#include <vector>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Scheduling priority of the requests of a route
////////////////////////////////////////////////////////////
enum class Priority
{
    Interactive, //!< A user waits for the answer
    Batch        //!< Uses the capacity that interactive requests leave free
};

////////////////////////////////////////////////////////////
/// \brief Rules that operators declare for the requests of one path prefix
////////////////////////////////////////////////////////////
struct Route
{
    std::string              path{"/"};                       //!< Path prefix; the longest match wins
    std::vector<std::string> methods;                         //!< HTTP methods that the route matches; empty means all
    bool                     repeatable{false};               //!< Whether a request may be executed more than once
    Priority                 priority{Priority::Interactive}; //!< Scheduling priority

    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace sailpath::config

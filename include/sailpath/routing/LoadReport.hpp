#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Load that a backend server reports for itself; always stale and sometimes wrong
////////////////////////////////////////////////////////////
struct LoadReport
{
    unsigned inFlight{0}; //!< Requests from all callers at the server, including those that wait in its queue
};

} // namespace sailpath::routing

#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief What a backend server says of its own load; always stale, sometimes wrong
////////////////////////////////////////////////////////////
struct LoadReport
{
    unsigned inFlight{0}; //!< Requests it holds from all callers, waiting ones included
};

} // namespace sailpath::routing

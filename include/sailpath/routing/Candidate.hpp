#pragma once

#include <cstddef>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief A server that may receive the request being routed
////////////////////////////////////////////////////////////
struct Candidate
{
    std::size_t server{0};           //!< Index of the server in the pool
    double      finishMs{0};         //!< Estimated time until the server's answer, in milliseconds
    unsigned    ownInFlight{0};      //!< Requests of this node in flight at the server
    double      reportedInFlight{0}; //!< Requests in flight by the last report, not aged; 0 before the first
};

} // namespace sailpath::routing

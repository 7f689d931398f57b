#pragma once

#include <cstddef>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief A server that may be given the request at hand
////////////////////////////////////////////////////////////
struct Candidate
{
    std::size_t server{0};           //!< Index in the pool
    double      finishMs{0};         //!< Estimated milliseconds until its answer
    unsigned    ownInFlight{0};      //!< Requests this node has there
    double      reportedInFlight{0}; //!< In flight by the last report, unaged; 0 before the first
};

} // namespace sailpath::routing

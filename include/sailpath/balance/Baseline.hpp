#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What is usual at the instances of a service, as one node learned it
////////////////////////////////////////////////////////////
struct Baseline
{
    double workMs{100};        //!< Work of a request over all routes, milliseconds
    double otherRequests{0};   //!< Requests of other nodes at an instance
    double slowdown{1};        //!< How long work takes, as instances tell
    double crowdedSlowdown{1}; //!< How much longer work takes at an instance whose slots are nearly all taken
};

} // namespace sailpath::balance

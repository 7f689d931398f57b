#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Usual values of the instances of a service, as learned by one node
////////////////////////////////////////////////////////////
struct Baseline
{
    double workMs{100};        //!< Usual processing time of a request over all routes, milliseconds
    double otherRequests{0};   //!< Mean number of requests that other nodes have at an instance
    double slowdown{1};        //!< Mean slowdown that instances report
    double crowdedSlowdown{1}; //!< Factor of the processing time at an instance with nearly all slots taken
};

} // namespace sailpath::balance

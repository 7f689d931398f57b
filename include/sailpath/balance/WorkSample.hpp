#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief A successful answer, and what was expected of it when its request was sent
////////////////////////////////////////////////////////////
struct WorkSample
{
    double latencyMs{0};              //!< From the send to the answer, milliseconds
    double expectedMs{0};             //!< Expected of an instance with a latency ratio of 1, milliseconds
    double assumedWorkMs{0};          //!< Processing time of the route that `expectedMs` was derived from, milliseconds
    double crowding{0};               //!< Crowding of the instance at the send, 0 to 1
    double assumedCrowdedSlowdown{1}; //!< Slowdown of crowded instances that `expectedMs` was derived from
    bool   trial{false};              //!< The request was sent against the estimate, to test it
};

} // namespace sailpath::balance

#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What is usual at the instances of a service, as one node learned it
////////////////////////////////////////////////////////////
struct Usual
{
    double workMs{100};     //!< Work of a request over all routes, milliseconds
    double others{0};       //!< Requests of other nodes at an instance
    double pace{1};         //!< How long work takes, as instances tell
    double fullSlowdown{1}; //!< How much longer work takes at an instance whose slots are nearly all taken
};

} // namespace sailpath::balance

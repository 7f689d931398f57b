#pragma once

#include <sailpath/deployment/ServerCrash.hpp>

#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Servers that ended while they ran requests, as nodes report them to each other
////////////////////////////////////////////////////////////
struct CrashReport
{
    std::vector<ServerCrash>       ends;   //!< One entry for each request that ran on a server that ended
    std::vector<core::ContentHash> served; //!< Requests that ran on such servers and have been answered since

    [[nodiscard]] bool empty() const
    {
        return ends.empty() && served.empty();
    }
};

} // namespace sailpath::deployment

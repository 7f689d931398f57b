#pragma once

#include <sailpath/deployment/ServerCrash.hpp>

#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What nodes tell each other of servers that ended under requests
////////////////////////////////////////////////////////////
struct CrashNews
{
    std::vector<ServerEnd>         ends;   //!< Servers that ended, one entry for each request that ran there
    std::vector<core::ContentHash> served; //!< Requests that were at such servers and have been answered since

    [[nodiscard]] bool empty() const
    {
        return ends.empty() && served.empty();
    }
};

} // namespace sailpath::deployment

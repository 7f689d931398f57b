#pragma once

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Counters of one service's requests and attempts since the start of the process
////////////////////////////////////////////////////////////
struct DispatcherCounters
{
    std::uint64_t requests{0};  //!< Requests that arrived
    std::uint64_t attempts{0};  //!< Attempts, retries included
    std::uint64_t retries{0};   //!< Attempts after the first
    std::uint64_t held{0};      //!< Requests that were queued
    std::uint64_t answered{0};  //!< Requests that were finished with a server's answer
    std::uint64_t refused{0};   //!< Requests that were refused
    std::uint64_t ejections{0}; //!< Ejections of servers
};

} // namespace sailpath::node

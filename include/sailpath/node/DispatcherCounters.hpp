#pragma once

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief What one service's decisions amounted to since the start
////////////////////////////////////////////////////////////
struct DispatcherCounters
{
    std::uint64_t requests{0};  //!< Requests that arrived
    std::uint64_t attempts{0};  //!< Attempts, retries included
    std::uint64_t retries{0};   //!< Attempts after the first
    std::uint64_t held{0};      //!< Requests that had to wait
    std::uint64_t answered{0};  //!< Requests whose server's answer was passed on
    std::uint64_t refused{0};   //!< Requests refused
    std::uint64_t ejections{0}; //!< Servers ejected
};

} // namespace sailpath::node

#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Figures of the data path since the start
////////////////////////////////////////////////////////////
struct Counters
{
    std::uint64_t requests{0};              //!< Whole requests read
    std::uint64_t answered{0};              //!< Answers of servers passed on
    std::uint64_t refused{0};               //!< Own answers: not run
    std::uint64_t refusedBeforeRead{0};     //!< Own answers before a whole request was read
    std::uint64_t failed{0};                //!< Own answers: outcome unknown or time up
    std::uint64_t callersDisconnected{0};   //!< Callers that left before their answer
    std::uint64_t attempts{0};              //!< Sends to servers
    std::uint64_t attemptsAgainstNotice{0}; //!< Of these to a server that leaves or asked for no requests
    std::uint64_t probes{0};                //!< Servers asked for their load
    std::uint64_t furtherAttempts{0};       //!< Sends beyond the first
    std::uint64_t idleCallersClosed{0};     //!< Callers at rest whose connections were closed for others
    std::uint64_t quarantinedRefused{0};    //!< Of the refused: they end the servers that run them
    std::uint64_t logDropped{0};            //!< Log lines left out
};

} // namespace sailpath::gateway

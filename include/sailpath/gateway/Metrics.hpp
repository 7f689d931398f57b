#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Counters of the data path since the start of the process
////////////////////////////////////////////////////////////
struct Counters
{
    std::uint64_t requests{0};               //!< Complete requests received
    std::uint64_t answered{0};               //!< Servers' answers passed on to callers
    std::uint64_t refused{0};                //!< Requests refused by the gateway and not run
    std::uint64_t refusedBeforeRead{0};      //!< Requests refused before they were received whole
    std::uint64_t failed{0};                 //!< Requests failed by the gateway that a server may have run
    std::uint64_t callersDisconnected{0};    //!< Callers that disconnected before their answer
    std::uint64_t answersCut{0};             //!< Connections closed before all bytes of an answer were written
    std::uint64_t attempts{0};               //!< Attempts sent to servers
    std::uint64_t attemptsAgainstNotice{0};  //!< Attempts to servers that leave or asked to back off
    std::uint64_t attemptsThroughHelpers{0}; //!< Attempts on connections through other nodes that have ended
    std::uint64_t probes{0};                 //!< Load probes sent to servers
    std::uint64_t connectsRefused{0};        //!< Connections that servers refused, for attempts and probes
    std::uint64_t connectsTimedOut{0};       //!< Connections to servers that were not established in time
    std::uint64_t connectsBroken{0};         //!< Connections to servers that were reset before they could be used
    std::uint64_t furtherAttempts{0};        //!< Attempts of a request beyond its first
    std::uint64_t trials{0};                 //!< Attempts that test an estimate, which would refuse the request
    std::uint64_t idleCallersClosed{0};      //!< Idle caller connections closed to make room
    std::uint64_t refusedAtOnce{0};          //!< Refusals whose callers were told to return at once
    std::uint64_t refusedLater{0};           //!< Refusals whose callers were told to return after a time
    std::uint64_t refusedLongest{0};         //!< Those of `refusedLater` with the longest Retry-After, or a longer one
    std::uint64_t quarantinedRefused{0};     //!< Refused requests that are quarantined because they end servers
    std::uint64_t logDropped{0};             //!< Log lines dropped
};

} // namespace sailpath::gateway

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sailpath::system
{
////////////////////////////////////////////////////////////
/// \brief How one sending ended for its caller
////////////////////////////////////////////////////////////
enum class Ending
{
    Answered, //!< A server's good answer
    NotRun,   //!< Refused, and said not to have run
    Unknown,  //!< Refused, and said that it cannot be told
    Broken    //!< The connection ended, or nothing came in time
};

////////////////////////////////////////////////////////////
/// \brief One sending of an operation by a caller
////////////////////////////////////////////////////////////
struct Sending
{
    std::string operation;              //!< What the caller wants done, once
    std::string request;                //!< Request id of this sending
    Ending      ending{Ending::Broken}; //!< How it ended
    std::string answeredFor;            //!< Request id that the answer repeats
    bool        whole{true};            //!< The answer was whole
    bool        stopping{false};        //!< Sent to an entry in a planned stop or before it
};

////////////////////////////////////////////////////////////
/// \brief One run of a request at a server
////////////////////////////////////////////////////////////
struct Execution
{
    std::string server;    //!< Which server
    std::string attempt;   //!< Request id and attempt, as the server received them
    std::string operation; //!< What was done; empty for requests that may be repeated
};

////////////////////////////////////////////////////////////
/// \brief Everything that callers and servers recorded
////////////////////////////////////////////////////////////
struct History
{
    std::vector<Sending>   sendings;   //!< By callers
    std::vector<Execution> executions; //!< By servers
};

////////////////////////////////////////////////////////////
/// \brief A promise that the history breaks
////////////////////////////////////////////////////////////
struct Violation
{
    std::string rule;    //!< Which promise
    std::string details; //!< The operation with all its events
};

////////////////////////////////////////////////////////////
/// \brief Check the promises that concern single requests
///
/// `at-most-once`: no operation ran twice. `not-run`: what was refused as not
/// run did not run under that sending. `own-answer`: every answer belongs to
/// its own request, and that request ran.
////////////////////////////////////////////////////////////
[[nodiscard]] std::vector<Violation> checkHistory(const History& history);

} // namespace sailpath::system

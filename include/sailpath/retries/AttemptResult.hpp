#pragma once

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
/// \brief Result of one attempt to have a server answer a request
////////////////////////////////////////////////////////////
enum class AttemptResult
{
    Answered,  //!< The server answered without reporting a failure
    Failed,    //!< The server answered with a failure; the request may have run
    Shed,      //!< The server refused the request because of load and states that it did not run
    NotSent,   //!< No byte of the request can have reached the server
    Unknown,   //!< The request was sent, but no complete answer arrived
    Abandoned, //!< The caller disconnected or its deadline passed
};

////////////////////////////////////////////////////////////
/// \brief Whether a server executed a request, as far as the system knows
////////////////////////////////////////////////////////////
enum class Ran
{
    Yes,     //!< The server answered the request
    No,      //!< The request certainly did not run
    Unknown, //!< The request may or may not have run
};

////////////////////////////////////////////////////////////
/// \brief Return whether a request ran, given the result of its attempt
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr Ran ranAfter(AttemptResult result)
{
    switch (result)
    {
    case AttemptResult::Answered:
    case AttemptResult::Failed:
        return Ran::Yes;
    case AttemptResult::Shed:
    case AttemptResult::NotSent:
        return Ran::No;
    case AttemptResult::Unknown:
    case AttemptResult::Abandoned:
        break;
    }
    return Ran::Unknown;
}

} // namespace sailpath::retries

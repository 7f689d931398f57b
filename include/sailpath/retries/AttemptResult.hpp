#pragma once

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
/// \brief How one attempt at a server ended
////////////////////////////////////////////////////////////
enum class AttemptResult
{
    Answered,  //!< An answer that is not a failure of the server
    Failed,    //!< The server answered that it failed; the request may have run
    Shed,      //!< The server refused it for load and says that it did not run
    NotSent,   //!< No byte of it can have reached the server
    Unknown,   //!< Sent, but no whole answer came
    Abandoned, //!< The caller hung up or its deadline passed
};

////////////////////////////////////////////////////////////
/// \brief Whether a request ran, as far as the system can honestly say
////////////////////////////////////////////////////////////
enum class Ran
{
    Yes,     //!< The server answered
    No,      //!< Certainly not
    Unknown, //!< Cannot be told
};

////////////////////////////////////////////////////////////
/// \brief Whether a request ran after an attempt ended so
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

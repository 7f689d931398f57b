#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>

#include <string_view>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Why a request gets no answer from a server
////////////////////////////////////////////////////////////
enum class RefusalReason
{
    NotConfigured,    //!< This VM has no configuration yet
    UnknownService,   //!< No service has that host
    NoServer,         //!< No server of the service may be given anything now
    QueueFull,        //!< As many requests wait as may
    WaitTooLong,      //!< It would wait longer than it can or may
    WorkspaceShare,   //!< The workspace holds its share of this VM
    DeadlinePassed,   //!< Its deadline passed
    ServerShed,       //!< The server refused it for load
    NotSent,          //!< No server could be reached
    OutcomeUnknown,   //!< It was sent and no whole answer came
    CallerGone,       //!< The caller hung up
    Duplicate,        //!< Another sending has the same idempotency key
    ClaimsUnavailable //!< The key could not be made durable
};

////////////////////////////////////////////////////////////
/// \brief The name of a reason in answers, logs and metrics
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(RefusalReason reason);

////////////////////////////////////////////////////////////
/// \brief The name of an execution state in answers and logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(retries::Ran ran);

////////////////////////////////////////////////////////////
/// \brief A final refusal
////////////////////////////////////////////////////////////
struct Refusal
{
    RefusalReason  reason{RefusalReason::NoServer}; //!< Why
    retries::Ran   ran{retries::Ran::No};           //!< Whether the request ran
    core::Duration retryAfter{};                    //!< When to come back; zero when there is no use in it
};

} // namespace sailpath::node

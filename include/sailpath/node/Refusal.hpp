#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>

#include <string_view>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Reason why a request is refused instead of being answered by a server
////////////////////////////////////////////////////////////
enum class RefusalReason
{
    NotConfigured,    //!< This VM has no configuration yet
    UnknownService,   //!< No service matches the host
    NoServer,         //!< No server of the service accepts requests now
    QueueFull,        //!< The service's queue is full
    WaitTooLong,      //!< The wait, actual or expected, exceeds the longest wait or the deadline
    WorkspaceShare,   //!< The workspace has used up its share of this VM's requests
    DeadlinePassed,   //!< The request's deadline has passed
    ServerShed,       //!< The server rejected the request because of overload
    NotSent,          //!< The request could not be sent to any server
    OutcomeUnknown,   //!< The request was sent and no complete answer arrived
    CallerGone,       //!< The caller closed the connection
    Duplicate,        //!< Another request has the same idempotency key
    ClaimsUnavailable //!< The claim on the idempotency key could not be stored durably
};

////////////////////////////////////////////////////////////
/// \brief Get the name of a reason as written in answers, logs and metrics
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(RefusalReason reason);

////////////////////////////////////////////////////////////
/// \brief Get the name of an execution state as written in answers and logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(retries::Ran ran);

////////////////////////////////////////////////////////////
/// \brief Final refusal of a request
////////////////////////////////////////////////////////////
struct Refusal
{
    RefusalReason  reason{RefusalReason::NoServer}; //!< Reason of the refusal
    retries::Ran   ran{retries::Ran::No};           //!< Whether a server ran the request
    core::Duration retryAfter{};                    //!< Delay before a retry can succeed; zero when a retry is useless
};

} // namespace sailpath::node

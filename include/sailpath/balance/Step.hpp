#pragma once

#include <sailpath/balance/WorkEvidence.hpp>
#include <sailpath/balance/admission/AdmissionState.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Identifies a request on one node; never reused
////////////////////////////////////////////////////////////
using Ticket = std::uint64_t;

////////////////////////////////////////////////////////////
/// \brief Why a request gets no answer from a server
////////////////////////////////////////////////////////////
enum class RefusalReason
{
    NotConfigured, //!< The node has no configuration yet
    NoRoute,       //!< No route matches the request
    OldRoutes,     //!< No route matches, but the configuration is too old to deny the request
    UnknownKey,    //!< The request has no key of a workspace
    OldKeys,       //!< The request has no known key, but the configuration is too old to deny the request
    OverQuota,     //!< The workspace has used up its quota
    NoServer,      //!< No server can take a request now
    Evacuated,     //!< All servers are in data centres that operators evacuated
    AllCold,       //!< All servers are cold, and other nodes already send as many requests as these can take
    AllLimited,    //!< All servers have a request limit, and other nodes already use it up
    AllLeaving,    //!< All servers announced their shutdown
    AllBackOff,    //!< All servers asked for a pause in requests
    Overloaded,    //!< The answer would come too late
    NoRoom,        //!< The servers together hold the load at which they do most work, and others get the room
    EndsServers,   //!< The request is quarantined: several servers in a row crashed while running it
    MayEndServers, //!< Servers crashed while running the same request, and a single trial of it is in flight
    CameBackLate,  //!< A retrying caller's request can no longer be in time, and room goes to requests that can
    NotRun,        //!< Each server that was tried did not run the request
    Stopping,      //!< The process ends before the request can be answered
    Unknown,       //!< The request was sent and no complete answer arrived
    TimedOut       //!< The deadline for the final answer has passed
};

////////////////////////////////////////////////////////////
/// \brief Return the name of a reason in logs and metrics
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(RefusalReason reason);

/// \brief Longest Retry-After of a refusal that no server and no quarantine asked for
inline constexpr core::Duration longestRetryAfter{std::chrono::seconds{2}};

////////////////////////////////////////////////////////////
/// \brief A final refusal of a request
////////////////////////////////////////////////////////////
struct Refusal
{
    RefusalReason  reason{RefusalReason::NoServer}; //!< Why the request is refused
    bool           mayHaveRun{false};               //!< Whether a server may have run the request
    core::Duration retryAfter{};                    //!< Delay after which the caller may retry; 0 for none
    double         expectedMs{0};      //!< Best estimate of the time to an answer in milliseconds, for the log
    double         reportAgeMs{-1};    //!< Age in milliseconds of the load report used; negative without one
    core::Duration triedFor{};         //!< Estimated time that the caller had been retrying before this request
    bool           retryAtOnce{false}; //!< The caller may retry at once; then `retryAfter` is 0
    double         chance{1};          //!< For `NoRoom`: probability with which the request was to be admitted
    double         latencyRatio{1};    //!< For `Overloaded`: learned latency ratio of the best server
    WorkEvidence   work{};             //!< For refusals by an estimate: the route's processing time; 0 for others

    admission::AdmissionState service{}; //!< For `NoRoom`: state of the service's admission
};

////////////////////////////////////////////////////////////
/// \brief What is to be done next about a request
////////////////////////////////////////////////////////////
enum class StepKind
{
    Forward, //!< Send the request to `instance` as attempt `attempt`
    Probe,   //!< Request the load of `instance` at `path`, as probe `attempt`
    Answer,  //!< Return the answer of attempt `attempt` to the caller; the ticket is finished
    Refuse,  //!< Answer the caller with `refusal`; the ticket is finished
    Abandon, //!< Cancel attempt `attempt`; its end need not be reported
    Check    //!< Test whether `instance` still accepts connections; report with `Balancer::checkEnded`
};

////////////////////////////////////////////////////////////
/// \brief One decision about one request
////////////////////////////////////////////////////////////
struct Step
{
    StepKind                                    kind{StepKind::Refuse}; //!< What to do
    Ticket                                      ticket{0};              //!< Request concerned; 0 for `Check`
    unsigned                                    attempt{0};             //!< Number of the attempt or probe, from 1
    std::string                                 path;                   //!< For `Probe`: path of the load report
    std::shared_ptr<const deployment::Instance> instance;   //!< For `Forward`, `Probe` and `Check`: target server
    core::Timestamp                             deadline{}; //!< For `Forward`: when the server must have answered
    bool           repeatable{false}; //!< For `Forward` and `Abandon`: whether the request may run more than once
    std::string    workspace;         //!< For `Forward`: workspace of the request; empty without one
    core::Duration triedFor{};        //!< For `Forward`: estimated time that the caller had been retrying before
    bool           trial{false};      //!< For `Forward`: whether it is sent to test an estimate that would refuse it
    double         expectedMs{0};     //!< For `Forward`: estimated time to the answer in milliseconds
    double         reportAgeMs{-1};   //!< For `Forward`: age of the load report used; negative without one
    core::Duration leavingFor{};      //!< For `Forward`: time since `instance` announced its shutdown
    core::Duration backOffLeft{};     //!< For `Forward`: remaining time of the pause that `instance` asked for
    Refusal        refusal;           //!< For `Refuse`
};

////////////////////////////////////////////////////////////
/// \brief Why a connection to a server could not be opened
////////////////////////////////////////////////////////////
enum class ConnectFailure
{
    None,     //!< It was opened, or the attempt needed none
    Refused,  //!< Nothing listens at the server's address
    TimedOut, //!< No response in time
    Broken    //!< It was reset, or the system reported another error
};

////////////////////////////////////////////////////////////
/// \brief How an attempt ended
////////////////////////////////////////////////////////////
enum class AttemptEnd
{
    Answered, //!< A complete answer arrived from the server
    NotRun,   //!< The server reported that it did not run the request
    NotSent,  //!< No connection could be opened
    Lost      //!< The request was sent, and no complete answer to it arrived
};

} // namespace sailpath::balance

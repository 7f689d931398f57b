#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief The node's number for a request; never used twice
////////////////////////////////////////////////////////////
using Ticket = std::uint64_t;

////////////////////////////////////////////////////////////
/// \brief Why a request gets no answer from a server
////////////////////////////////////////////////////////////
enum class RefusalReason
{
    NotConfigured, //!< This node has no configuration yet
    NoRoute,       //!< No route covers the request
    OldRoutes,     //!< No route covers it as of the last that was heard, which is too long ago to deny it
    UnknownKey,    //!< It carries no key of any workspace
    OldKeys,       //!< It carries none as of the last that was heard, which is too long ago to deny it
    OverQuota,     //!< Its workspace has sent what it may
    NoServer,      //!< No server may be given anything now
    Evacuated,     //!< All servers are in data centres that operators had evacuated
    AllCold,       //!< All servers are cold, and other nodes send what these bear
    AllLimited,    //!< All servers take only so much, and others send it
    AllLeaving,    //!< All servers have said that they shut down
    AllBackOff,    //!< All servers asked for no requests for a while
    Overloaded,    //!< It would be answered too late
    EndsServers,   //!< It is quarantined: servers ended one after the other that ran it
    MayEndServers, //!< Servers ended that ran it, and it is being tried once more just now
    CameBackLate,  //!< It cannot be in time any more, and others that still can are turned away
    NotRun,        //!< The servers that it was offered to did not run it
    Unknown,       //!< It was sent and no whole answer came
    TimedOut       //!< The time for the final answer is up
};

////////////////////////////////////////////////////////////
/// \brief The name of a reason in logs and metrics
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(RefusalReason reason);

////////////////////////////////////////////////////////////
/// \brief A final refusal
////////////////////////////////////////////////////////////
struct Refusal
{
    RefusalReason  reason{RefusalReason::NoServer}; //!< Why
    bool           mayHaveRun{false};               //!< Whether some server may have run it
    core::Duration retryAfter{};                    //!< When to come back; 0 says nothing
    double         expectedMs{0};                   //!< Best estimate of its time at the servers, for the log
    double         reportAgeMs{-1};                 //!< Age of the load report behind the estimate; negative without
    core::Duration triedFor{};                      //!< How long its caller is believed to have tried before
};

////////////////////////////////////////////////////////////
/// \brief What is to be done with a request next
////////////////////////////////////////////////////////////
enum class StepKind
{
    Forward, //!< Send it to `instance` as attempt `attempt`
    Probe,   //!< Ask `instance` for its load at `path`, as probe `attempt`
    Answer,  //!< Pass on the answer of attempt `attempt`; the ticket is done
    Refuse,  //!< Answer with `refusal`; the ticket is done
    Abandon, //!< Break off attempt `attempt`; its end need not be reported
    Check    //!< Find out whether `instance` still takes connections; answer with `Balancer::checkEnded`
};

////////////////////////////////////////////////////////////
/// \brief One decision about one request
////////////////////////////////////////////////////////////
struct Step
{
    StepKind                                    kind{StepKind::Refuse}; //!< What to do
    Ticket                                      ticket{0};              //!< Which request
    unsigned                                    attempt{0};             //!< Which attempt or probe, from 1
    std::string                                 path;                   //!< For `Probe`
    std::shared_ptr<const deployment::Instance> instance;               //!< For `Forward`
    core::Timestamp                             deadline{};        //!< For `Forward`: when the server has to be done
    bool                                        repeatable{false}; //!< Whether it may run more than once
    std::string                                 workspace;         //!< For `Forward`: that it is sent for
    core::Duration                              triedFor{};        //!< For `Forward`: how long its caller tried before
    double                                      expectedMs{0};     //!< For `Forward`: estimated time to the answer
    double                                      reportAgeMs{-1};   //!< For `Forward`: age of the load report behind it
    core::Duration                              leavingFor{};      //!< For `Forward`: since `instance` said it leaves
    core::Duration                              backOffLeft{};     //!< For `Forward`: time that it asked to be spared
    Refusal                                     refusal;           //!< For `Refuse`
};

////////////////////////////////////////////////////////////
/// \brief How an attempt ended
////////////////////////////////////////////////////////////
enum class AttemptEnd
{
    Answered, //!< A whole answer of the server
    NotRun,   //!< The server says that it did not run it
    NotSent,  //!< No connection came up
    Lost      //!< It was sent, and no answer that belongs to it came whole
};

} // namespace sailpath::balance

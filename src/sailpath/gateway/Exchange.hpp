#pragma once

#include "CallerConnection.hpp"
#include "RequestBody.hpp"
#include "ServerConnection.hpp"

#include <sailpath/balance/Step.hpp>
#include <sailpath/deployment/RequestIdentity.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Outcome of a request
////////////////////////////////////////////////////////////
struct Ending
{
    unsigned         status{0}; //!< HTTP status of the answer to the caller; 0 when no answer is sent
    std::string_view reason;    //!< Name of the outcome in logs and metrics
    core::Timestamp  at{};      //!< When the outcome was known
};

////////////////////////////////////////////////////////////
/// \brief A request in progress: its content, its attempts and their answers
////////////////////////////////////////////////////////////
struct Exchange
{
    std::weak_ptr<CallerConnection> caller;          //!< Connection that the request came on
    std::string                     id;              //!< Request id set by the caller
    std::string                     callerAddress;   //!< IP address of the caller
    std::string                     host;            //!< Requested host; empty when no route matches
    std::string                     route;           //!< Name of the route; empty when none matches
    std::string                     workspace;       //!< Workspace that the request is sent for; empty without one
    std::string                     startLine;       //!< Request line sent to servers
    std::string                     headerFields;    //!< The caller's header fields that are passed on
    SharedBody                      body;            //!< Request body; null when it is empty
    bool                            headOnly{false}; //!< HEAD request, whose answer has no body
    bool                            hasBody{false};  //!< Whether servers get a Content-Length
    core::Timestamp                 firstByteAt{};   //!< When the first byte arrived
    std::optional<core::Timestamp>  decidedAt;       //!< First attempt, or refusal without an attempt
    std::optional<Ending>           ending;          //!< Set once the outcome is known
    core::Duration                  triedFor{};      //!< Estimated time that the caller has tried before this request
    unsigned                        attempts{0};     //!< Number of attempts
    unsigned                        probes{0};       //!< Number of load probes sent for this request
    std::string                     attemptLog;      //!< Attempts, their ends and reasons of refusals, for the log
    bool                            anyAttemptLost{false};                //!< Whether any attempt ended as lost
    std::map<unsigned, std::shared_ptr<ServerConnection>> activeAttempts; //!< Connections by attempt number
    std::map<unsigned, ServerAnswer>                      answers;        //!< Answers by attempt number

    ////////////////////////////////////////////////////////////
    /// \brief Fill the exchange from a caller's request
    ///
    /// \param request Whole request
    /// \param dialect Header names; fields that the gateway sets itself are dropped
    ////////////////////////////////////////////////////////////
    void assign(CallerRequest request, const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief Build the request that is sent to one instance
    ///
    /// \param instance Instance that gets the request
    /// \param left     Time until the server has to be done
    /// \param dialect  Header names
    ///
    /// \return Message with its id and whether its answer has a body
    ////////////////////////////////////////////////////////////
    [[nodiscard]] OutgoingRequest buildRequest(const deployment::Instance& instance, core::Duration left,
                                               const Dialect& dialect) const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the identity by which a repeated request is recognised
    ///
    /// Computed on first use, because few requests are ever compared.
    ///
    /// \return Hashes of the content and of the caller's address
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::RequestIdentity& identity();

    void recordAttempt(const balance::Step& step, core::Timestamp now); //!< Count and log a new attempt
    void recordAttemptEnd(unsigned attempt, const balance::Outcome& outcome,
                          core::Timestamp now);           //!< Log how an attempt ended
    void recordRefusal(const balance::Refusal& refusal);  //!< Log when the caller was told to return
    void recordRoom(const balance::Refusal& refusal);     //!< Log the state of a service that refuses for lack of room
    void recordEstimate(const balance::Refusal& refusal); //!< Log the estimate that a refusal is based on
    void recordWork(const balance::WorkEvidence& work);   //!< Log the processing time that a refusal relies on
    void setEnding(unsigned status, std::string_view reason, core::Timestamp now); //!< Set the outcome

    ////////////////////////////////////////////////////////////
    /// \brief Remove an active attempt
    ///
    /// \return Connection of the attempt; null if the attempt has ended
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<ServerConnection> releaseAttempt(unsigned attempt);

private:
    std::optional<deployment::RequestIdentity> m_identity; //!< Set by the first call of `identity`
};

} // namespace sailpath::gateway::priv

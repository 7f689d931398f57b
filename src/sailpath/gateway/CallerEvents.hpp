#pragma once

#include "CallerRequest.hpp"

#include <sailpath/balance/Step.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Deployment.hpp>

#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
class CallerConnection;

////////////////////////////////////////////////////////////
/// \brief Interface of the gateway to its callers' connections
////////////////////////////////////////////////////////////
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    [[nodiscard]] virtual balance::Ticket newTicket() = 0; //!< Ticket for the next request

    virtual void requestRead(CallerConnection& caller, balance::Ticket ticket, CallerRequest request) = 0; //!< Complete
    virtual void answerStarted(balance::Ticket ticket) = 0; //!< The answer begins to be written
    virtual void callerLeft(balance::Ticket ticket) = 0;    //!< Closed before the answer was written
    ////////////////////////////////////////////////////////////
    /// \brief Record that the connection closes before an answer was written whole
    ///
    /// \param bytes  Size of the answer
    /// \param reason `caller-closed`, `write-failed` or `idle-time`
    ////////////////////////////////////////////////////////////
    virtual void answerCut(const CallerConnection& caller, std::size_t bytes, std::string_view reason) = 0;
    virtual void connectionClosed(CallerConnection& caller) = 0; //!< Last call of the connection

    ////////////////////////////////////////////////////////////
    /// \brief Record that a request was refused before it was read whole
    ///
    /// \param head Head of the request as far as it was read; null when nothing was read
    ////////////////////////////////////////////////////////////
    virtual void refusedUnread(const http::Head* head, unsigned status, std::string_view reason) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Return the earliest time at which bytes that are read now may have arrived
    ///
    /// The current time, or the beginning of a stall of the event loop that has just ended.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual core::Timestamp earliestArrival() = 0;

    [[nodiscard]] virtual std::string workspaceOf(const http::Head& head) const = 0; //!< To count its memory for
    [[nodiscard]] virtual bool isRepeatable(const http::Head& head) const = 0; //!< The request may run more than once
    /// \brief A request whose body is still to come can be answered before a planned stop ends
    [[nodiscard]] virtual bool mayStillAnswer(const http::Head& head, core::Timestamp firstByteAt) const = 0;
    [[nodiscard]] virtual const deployment::CallerLimits& limits() const = 0; //!< Limits in force
    [[nodiscard]] virtual bool configured() const = 0;                        //!< The limits are those of the operator
    [[nodiscard]] virtual bool closesConnections() const = 0;                 //!< A planned stop has begun
    [[nodiscard]] virtual bool takesFurtherRequests() const = 0; //!< Requests are read while earlier ones are answered
};

} // namespace sailpath::gateway::priv

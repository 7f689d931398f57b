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
/// \brief What a caller's connection needs of the gateway
////////////////////////////////////////////////////////////
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    [[nodiscard]] virtual balance::Ticket newTicket() = 0; //!< For the next request

    virtual void requestRead(CallerConnection& caller, balance::Ticket ticket, CallerRequest request) = 0; //!< Whole
    virtual void answerStarted(balance::Ticket ticket) = 0;      //!< The turn of its answer has come
    virtual void callerLeft(balance::Ticket ticket) = 0;         //!< Before the turn of its answer came
    virtual void connectionClosed(CallerConnection& caller) = 0; //!< The connection is closed

    ////////////////////////////////////////////////////////////
    /// \brief An own answer is given before a whole request was read
    ///
    /// \param head Of the request, as far as it is known; null when there is none
    ////////////////////////////////////////////////////////////
    virtual void refusedUnread(const http::Head* head, unsigned status, std::string_view reason) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief The earliest time at which bytes that are read now may have come
    ///
    /// Now, but after the loop has stood still.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual core::Timestamp earliestArrival() = 0;

    [[nodiscard]] virtual std::string workspaceOf(const http::Head& head) const = 0;  //!< Whose request it is
    [[nodiscard]] virtual bool        isRepeatable(const http::Head& head) const = 0; //!< It may run more than once
    [[nodiscard]] virtual const deployment::CallerLimits& limits() const = 0;         //!< In force
    [[nodiscard]] virtual bool                            configured() const = 0; //!< Whether these are the operator's
    [[nodiscard]] virtual bool closesConnections() const = 0; //!< Connections end at the next answer
};

} // namespace sailpath::gateway::priv

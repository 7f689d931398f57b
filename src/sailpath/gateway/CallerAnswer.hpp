#pragma once

#include "BodyReservation.hpp"

#include <sailpath/core/Time.hpp>
#include <sailpath/http/Head.hpp>

#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief An answer that the gateway itself gives, instead of a server
////////////////////////////////////////////////////////////
struct LocalAnswer
{
    unsigned         status{503};        //!< HTTP status
    std::string_view reason;             //!< Text of the body
    core::Duration   retryAfter{};       //!< `Retry-After` field; 0 for none
    bool             retryAtOnce{false}; //!< Send a `Retry-After` field of 0
};

////////////////////////////////////////////////////////////
/// \brief An answer as it is written to a caller
///
/// The head is incomplete until `finishHead`: whether the connection closes
/// after the answer is known only when the answer is about to be written.
////////////////////////////////////////////////////////////
struct CallerAnswer
{
    std::string head; //!< Status line and header fields
    std::string body; //!< Empty when the answer has no body

    BodyReservation reservation{}; //!< Memory of the body of a server's answer

    void finishHead(bool close); //!< Add `Connection: close` if asked for, and the empty line
};

////////////////////////////////////////////////////////////
/// \brief Make the caller's answer from a server's answer
///
/// \param headOnly True for a `HEAD` request, whose answer has no body
////////////////////////////////////////////////////////////
[[nodiscard]] CallerAnswer makeAnswer(const http::Head& head, std::string body, bool headOnly);

////////////////////////////////////////////////////////////
/// \brief Make the caller's answer from one of the gateway itself
////////////////////////////////////////////////////////////
[[nodiscard]] CallerAnswer makeAnswer(const LocalAnswer& local, bool headOnly);

} // namespace sailpath::gateway::priv

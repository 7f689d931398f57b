#pragma once

#include <sailpath/balance/Balancer.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/http/Head.hpp>

#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Derive the outcome of a request from the head of its complete answer, which `AnswerMatcher` assigned to it
////////////////////////////////////////////////////////////
[[nodiscard]] balance::Outcome classifyAnswer(const http::Head& head, const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief Derive the outcome of a probe from the head of a server's health answer
///
/// \param instance Id of the instance that the probe was sent to
////////////////////////////////////////////////////////////
[[nodiscard]] balance::Outcome classifyProbe(const http::Head& head, std::string_view instance, const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief Read from an answer whether its server leaves or backs off
///
/// \param probe    True for a health answer, which carries no request id
/// \param instance Id of the instance that the request was sent to
///
/// \return An empty notice when another instance answered
////////////////////////////////////////////////////////////
[[nodiscard]] balance::ServerNotice parseNotice(const http::Head& head, bool probe, std::string_view instance,
                                                const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief Read the time that the server keeps an idle connection open from `Keep-Alive`; 0 when it is not given
////////////////////////////////////////////////////////////
[[nodiscard]] core::Duration parseKeepAlive(const http::Head& head);

} // namespace sailpath::gateway::priv

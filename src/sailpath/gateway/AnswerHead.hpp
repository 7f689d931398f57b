#pragma once

#include <sailpath/balance/Balancer.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/http/Head.hpp>

#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief What became of a request, as the head of the whole answer tells
////////////////////////////////////////////////////////////
[[nodiscard]] balance::Outcome classifyAnswer(const http::Head& head, const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief What the head of a health answer tells
///
/// \param instance Id of the instance that was asked
////////////////////////////////////////////////////////////
[[nodiscard]] balance::Outcome classifyProbe(const http::Head& head, std::string_view instance, const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief What an answer says of the requests that its server wants; empty when another instance speaks
///
/// \param probe    It is a health answer, which repeats no id of a request
/// \param instance Id of the instance that was asked
////////////////////////////////////////////////////////////
[[nodiscard]] balance::ServerNotice parseNotice(const http::Head& head, bool probe, std::string_view instance,
                                                const Dialect& dialect);

////////////////////////////////////////////////////////////
/// \brief How long its server keeps the connection at rest; 0 when it does not say
////////////////////////////////////////////////////////////
[[nodiscard]] core::Duration parseKeepAlive(const http::Head& head);

} // namespace sailpath::gateway::priv

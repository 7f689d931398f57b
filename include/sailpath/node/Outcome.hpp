#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>
#include <sailpath/routing/LoadReport.hpp>

#include <optional>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief How an attempt ended, as the forwarding program saw it
////////////////////////////////////////////////////////////
struct Outcome
{
    retries::AttemptResult             result{retries::AttemptResult::Unknown}; //!< How it ended
    std::optional<routing::LoadReport> report;                                  //!< Load report on the answer
    bool                               draining{false};       //!< The answer says that the server is leaving
    bool                               retryForbidden{false}; //!< The answer says not to retry
    bool                               bodyReplayable{true};  //!< Whether the request's body can be sent once more
    core::Duration                     retryAfter{};          //!< When the server says to come back, if it does
};

} // namespace sailpath::node

#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>
#include <sailpath/routing/LoadReport.hpp>

#include <optional>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Result of an attempt as observed by the program that forwarded the request
////////////////////////////////////////////////////////////
struct Outcome
{
    retries::AttemptResult             result{retries::AttemptResult::Unknown}; //!< Result of the attempt
    std::optional<routing::LoadReport> report;                                  //!< Load report carried by the answer
    bool                               draining{false};       //!< The answer states that the server is draining
    bool                               retryForbidden{false}; //!< The answer forbids retries
    bool                               bodyReplayable{true};  //!< Whether the request's body can be sent again
    core::Duration retryAfter{}; //!< Time after which the server accepts a retry; zero if the answer names none
};

} // namespace sailpath::node

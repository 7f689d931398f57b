#pragma once

#include <sailpath/config/Service.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>
#include <sailpath/retries/RetryBudget.hpp>

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
/// \brief State of a request at the end of one of its attempts
////////////////////////////////////////////////////////////
struct AttemptRecord
{
    AttemptResult  result{AttemptResult::Unknown}; //!< Result of the attempt
    bool           repeatable{false};              //!< Whether the route is configured as repeatable
    bool           bodyReplayable{true};           //!< Whether the request body can be sent again
    bool           retryForbidden{false};          //!< Whether the answer forbids a retry
    unsigned       attempts{1};                    //!< Number of attempts made, including this one
    core::Duration timeLeft{};                     //!< Time until the deadline of the request
    core::Duration expected{};                     //!< Expected duration of another attempt
};

////////////////////////////////////////////////////////////
/// \brief Decide whether a request is sent again
///
/// A request that is not repeatable is sent again only when no byte of it
/// can have reached a server.
///
/// \param record State of the request after the attempt
/// \param rule   Configured retry rule of the service
/// \param budget Retry budget, charged when a retry is allowed
////////////////////////////////////////////////////////////
[[nodiscard]] bool shouldRetry(const AttemptRecord& record, const config::RetryRule& rule, RetryBudget& budget);

} // namespace sailpath::retries

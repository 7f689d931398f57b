#pragma once

#include <sailpath/config/Service.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/retries/AttemptResult.hpp>
#include <sailpath/retries/RetryBudget.hpp>

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
/// \brief What is known of a request when one attempt at it has ended
////////////////////////////////////////////////////////////
struct AttemptRecord
{
    AttemptResult  result{AttemptResult::Unknown}; //!< How the attempt ended
    bool           repeatable{false};              //!< Operators' rule for its route
    bool           bodyReplayable{true};           //!< Whether the body can be sent once more
    bool           retryForbidden{false};          //!< The answer says not to retry
    unsigned       attempts{1};                    //!< Attempts made, this one included
    core::Duration timeLeft{};                     //!< Time until its deadline
    core::Duration expected{};                     //!< Time that another attempt should take
};

////////////////////////////////////////////////////////////
/// \brief Decide whether a request is sent once more
///
/// A request that may not be repeated is sent again only when no byte of it
/// can have reached a server.
///
/// \param record What is known
/// \param rule   Operators' rule
/// \param budget Charged when the answer is yes
////////////////////////////////////////////////////////////
[[nodiscard]] bool shouldRetry(const AttemptRecord& record, const config::RetryRule& rule, RetryBudget& budget);

} // namespace sailpath::retries

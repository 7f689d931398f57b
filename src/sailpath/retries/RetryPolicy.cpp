#include <sailpath/retries/RetryPolicy.hpp>

namespace sailpath::retries
{
namespace
{
////////////////////////////////////////////////////////////
bool isSafeToResend(const AttemptRecord& record)
{
    if (record.result == AttemptResult::NotSent)
        return true;
    const bool failed = record.result == AttemptResult::Failed || record.result == AttemptResult::Shed ||
                        record.result == AttemptResult::Unknown;
    return failed && record.repeatable;
}

} // namespace

////////////////////////////////////////////////////////////
bool shouldRetry(const AttemptRecord& record, const config::RetryRule& rule, RetryBudget& budget)
{
    if (!isSafeToResend(record) || !record.bodyReplayable || record.retryForbidden)
        return false;
    if (record.attempts >= rule.attempts || record.timeLeft <= record.expected)
        return false;
    return budget.tryConsume();
}

} // namespace sailpath::retries

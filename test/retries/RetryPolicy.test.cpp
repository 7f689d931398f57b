#include <sailpath/retries/RetryPolicy.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using retries::AttemptRecord;
using retries::AttemptResult;

////////////////////////////////////////////////////////////
bool isRetried(const AttemptRecord& record)
{
    retries::RetryBudget budget(0.1);
    return retries::shouldRetry(record, {2, 0.1}, budget);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryPolicy)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(nonRepeatableRequestsAreRetriedOnlyWhenNotSent)
{
    for (const AttemptResult result : {AttemptResult::Answered, AttemptResult::Failed, AttemptResult::Shed,
                                       AttemptResult::Unknown, AttemptResult::Abandoned})
        BOOST_TEST(!isRetried({result, false, true, false, 1, 1s, 10ms}));
    BOOST_TEST(isRetried({AttemptResult::NotSent, false, true, false, 1, 1s, 10ms}));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(repeatableRequestsAreRetriedAfterFailures)
{
    for (const AttemptResult result : {AttemptResult::Failed, AttemptResult::Shed, AttemptResult::Unknown})
        BOOST_TEST(isRetried({result, true, true, false, 1, 1s, 10ms}));
    BOOST_TEST(!isRetried({AttemptResult::Answered, true, true, false, 1, 1s, 10ms}));
    BOOST_TEST(!isRetried({AttemptResult::Abandoned, true, true, false, 1, 1s, 10ms}));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(retriesRespectAnswerBodyAttemptsAndDeadline)
{
    BOOST_TEST(!isRetried({AttemptResult::Failed, true, true, true, 1, 1s, 10ms}));   // The answer forbids a retry
    BOOST_TEST(!isRetried({AttemptResult::Failed, true, false, false, 1, 1s, 10ms})); // The body cannot be sent again
    BOOST_TEST(!isRetried({AttemptResult::Failed, true, true, false, 2, 1s, 10ms}));  // No attempts left
    BOOST_TEST(!isRetried({AttemptResult::Failed, true, true, false, 1, 5ms, 10ms})); // Too little time left
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(theBudgetLimitsRetriesWhenAllRequestsFail)
{
    retries::RetryBudget budget(0.1);
    int                  allowed = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        budget.recordFirstAttempt();
        allowed +=
            retries::shouldRetry({AttemptResult::Failed, true, true, false, 1, 1s, 1ms}, {2, 0.1}, budget) ? 1 : 0;
    }
    BOOST_TEST(allowed <= 1001);
    BOOST_TEST(allowed >= 990);
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/limits.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using config::Priority;
using limits::WaitingRequest;

constexpr core::Timestamp start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(concurrencyLimitFallsBelowOneAndRecovers)
{
    limits::ConcurrencyLimit limit(3, 200, {});
    core::Timestamp          now = start;
    for (int i = 0; i < 200; ++i)
        limit.recordSuccess(20.0, 1, now += 25ms);
    BOOST_TEST(limit.value() == 0.1, boost::test_tools::tolerance(1e-9));
    for (int i = 0; i < 100; ++i)
        limit.recordSuccess(1.0, 10, now += 1ms);
    BOOST_TEST(limit.value() > 3.0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unusedConcurrencyLimitDoesNotGrow)
{
    limits::ConcurrencyLimit limit(10, 200, {});
    for (int i = 0; i < 100; ++i)
        limit.recordSuccess(1.0, 0, start);
    BOOST_TEST(limit.value() == 10.0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(batchWaitsForInteractiveButIsNotStarved)
{
    limits::WaitQueue             queue(100);
    std::optional<WaitingRequest> displaced;
    for (std::uint32_t i = 0; i < 20; ++i)
        BOOST_TEST(queue.push({i, Priority::Interactive, start, start + 1s}, displaced));
    BOOST_TEST(queue.push({100, Priority::Batch, start, start + 1s}, displaced));
    int served = 0;
    while (queue.front()->ticket != 100)
    {
        queue.pop();
        ++served;
    }
    BOOST_TEST(served == 7);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aFullQueueDisplacesTheNewestBatchRequest)
{
    limits::WaitQueue             queue(2);
    std::optional<WaitingRequest> displaced;
    BOOST_TEST(queue.push({1, Priority::Batch, start, start + 1s}, displaced));
    BOOST_TEST(queue.push({2, Priority::Batch, start, start + 1s}, displaced));
    BOOST_TEST(!queue.push({3, Priority::Batch, start, start + 1s}, displaced));
    BOOST_TEST(queue.push({4, Priority::Interactive, start, start + 1s}, displaced));
    BOOST_REQUIRE(displaced);
    BOOST_TEST(displaced->ticket == 2U);
    BOOST_TEST(queue.size() == 2U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(expiredAndCancelledRequestsLeaveTheQueue)
{
    limits::WaitQueue             queue(10);
    std::optional<WaitingRequest> displaced;
    BOOST_TEST(queue.push({1, Priority::Interactive, start, start + 5ms}, displaced));
    BOOST_TEST(queue.push({2, Priority::Interactive, start, start + 50ms}, displaced));
    BOOST_TEST(!queue.popExpired(start + 4ms));
    BOOST_TEST(queue.popExpired(start + 5ms)->ticket == 1U);
    BOOST_TEST(queue.remove(2));
    BOOST_TEST(!queue.remove(2));
    BOOST_TEST(queue.size() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aFloodingWorkspaceLeavesRoom)
{
    limits::WorkspaceShares shares(100);
    std::size_t             taken = 0;
    while (shares.acquire("noisy"))
        ++taken;
    BOOST_TEST(taken == 80U);
    std::size_t quiet = 0;
    while (shares.acquire("quiet"))
        ++quiet;
    BOOST_TEST(quiet >= 15U);
    for (std::size_t i = 0; i < taken; ++i)
        shares.release("noisy");
    BOOST_TEST(shares.totalHeld() == quiet);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(probesNeverExceedTheProbeTimeBudget)
{
    limits::ProbeTimeBudget budget(30, start);
    BOOST_TEST(!budget.charge(6ms, start));
    double spent = 0;
    for (core::Timestamp now = start; now < start + 10s; now += 1ms)
        spent += budget.charge(6ms, now) ? 6 : 0;
    BOOST_TEST(spent <= 300.0);
    BOOST_TEST(spent >= 290.0);
    BOOST_TEST(budget.charge(6ms, start + 1h));
    BOOST_TEST(!budget.charge(6ms, start + 1h));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aBudgetOfZeroAllowsNoProbe)
{
    limits::ProbeTimeBudget budget(0, start);
    BOOST_TEST(!budget.charge(6ms, start + 1h));
    BOOST_TEST(!budget.charge(0ms, start + 1h));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(waitLimitIsLowWhileTheQueueStands)
{
    limits::QueueWaitLimit limit;
    core::Timestamp        now = start;
    for (; now < start + 600ms; now += 10ms)
        limit.observe(false, now);
    BOOST_TEST((limit.maxWait(250ms, 15ms, now) == 30ms));
    limit.observe(true, now);
    BOOST_TEST((limit.maxWait(250ms, 15ms, now) == 30ms));
    limit.observe(true, now + 200ms);
    BOOST_TEST((limit.maxWait(250ms, 15ms, now + 200ms) == 250ms));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(rateLimitsOfKeysAreIndependent)
{
    limits::RateLimit rate(1, 2);
    BOOST_TEST(rate.allow("a", start));
    BOOST_TEST(rate.allow("a", start));
    BOOST_TEST(!rate.allow("a", start));
    BOOST_TEST(rate.allow("b", start));
    BOOST_TEST(rate.allow("a", start + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

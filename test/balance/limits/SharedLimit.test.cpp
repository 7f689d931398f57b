#include <sailpath/balance/SharedLimit.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::SharedLimit;
using balance::unlimited;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
SharedLimit limitOf(double perSecond)
{
    SharedLimit limit(0, start);
    limit.recordLimit(perSecond, start, start);
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharedLimitTest)

BOOST_AUTO_TEST_CASE(RequestsLowerTheProbabilityAndTimeRaisesIt)
{
    SharedLimit limit = limitOf(3.5);
    BOOST_TEST(limit.admissionProbability(start) == 1.0);
    limit.recordSent(2, start);
    const double closed = limit.admissionProbability(start);
    BOOST_TEST(closed < 0.3);
    limit.recordSentElsewhere(2, limit.log2Probability(start), start);
    BOOST_TEST(limit.admissionProbability(start) < 0.3 * closed);
    BOOST_TEST(limit.admissionProbability(start + 500ms) > 2 * limit.admissionProbability(start));
    BOOST_TEST(limit.admissionProbability(start + 20s) <= 1.0);
    BOOST_TEST(limit.sentHere() == 2.0);
    BOOST_TEST(limit.sentByAll() == 4.0);
}

BOOST_AUTO_TEST_CASE(ProbabilityRecoversWithoutRequestsAndReports)
{
    for (const double perSecond : {0.2, 3.5, 50.0})
    {
        SharedLimit limit = limitOf(perSecond);
        limit.recordSent(12 * (0.4 + 0.12 * perSecond), start);
        BOOST_TEST(limit.admissionProbability(start) < 0.001);
        BOOST_TEST(limit.admissionProbability(start + 60s) == 1.0);
        BOOST_TEST(limit.admits(0.99, 0, start + 60s));
    }
}

BOOST_AUTO_TEST_CASE(AtMostARequestOrTwoIsSavedUp)
{
    SharedLimit limit = limitOf(3.5);
    limit.recordSent(2, start + 60s);
    BOOST_TEST(limit.admissionProbability(start + 60s) < 0.5);
}

BOOST_AUTO_TEST_CASE(UrgentRequestsAreAdmittedBeforeOthers)
{
    SharedLimit limit = limitOf(3.5);
    limit.recordSent(2, start);
    const double draw = 0.9 * limit.admissionProbability(start);
    BOOST_TEST(limit.admits(draw, 0, start));
    BOOST_TEST(!limit.admits(draw, 1, start));
    BOOST_TEST(limitOf(3.5).admits(0.99, 3, start)); // The limit is not used up yet
}

BOOST_AUTO_TEST_CASE(LowestOfLimitsNamedWithinAShortTimeHoldsInAnyOrder)
{
    SharedLimit limit = limitOf(3.5);
    BOOST_TEST(limit.recordLimit(9, start + 10ms, start + 10ms));
    BOOST_TEST(limit.perSecond(start + 10ms) == 3.5);
    BOOST_TEST(limit.perSecond(start + 300ms) == 9.0);
    // An older limit that other nodes report late holds for a short time only.
    limit.recordLimit(2, start + 5ms, start + 400ms);
    BOOST_TEST(limit.perSecond(start + 400ms) == 2.0);
    BOOST_TEST(limit.perSecond(start + 700ms) == 9.0);
    // A limit that is much older is ignored.
    limit.recordLimit(8, start + 1s, start + 1s);
    limit.recordLimit(1, start + 5ms, start + 1s);
    BOOST_TEST(limit.perSecond(start + 1s) == 8.0);
}

BOOST_AUTO_TEST_CASE(LimitEndsWhenUnlimitedIsNamedAndRecoversWithinSeconds)
{
    SharedLimit limit = limitOf(3.5);
    limit.recordSent(20, start);
    BOOST_TEST(limit.recordLimit(unlimited, start + 1s, start + 1s));
    BOOST_TEST(!limit.hasEnded(start + 1s));
    BOOST_TEST(limit.admissionProbability(start + 1100ms) < 0.5); // Nodes do not all come back at once
    limit.recordLimit(unlimited, start + 1500ms, start + 1500ms);
    limit.recordLimit(unlimited, start + 2s, start + 2s);
    limit.recordLimit(unlimited, start + 2500ms, start + 2500ms);
    BOOST_TEST(limit.hasEnded(start + 3s));
}

BOOST_AUTO_TEST_CASE(ServerWithALimitOfZeroIsTriedAtTimes)
{
    // Otherwise no node would learn that the server accepts requests again.
    SharedLimit limit = limitOf(0);
    limit.recordSent(1, start);
    BOOST_TEST(limit.admissionProbability(start) < 0.5);
    for (auto now = start; now < start + 12s; now += 500ms)
        limit.recordLimit(0, now, now);
    BOOST_TEST(limit.admissionProbability(start + 12s) == 1.0);
}

BOOST_AUTO_TEST_CASE(ExtremeReportsOfOtherNodesAreBounded)
{
    SharedLimit limit = limitOf(3.5);
    limit.recordSentElsewhere(1e9, -1e9, start);
    for (auto now = start; now < start + 10s; now += 500ms)
        limit.recordLimit(3.5, now, now);
    BOOST_TEST(limit.admissionProbability(start + 10s) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

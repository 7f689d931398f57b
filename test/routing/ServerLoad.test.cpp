#include <sailpath/routing/ServerLoad.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

constexpr core::Timestamp start{1h};
constexpr double          usualWork = 10;

////////////////////////////////////////////////////////////
void answerAfter(routing::ServerLoad& load, core::Duration latency)
{
    load.recordSent(start);
    load.recordEnded(start);
    (void)load.recordLatency(latency, usualWork);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLoad)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(agingReportsApproachTheExpectedLoad)
{
    routing::ServerLoad load(3, 0ms, {});
    BOOST_TEST(load.othersInFlight(start, 2.0) == 2.0);
    load.recordReport({8}, start);
    BOOST_TEST(load.othersInFlight(start, 2.0) == 8.0);
    BOOST_TEST(load.othersInFlight(start + 20ms, 2.0) == 5.0);
    BOOST_TEST(load.othersInFlight(start + 1s, 2.0) == 2.0, boost::test_tools::tolerance(1e-9));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anOlderReportIsIgnored)
{
    routing::ServerLoad load(3, 0ms, {});
    load.recordReport({8}, start);
    load.recordReport({0}, start - 1ms);
    BOOST_TEST(load.othersInFlight(start, 2.0) == 8.0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(ownRequestsAreNotCountedTwice)
{
    routing::ServerLoad load(3, 0ms, {});
    load.recordSent(start);
    load.recordSent(start);
    load.recordReport({5}, start);
    BOOST_TEST(load.occupancy(start, 0.0) == 5.0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aPeakOfWorkTakesEffectAtOnceAndDecays)
{
    routing::ServerLoad load(3, 0ms, {});
    for (int i = 0; i < 50; ++i)
        answerAfter(load, 10ms);
    BOOST_TEST(load.workMilliseconds(start, usualWork) < 11.0);
    for (int i = 0; i < 2; ++i)
        answerAfter(load, 100ms);
    BOOST_TEST(load.workMilliseconds(start, usualWork) > 40.0);
    for (int i = 0; i < 30; ++i)
        answerAfter(load, 10ms);
    BOOST_TEST(load.workMilliseconds(start, usualWork) < 25.0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anOverdueRequestRaisesTheEstimatedWork)
{
    routing::ServerLoad load(3, 0ms, {});
    for (int i = 0; i < 50; ++i)
        answerAfter(load, 10ms);
    load.recordSent(start);
    BOOST_TEST(load.workMilliseconds(start + 20ms, usualWork) < 12.0);
    BOOST_TEST(load.workMilliseconds(start + 90ms, usualWork) == 90.0);
}

BOOST_AUTO_TEST_SUITE_END()

// What a node has learned may delay requests, never refuse them for good: each estimate is tested again by requests.

#include <support/RelearningFixture.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::RelearningFixture;

constexpr unsigned     callers = 60;
constexpr unsigned     singleRequests = 20;
constexpr double       servedShare = 0.95;
constexpr unsigned     serverCount = 13;
constexpr unsigned     slotCount = 6;
constexpr auto         timeout = 4s;
const std::vector<int> withAndWithoutProbes{0, 1};

struct Relearning : RelearningFixture
{
    explicit Relearning(bool probes, unsigned slots = slotCount, unsigned servers = serverCount) :
    RelearningFixture(timeout, servers, slots, probes)
    {
        work = [] { return core::Duration{100ms}; };
    }

    /// \brief Let one caller send a request a second to the idle service, and return how many are answered
    unsigned answeredOfSingleCaller()
    {
        Tally single;
        call(singleRequests, 900ms, single);
        run(1min);
        return single.answered;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelearningTest)

// Guards against a burst whose answers each move the estimate as if they were the only one.
BOOST_DATA_TEST_CASE(ABurstOnAFreshRouteIsServed, withAndWithoutProbes, probes)
{
    Relearning node(probes != 0);
    node.start();
    RelearningFixture::Tally burst;
    for (unsigned i = 0; i < callers; ++i)
        node.call(5, 0ms, burst);
    node.run(20s);
    BOOST_TEST(burst.answered >= servedShare * burst.requests, burst.answered << " of " << burst.requests);
    BOOST_TEST(node.answeredOfSingleCaller() == singleRequests);
}

// Guards against an estimate that was learned from a pause of the servers and then refuses for good.
BOOST_DATA_TEST_CASE(AWarmRouteIsServedAfterAPauseOfAllServers, withAndWithoutProbes, probes)
{
    Relearning node(probes != 0);
    node.start();
    RelearningFixture::Tally warm;
    for (unsigned i = 0; i < callers; ++i)
        node.schedule(i * 50ms, [&node, &warm] { node.call(100, 0ms, warm); });
    node.run(6s);
    node.work = [] { return core::Duration{1100ms}; };
    node.run(2s);
    node.work = [] { return core::Duration{100ms}; };
    node.run(5s);
    const auto before = warm;
    node.run(5s);
    const unsigned requests = warm.requests - before.requests;
    BOOST_TEST(requests > 100);
    BOOST_TEST(warm.answered - before.answered >= servedShare * requests,
               warm.answered - before.answered << " of " << requests);
    node.run(1min);
    BOOST_TEST(node.answeredOfSingleCaller() == singleRequests);
}

// Guards against a snapshot whose values refuse requests and are never compared with what servers do.
BOOST_DATA_TEST_CASE(AWrongSnapshotIsReplaced, withAndWithoutProbes, probes)
{
    for (const double workMs : {1.0, 1000.0, 3000.0, 127'000.0, 600'000.0})
    {
        Relearning node(probes != 0);
        auto       learned = std::make_shared<snapshot::LearnedState>();
        learned->routes.push_back({"portal", "read", workMs, 0});
        learned->services.push_back({"portal", 5, 4, 0});
        node.declared.learned = learned;
        node.start();
        BOOST_TEST(node.answeredOfSingleCaller() >= singleRequests - 1, workMs);
    }
}

// A server with one slot counts as crowded by its first request, so its answers move the estimate less.
BOOST_AUTO_TEST_CASE(AWrongSnapshotIsReplacedWithServersOfOneSlot)
{
    Relearning node(true, 1);
    auto       learned = std::make_shared<snapshot::LearnedState>();
    learned->routes.push_back({"portal", "read", 127'000, 0});
    learned->services.push_back({"portal", 5, 4, 0});
    node.declared.learned = learned;
    node.start();
    BOOST_TEST(node.answeredOfSingleCaller() >= singleRequests - 1);
}

// Guards against latency ratios that were learned from a pause and keep all servers out.
BOOST_DATA_TEST_CASE(ServersThatWereSlowAreTriedAgain, withAndWithoutProbes, probes)
{
    Relearning node(probes != 0);
    node.start();
    RelearningFixture::Tally warm;
    for (unsigned i = 0; i < callers; ++i)
        node.call(200, 100ms, warm);
    node.run(5s);
    node.work = [] { return core::Duration{3900ms}; };
    node.run(8s);
    node.work = [] { return core::Duration{100ms}; };
    node.run(5s);
    const auto before = warm;
    node.run(5s);
    const unsigned requests = warm.requests - before.requests;
    BOOST_TEST(warm.answered - before.answered >= servedShare * requests,
               warm.answered - before.answered << " of " << requests);
}

// Guards against trials that crowd servers which are busy indeed.
BOOST_DATA_TEST_CASE(BusyServersGetFewTrials, withAndWithoutProbes, probes)
{
    constexpr double capacityPerS = 4;
    Relearning       node(probes != 0, slotCount, 1);
    node.start();
    node.work = [] { return core::Duration{1500ms}; };
    RelearningFixture::Tally busy;
    for (unsigned i = 0; i < callers; ++i)
        node.call(1000, 100ms, busy);
    node.run(10s);
    const unsigned before = node.sends;
    node.run(20s);
    BOOST_TEST(busy.requests > 10 * busy.answered);
    BOOST_TEST(node.sends - before <= 1.25 * 20 * capacityPerS, node.sends - before << " sends in 20 s");
    BOOST_TEST(node.sends - before >= 0.5 * 20 * capacityPerS, node.sends - before << " sends in 20 s");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkEstimatorStepsTest)

// Answers of requests that were sent together tell one thing, however many they are.
BOOST_AUTO_TEST_CASE(TheUsualTimeFollowsAStepWithinThreeRoundTrips)
{
    constexpr core::Timestamp at{1h};
    for (const unsigned inFlight : {20U, 60U, 200U, 2000U})
    {
        for (const double workMs : {1.0, 10.0, 300.0, 30'000.0})
        {
            for (const double factor : {100.0, 10.0, 0.1, 0.01})
            {
                const double           truth = std::clamp(workMs * factor, 1.0, 600'000.0);
                balance::WorkEstimator work(100ms);
                const auto             roundTrip = [&](double tookMs)
                {
                    const double assumedMs = work.ms("r");
                    for (unsigned i = 0; i < inFlight; ++i)
                        work.learn("r", {tookMs, assumedMs, assumedMs, 0, 1, false}, at);
                };
                for (int i = 0; i < 20; ++i)
                    roundTrip(workMs);
                double lowest = work.ms("r");
                double highest = lowest;
                for (int i = 0; i < 3; ++i)
                {
                    roundTrip(truth);
                    lowest = std::min(lowest, work.ms("r"));
                    highest = std::max(highest, work.ms("r"));
                }
                BOOST_TEST_CONTEXT(inFlight << " in flight, " << workMs << " to " << truth << " ms")
                {
                    BOOST_TEST(lowest >= 0.999 * std::min(workMs, truth));
                    BOOST_TEST(highest <= 1.001 * std::max(workMs, truth));
                    BOOST_TEST(work.ms("r") <= 1.5 * truth);
                    BOOST_TEST(work.ms("r") >= truth / 1.5);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

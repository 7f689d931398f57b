// An event loop that stands still, told by another thread.

#include <sailpath/gateway/LoopWatchdog.hpp>
#include <sailpath/gateway/StallDetector.hpp>

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using gateway::StallDetector;

} // namespace

BOOST_AUTO_TEST_SUITE(StallsTest)

BOOST_AUTO_TEST_CASE(AStallIsReportedWhenFoundEachTimeItDoublesAndWhenItEnds)
{
    core::Timestamp now{1h};
    StallDetector   detector(1500ms, 1s, now);
    std::string     seen;
    for (unsigned second = 1; second <= 20; ++second)
    {
        now += 1s;
        const std::uint64_t beats = second < 5 ? second : second < 18 ? 5 : second;
        if (const auto stall = detector.observe(beats, now))
            seen += std::to_string(second) + (stall->ended ? "e" : "s") + std::to_string(stall->lasted / 1s) + " ";
    }
    BOOST_TEST(seen == "7s2 9s4 13s8 18e13 ");
}

BOOST_AUTO_TEST_CASE(APauseOfTheWholeProcessIsNoStallOfTheLoop)
{
    core::Timestamp now{1h};
    StallDetector   detector(1500ms, 1s, now);
    now += 60s;
    BOOST_TEST(!detector.observe(0, now).has_value());
    now += 1600ms;
    BOOST_TEST(!detector.observe(0, now).has_value());
    now += 1s;
    BOOST_TEST(!detector.observe(0, now).has_value());
    now += 1s;
    BOOST_TEST(detector.observe(0, now).has_value());
}

// Guards against a loop that hangs without a line in the log.
BOOST_AUTO_TEST_CASE(AnotherThreadLogsThatTheLoopStandsStillAndWhatItBeganLast)
{
    support::PatientFixture     setup;
    const gateway::LoopWatchdog watchdog(setup.gateway->progress(), setup.log);
    support::TestCaller         caller(setup.gateway->port());
    caller.write(support::Fixture::request("/read/x", "a1"));
    BOOST_TEST(support::statusOf(caller.readAnswer()) == 200);
    setup.onLoop([] { std::this_thread::sleep_for(3500ms); });
    std::this_thread::sleep_for(2500ms);
    const std::lock_guard<std::mutex> lock(setup.log.mutex);
    BOOST_TEST(setup.log.text.find("loop-stalled ms=") != std::string::npos);
    BOOST_TEST(setup.log.text.find(" last=") != std::string::npos);
    BOOST_TEST(setup.log.text.find("loop-resumed ms=") != std::string::npos);
    BOOST_TEST(watchdog.counts().stalls == 1U);
    BOOST_TEST((watchdog.counts().longest >= 2s));
}

BOOST_AUTO_TEST_SUITE_END()

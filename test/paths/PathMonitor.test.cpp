#include <sailpath/paths/PathMonitor.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using paths::PathMonitor;
using paths::PathState;

////////////////////////////////////////////////////////////
/// \brief A monitor, and servers of two services in two data centres
////////////////////////////////////////////////////////////
struct MonitorFixture
{
    static deployment::Instance server(const std::string& id, const std::string& service, const std::string& dataCentre)
    {
        return {id, service, "10.0.0.1", 80, dataCentre, 3, false, {}, 1};
    }

    void lose(const deployment::Instance& instance)
    {
        monitor.recordFailed(instance, now, now);
        monitor.recordReached(instance, now);
        monitor.recordFailed(instance, now, now);
    }

    core::Timestamp      now{std::chrono::seconds{100}};
    PathMonitor          monitor;
    deployment::Instance a1{server("a1", "a", "north")};
    deployment::Instance a2{server("a2", "a", "south")};
    deployment::Instance a3{server("a3", "a", "east")};
    deployment::Instance b1{server("b1", "b", "north")};
    deployment::Instance b2{server("b2", "b", "west")};
};

} // namespace

BOOST_AUTO_TEST_SUITE(PathMonitorTest)

BOOST_FIXTURE_TEST_CASE(AFailureAloneLosesNoPath, MonitorFixture)
{
    for (const auto& instance : {a1, a2, a3, b1})
        monitor.recordFailed(instance, now, now);
    BOOST_CHECK(monitor.state(a1, now) == PathState::Suspect);
    BOOST_CHECK(monitor.state(b2, now) == PathState::Direct);
    BOOST_TEST(monitor.takeChanges().empty());
    BOOST_CHECK(monitor.state(a1, now + 4s) == PathState::Direct);
}

BOOST_FIXTURE_TEST_CASE(AServerThatAHelperReachesHasALostPath, MonitorFixture)
{
    lose(a1);
    BOOST_CHECK(monitor.state(a1, now) == PathState::Lost);
    BOOST_CHECK(monitor.state(a2, now) == PathState::Direct);
    BOOST_CHECK(monitor.state(a1, now + 2500ms) == PathState::Suspect);
}

BOOST_FIXTURE_TEST_CASE(AServerThatStartsWhileItIsTriedHasNoLostPath, MonitorFixture)
{
    for (const auto& instance : {a1, a2})
    {
        monitor.recordFailed(instance, now - 80ms, now);
        monitor.recordReached(instance, now);
    }
    BOOST_CHECK(monitor.state(a1, now) == PathState::Suspect);
    BOOST_TEST(monitor.needsTrial(a1, now));
    monitor.recordHeard(a1, now + 2ms, now + 4ms);
    BOOST_CHECK(monitor.state(a1, now + 4ms) == PathState::Direct);
    BOOST_TEST(!monitor.needsTrial(a1, now + 4ms));
    monitor.recordFailed(a2, now + 2ms, now + 122ms);
    BOOST_CHECK(monitor.state(a2, now + 122ms) == PathState::Lost);
}

BOOST_FIXTURE_TEST_CASE(TwoLostServersStandForTheirService, MonitorFixture)
{
    lose(a1);
    lose(a2);
    BOOST_CHECK(monitor.state(a3, now) == PathState::Lost);
    BOOST_CHECK(monitor.state(b2, now) == PathState::Direct);
    const auto changes = monitor.takeChanges();
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(changes[0].group == "service/a");
    BOOST_TEST(changes[0].lost);
}

BOOST_FIXTURE_TEST_CASE(TwoLostServersStandForTheirDataCentre, MonitorFixture)
{
    lose(a1);
    lose(b1);
    BOOST_CHECK(monitor.state(server("c1", "c", "north"), now) == PathState::Lost);
    BOOST_CHECK(monitor.state(a2, now) == PathState::Direct);
}

BOOST_FIXTURE_TEST_CASE(ANewConnectionRegainsThePathAndAnOldOneDoesNot, MonitorFixture)
{
    lose(a1);
    lose(a2);
    (void)monitor.takeChanges();
    monitor.recordHeard(a3, now - 1s, now + 100ms);
    BOOST_CHECK(monitor.state(a3, now + 100ms) == PathState::Lost);
    monitor.recordHeard(a3, now + 200ms, now + 210ms);
    BOOST_CHECK(monitor.state(a3, now + 210ms) == PathState::Direct);
    BOOST_CHECK(monitor.state(a1, now + 210ms) == PathState::Suspect);
    const auto changes = monitor.takeChanges();
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(!changes[0].lost);
}

BOOST_FIXTURE_TEST_CASE(AnOutageOfServersIsNoLostPath, MonitorFixture)
{
    for (const auto& instance : {a1, a2, a3})
    {
        monitor.recordFailed(instance, now, now);
        monitor.recordUnreachable(instance, instance.id == a1.id, now);
    }
    BOOST_TEST(monitor.isRefusing(a1, now));
    BOOST_TEST(!monitor.isRefusing(a2, now));
    BOOST_TEST(!monitor.isRefusing(a1, now + 2s));
    BOOST_CHECK(monitor.state(a1, now) == PathState::Suspect);
    BOOST_TEST(monitor.isUnreachable(a1, now));
    BOOST_TEST(!monitor.isUnreachable(a1, now + 2s));
    BOOST_TEST(!monitor.anyLost(now));
}

BOOST_FIXTURE_TEST_CASE(ALostPathIsTriedAgainAtIntervals, MonitorFixture)
{
    BOOST_TEST(!monitor.nextRecheck(now).has_value());
    lose(a1);
    lose(a2);
    unsigned rechecks = 0;
    for (auto at = now; at < now + 4s; at += 50ms)
    {
        const auto server = monitor.nextRecheck(at);
        if (!server)
            continue;
        ++rechecks;
        monitor.recordFailed(*server, at, at);
    }
    BOOST_TEST(rechecks >= 8U);
    BOOST_TEST(rechecks <= 11U);
    BOOST_CHECK(monitor.state(a3, now + 4s) == PathState::Lost);
}

BOOST_FIXTURE_TEST_CASE(ServersThatAreGoneDoNotKeepAPathLost, MonitorFixture)
{
    lose(a1);
    lose(a2);
    monitor.forget(a1, now);
    monitor.forget(a2, now);
    BOOST_CHECK(monitor.state(a3, now) == PathState::Direct);
    BOOST_TEST(!monitor.anyFailed());
}

BOOST_FIXTURE_TEST_CASE(ARestartedServerStartsWithoutALostPath, MonitorFixture)
{
    lose(a1);
    deployment::Instance restarted = a1;
    restarted.born = 2;
    BOOST_CHECK(monitor.state(restarted, now) == PathState::Direct);
}

BOOST_FIXTURE_TEST_CASE(TheNumberOfFailedPathsIsBounded, MonitorFixture)
{
    for (int i = 0; i < 5000; ++i)
        monitor.recordFailed(server("s" + std::to_string(i), "a", "north"), now, now);
    BOOST_TEST(monitor.list(now).size() <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/replication/ServerGossip.hpp>
#include <support/ReplicaGroup.hpp>

#include <boost/test/unit_test.hpp>

#include <limits>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::ServerGossip;
using replication::ServerReport;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
std::size_t nodesWithFailure(support::ReplicaGroup& group, std::size_t nodes, std::uint32_t server)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        count += group.failureReports(node, server) > 0 ? 1 : 0;
    return count;
}

////////////////////////////////////////////////////////////
std::size_t nodesWithEnd(support::ReplicaGroup& group, std::size_t nodes, std::uint32_t server)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        count += group.endReports(node, server) > 0 ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerNewsTest)

BOOST_AUTO_TEST_CASE(RecordsBecomeOneReportPerInterval)
{
    ServerGossip gossip(1);
    gossip.recordFailure(7);
    gossip.recordFailure(7);
    gossip.recordFailure(8);
    gossip.tick(start);
    gossip.recordFailure(9);
    gossip.tick(start + 100ms);
    BOOST_REQUIRE_EQUAL(gossip.reportsForRelay(0).size(), 1U);
    BOOST_TEST((gossip.reportsForRelay(0)[0].servers == std::vector<std::uint32_t>{7, 8}));
    gossip.tick(start + 350ms);
    BOOST_TEST(gossip.reportsForRelay(0).size() == 2U);
    BOOST_TEST(gossip.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(AReportIsAcceptedOnceAndNotReturnedOnItsLink)
{
    ServerGossip                    gossip(1);
    const std::vector<ServerReport> sent{{2, 10, {7}}};
    gossip.receive(sent, {4, false}, start);
    gossip.receive(sent, {6, true}, start);
    BOOST_TEST(gossip.takeReceived().size() == 1U);
    BOOST_TEST(gossip.reportsForFollower(0, 4).empty());
    BOOST_TEST(gossip.reportsForFollower(0, 8).size() == 1U);
    BOOST_TEST(gossip.reportsForRelay(0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsOfARelayAreNotSentToRelays)
{
    ServerGossip gossip(1);
    gossip.receive(std::vector<ServerReport>{{2, 10, {7}}}, {5, true}, start);
    BOOST_TEST(gossip.reportsForRelay(0).empty());
    BOOST_TEST(gossip.reportsForFollower(0, 8).size() == 1U);
}

BOOST_AUTO_TEST_CASE(OwnReportsAndExpiredReportsAreLeftOut)
{
    ServerGossip gossip(1);
    gossip.receive(std::vector<ServerReport>{{1, 10, {7}}}, {4, false}, start);
    BOOST_TEST(gossip.takeReceived().empty());
    gossip.receive(std::vector<ServerReport>{{2, 10, {7}}}, {4, false}, start);
    gossip.tick(start + 4s);
    BOOST_TEST(gossip.reportsForFollower(0, 8).empty());
}

BOOST_AUTO_TEST_CASE(AReportWithTooManyFailuresIsRejected)
{
    ServerGossip gossip(1);
    ServerReport report{2, 10, {}};
    for (std::uint32_t server = 0; server < 100; ++server)
        report.servers.push_back(server);
    gossip.receive(std::vector<ServerReport>{report}, {4, false}, start);
    BOOST_TEST(gossip.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(EndsUnderRequestsAreReportedAtOnce)
{
    ServerGossip           gossip(1);
    replication::EndRecord record{7, {}, 5, 80, 0};
    gossip.recordFailure(7);
    gossip.tick(start);
    gossip.recordEnd(record, start + 90ms);
    gossip.tick(start + 100ms);
    BOOST_REQUIRE_EQUAL(gossip.reportsForRelay(0).size(), 2U);
    BOOST_TEST(gossip.hasUrgentSince(1));
    BOOST_TEST(!gossip.hasUrgentSince(2));
    BOOST_REQUIRE_EQUAL(gossip.reportsForRelay(1)[0].ends.size(), 1U);
    BOOST_TEST(gossip.reportsForRelay(1)[0].ends[0].agoMs == 10U);
}

BOOST_AUTO_TEST_CASE(AReportWithTooManyEndsIsRejected)
{
    ServerGossip gossip(1);
    ServerReport report{2, 10, {}, std::vector<replication::EndRecord>(100), {}};
    gossip.receive(std::vector<ServerReport>{report}, {4, false}, start);
    BOOST_TEST(gossip.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(RequestsToALimitedServerAreSummedAndReportedAtOnce)
{
    ServerGossip gossip(1);
    gossip.recordLimit({7, 3.5, 0, 1, -1}, start);
    gossip.recordLimit({7, 3, 0, 1, -2}, start + 5ms);
    gossip.tick(start + 10ms);
    BOOST_TEST(gossip.hasUrgentSince(0));
    BOOST_REQUIRE_EQUAL(gossip.reportsForRelay(0).size(), 1U);
    BOOST_REQUIRE_EQUAL(gossip.reportsForRelay(0)[0].limits.size(), 1U);
    BOOST_TEST((gossip.reportsForRelay(0)[0].limits[0] == replication::LimitRecord{7, 3, 5, 2, -2}));
}

BOOST_AUTO_TEST_CASE(LimitsAreBatchedUnlessTheyAreNear)
{
    constexpr double reserve = 3;
    ServerGossip     gossip(1);
    gossip.recordLimit({7, 30, 0, 1, reserve}, start);
    gossip.tick(start);
    BOOST_TEST(gossip.reportCount() == 1U);
    BOOST_TEST(!gossip.hasUrgentSince(0));
    BOOST_TEST(gossip.hasLimitsSince(0));
    gossip.recordLimit({7, 30, 0, 1, reserve}, start + 10ms);
    gossip.recordLimit({8, 30, 0, 1, reserve}, start + 40ms);
    gossip.tick(start + 50ms);
    BOOST_TEST(gossip.reportCount() == 1U);
    BOOST_TEST((gossip.nextReportDue() == start + ServerGossip::batchDelay));
    gossip.tick(start + ServerGossip::batchDelay);
    BOOST_REQUIRE_EQUAL(gossip.reportCount(), 2U);
    BOOST_TEST(gossip.reportsForRelay(1)[0].limits.size() == 2U);
    // A limit that is near is reported at once.
    gossip.recordLimit({9, 30, 0, 1, 0.5}, start + 80ms);
    gossip.tick(start + 80ms);
    BOOST_TEST(gossip.reportCount() == 3U);
    BOOST_TEST(gossip.hasUrgentSince(2));
}

BOOST_AUTO_TEST_CASE(ANewFollowerIsSentTheLimitsOfLowestProbability)
{
    ServerGossip gossip(1);
    for (std::uint32_t i = 0; i < 80; ++i)
        gossip.receive(std::vector<ServerReport>{{2, i + 1, {}, {}, {}, {{i, 30, 0, 0, i < 10 ? -1.0 : 3.0}}}},
                       {4, false}, start);
    const auto sent = gossip.currentLimits(start);
    BOOST_REQUIRE(sent);
    BOOST_TEST(sent->limits.size() == 64U);
    for (std::size_t i = 0; i < 10; ++i)
        BOOST_TEST(sent->limits[i].doublings == -1.0);
}

BOOST_AUTO_TEST_CASE(ANewFollowerIsSentTheKnownLimits)
{
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    ServerGossip     gossip(1);
    BOOST_TEST(!gossip.currentLimits(start));
    gossip.receive(std::vector<ServerReport>{{2, 10, {}, {}, {}, {{7, 3.5, 20, 4, -1}, {8, 1, 0, 1, 0}}}}, {4, false},
                   start);
    gossip.receive(std::vector<ServerReport>{{2, 11, {}, {}, {}, {{8, unlimited, 0, 0, 0}}}}, {4, false}, start + 1s);
    const auto sent = gossip.currentLimits(start + 1s);
    BOOST_REQUIRE(sent);
    BOOST_REQUIRE_EQUAL(sent->limits.size(), 1U);
    BOOST_TEST((sent->limits[0] == replication::LimitRecord{7, 3.5, 1020, 0, -1}));
    // The numbers of the node's next reports are higher than that of the limits.
    ServerGossip follower(3);
    follower.receive(std::vector<ServerReport>{*sent}, {6, true}, start + 1s);
    gossip.recordLimit({7, 3, 0, 1, -1}, start + 1s);
    gossip.tick(start + 1s);
    follower.receive(gossip.reportsForFollower(0, 9), {6, true}, start + 1s);
    BOOST_TEST(follower.takeReceived().back().origin == 1U);
    BOOST_TEST(follower.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(AReportWithTooManyLimitsIsRejected)
{
    ServerGossip gossip(1);
    ServerReport report{2, 10, {}, {}, {}, std::vector<replication::LimitRecord>(100)};
    gossip.receive(std::vector<ServerReport>{report}, {4, false}, start);
    BOOST_TEST(gossip.takeReceived().empty());
    BOOST_TEST(!gossip.currentLimits(start));
}

BOOST_AUTO_TEST_CASE(AFleetReceivesEndsWithinHalfASecond)
{
    for (const std::size_t nodes : {13UL, 95UL, 300UL})
    {
        support::ReplicaGroup group(nodes, 21, 6);
        group.write("config", "1");
        group.advance(30s);
        for (std::uint32_t server = 1; server <= 3; ++server)
        {
            group.serverEnded(nodes / 2, server);
            group.advance(500ms);
            BOOST_TEST(nodesWithEnd(group, nodes, server) == nodes - 1, nodes << " nodes, server " << server);
        }
    }
}

BOOST_AUTO_TEST_CASE(AFleetReceivesFailuresWithinTwoSecondsAndEachOnce)
{
    constexpr std::size_t nodes = 120;
    support::ReplicaGroup group(nodes, 21, 6);
    group.write("config", "1");
    group.advance(30s);
    for (const std::size_t node : {3UL, 50UL, 119UL})
        group.serverFailed(node, 77);
    group.advance(2s);
    BOOST_TEST(nodesWithFailure(group, nodes, 77) == nodes);
    std::size_t received = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        received += group.failureReports(node, 77);
    BOOST_TEST(received == 3 * (nodes - 1));
}

BOOST_AUTO_TEST_SUITE_END()

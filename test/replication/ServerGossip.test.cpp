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
std::size_t knowing(support::ReplicaGroup& group, std::size_t nodes, std::uint32_t server)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        count += group.heardOfFailures(node, server) > 0 ? 1 : 0;
    return count;
}

////////////////////////////////////////////////////////////
std::size_t knowingOfEnd(support::ReplicaGroup& group, std::size_t nodes, std::uint32_t server)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        count += group.heardOfEnds(node, server) > 0 ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerNewsTest)

BOOST_AUTO_TEST_CASE(WhatWasSeenBecomesOneReportASpan)
{
    ServerGossip news(1);
    news.recordFailure(7);
    news.recordFailure(7);
    news.recordFailure(8);
    news.tick(start);
    news.recordFailure(9);
    news.tick(start + 100ms);
    BOOST_REQUIRE_EQUAL(news.reportsForRelay(0).size(), 1U);
    BOOST_TEST((news.reportsForRelay(0)[0].servers == std::vector<std::uint32_t>{7, 8}));
    news.tick(start + 350ms);
    BOOST_TEST(news.reportsForRelay(0).size() == 2U);
    BOOST_TEST(news.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(AReportIsTakenOnceAndNotSentBackWhereItCameFrom)
{
    ServerGossip                    news(1);
    const std::vector<ServerReport> told{{2, 10, {7}}};
    news.receive(told, {4, false}, start);
    news.receive(told, {6, true}, start);
    BOOST_TEST(news.takeReceived().size() == 1U);
    BOOST_TEST(news.reportsForFollower(0, 4).empty());
    BOOST_TEST(news.reportsForFollower(0, 8).size() == 1U);
    BOOST_TEST(news.reportsForRelay(0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(WhatARelayToldIsNotToldToRelays)
{
    ServerGossip news(1);
    news.receive(std::vector<ServerReport>{{2, 10, {7}}}, {5, true}, start);
    BOOST_TEST(news.reportsForRelay(0).empty());
    BOOST_TEST(news.reportsForFollower(0, 8).size() == 1U);
}

BOOST_AUTO_TEST_CASE(OwnReportsThatComeBackAndOldNewsAreLeftOut)
{
    ServerGossip news(1);
    news.receive(std::vector<ServerReport>{{1, 10, {7}}}, {4, false}, start);
    BOOST_TEST(news.takeReceived().empty());
    news.receive(std::vector<ServerReport>{{2, 10, {7}}}, {4, false}, start);
    news.tick(start + 4s);
    BOOST_TEST(news.reportsForFollower(0, 8).empty());
}

BOOST_AUTO_TEST_CASE(ANodeThatSeesAllFailIsNotBelieved)
{
    ServerGossip news(1);
    ServerReport all{2, 10, {}};
    for (std::uint32_t server = 0; server < 100; ++server)
        all.servers.push_back(server);
    news.receive(std::vector<ServerReport>{all}, {4, false}, start);
    BOOST_TEST(news.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(ServersThatEndUnderRequestsAreToldAtOnce)
{
    ServerGossip           news(1);
    replication::EndRecord record{7, {}, 5, 80, 0};
    news.recordFailure(7);
    news.tick(start);
    news.recordEnd(record, start + 90ms);
    news.tick(start + 100ms);
    BOOST_REQUIRE_EQUAL(news.reportsForRelay(0).size(), 2U);
    BOOST_TEST(news.hasUrgentSince(1));
    BOOST_TEST(!news.hasUrgentSince(2));
    BOOST_REQUIRE_EQUAL(news.reportsForRelay(1)[0].ends.size(), 1U);
    BOOST_TEST(news.reportsForRelay(1)[0].ends[0].agoMs == 10U);
}

BOOST_AUTO_TEST_CASE(WhoTellsOfTooManyEndsIsNotBelieved)
{
    ServerGossip news(1);
    ServerReport all{2, 10, {}, std::vector<replication::EndRecord>(100), {}};
    news.receive(std::vector<ServerReport>{all}, {4, false}, start);
    BOOST_TEST(news.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(WhatIsSentToALimitedServerIsAddedUpAndToldAtOnce)
{
    ServerGossip news(1);
    news.recordLimit({7, 3.5, 0, 1, -1}, start);
    news.recordLimit({7, 3, 0, 1, -2}, start + 5ms);
    news.tick(start + 10ms);
    BOOST_TEST(news.hasUrgentSince(0));
    BOOST_REQUIRE_EQUAL(news.reportsForRelay(0).size(), 1U);
    BOOST_REQUIRE_EQUAL(news.reportsForRelay(0)[0].limits.size(), 1U);
    BOOST_TEST((news.reportsForRelay(0)[0].limits[0] == replication::LimitRecord{7, 3, 5, 2, -2}));
}

BOOST_AUTO_TEST_CASE(WhatIsNotPressedWaitsForOthersAndWhatIsDoesNot)
{
    constexpr double much = 3;
    ServerGossip     news(1);
    news.recordLimit({7, 30, 0, 1, much}, start);
    news.tick(start);
    BOOST_TEST(news.reportCount() == 1U);
    BOOST_TEST(!news.hasUrgentSince(0));
    BOOST_TEST(news.hasLimitsSince(0));
    news.recordLimit({7, 30, 0, 1, much}, start + 10ms);
    news.recordLimit({8, 30, 0, 1, much}, start + 40ms);
    news.tick(start + 50ms);
    BOOST_TEST(news.reportCount() == 1U);
    BOOST_TEST((news.nextReportDue() == start + ServerGossip::batchDelay));
    news.tick(start + ServerGossip::batchDelay);
    BOOST_REQUIRE_EQUAL(news.reportCount(), 2U);
    BOOST_TEST(news.reportsForRelay(1)[0].limits.size() == 2U);
    // Pressed: the next report goes with it at once.
    news.recordLimit({9, 30, 0, 1, 0.5}, start + 80ms);
    news.tick(start + 80ms);
    BOOST_TEST(news.reportCount() == 3U);
    BOOST_TEST(news.hasUrgentSince(2));
}

BOOST_AUTO_TEST_CASE(OfManyLimitsAFollowerThatJoinsIsToldTheLeastOpen)
{
    ServerGossip news(1);
    for (std::uint32_t i = 0; i < 80; ++i)
        news.receive(std::vector<ServerReport>{{2, i + 1, {}, {}, {}, {{i, 30, 0, 0, i < 10 ? -1.0 : 3.0}}}},
                     {4, false}, start);
    const auto told = news.currentLimits(start);
    BOOST_REQUIRE(told);
    BOOST_TEST(told->limits.size() == 64U);
    for (std::size_t i = 0; i < 10; ++i)
        BOOST_TEST(told->limits[i].doublings == -1.0);
}

BOOST_AUTO_TEST_CASE(AFollowerThatJoinsHearsWhichServersAreLimited)
{
    constexpr double none = std::numeric_limits<double>::infinity();
    ServerGossip     news(1);
    BOOST_TEST(!news.currentLimits(start));
    news.receive(std::vector<ServerReport>{{2, 10, {}, {}, {}, {{7, 3.5, 20, 4, -1}, {8, 1, 0, 1, 0}}}}, {4, false},
                 start);
    news.receive(std::vector<ServerReport>{{2, 11, {}, {}, {}, {{8, none, 0, 0, 0}}}}, {4, false}, start + 1s);
    const auto told = news.currentLimits(start + 1s);
    BOOST_REQUIRE(told);
    BOOST_REQUIRE_EQUAL(told->limits.size(), 1U);
    BOOST_TEST((told->limits[0] == replication::LimitRecord{7, 3.5, 1020, 0, -1}));
    // Own reports go on after it.
    ServerGossip follower(3);
    follower.receive(std::vector<ServerReport>{*told}, {6, true}, start + 1s);
    news.recordLimit({7, 3, 0, 1, -1}, start + 1s);
    news.tick(start + 1s);
    follower.receive(news.reportsForFollower(0, 9), {6, true}, start + 1s);
    BOOST_TEST(follower.takeReceived().back().origin == 1U);
    BOOST_TEST(follower.takeReceived().empty());
}

BOOST_AUTO_TEST_CASE(WhoTellsOfTooManyLimitsIsNotBelieved)
{
    ServerGossip news(1);
    ServerReport all{2, 10, {}, {}, {}, std::vector<replication::LimitRecord>(100)};
    news.receive(std::vector<ServerReport>{all}, {4, false}, start);
    BOOST_TEST(news.takeReceived().empty());
    BOOST_TEST(!news.currentLimits(start));
}

BOOST_AUTO_TEST_CASE(AFleetHearsOfEndsWithinHalfASecond)
{
    for (const std::size_t nodes : {13UL, 95UL, 300UL})
    {
        support::ReplicaGroup group(nodes, 21, 6);
        group.write("config", "1");
        group.pass(30s);
        for (std::uint32_t server = 1; server <= 3; ++server)
        {
            group.serverEnded(nodes / 2, server);
            group.pass(500ms);
            BOOST_TEST(knowingOfEnd(group, nodes, server) == nodes - 1, nodes << " nodes, server " << server);
        }
    }
}

BOOST_AUTO_TEST_CASE(AFleetHearsWithinTwoSecondsAndEachOnce)
{
    constexpr std::size_t nodes = 120;
    support::ReplicaGroup group(nodes, 21, 6);
    group.write("config", "1");
    group.pass(30s);
    for (const std::size_t node : {3UL, 50UL, 119UL})
        group.serverFailed(node, 77);
    group.pass(2s);
    BOOST_TEST(knowing(group, nodes, 77) == nodes);
    std::size_t all = 0;
    for (std::size_t node = 0; node < nodes; ++node)
        all += group.heardOfFailures(node, 77);
    BOOST_TEST(all == 3 * (nodes - 1));
}

BOOST_AUTO_TEST_SUITE_END()

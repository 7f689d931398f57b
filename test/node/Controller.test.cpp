#include "support/ControlGroup.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <numeric>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using membership::MemberStatus;
using support::ControlGroup;
using support::GroupSettings;

////////////////////////////////////////////////////////////
std::string declaration(const std::string& workspace, double budget = 0)
{
    return R"({"workspace": ")" + workspace + R"(", "measuringBudgetMsPerS": )" + std::to_string(budget) +
           R"(, "services": [{"name": "portal", "servers":
               [{"name": "p1", "address": "127.0.0.1", "port": 9001, "dataCentre": "0"}]}]})";
}

////////////////////////////////////////////////////////////
/// \brief Checks whether a node applied a revision not newer than its last within one life
////////////////////////////////////////////////////////////
bool revisionDecreased(const std::vector<support::AppliedChange>& history)
{
    std::map<std::tuple<unsigned, unsigned, std::string>, std::uint64_t> newest;
    for (const support::AppliedChange& change : history)
    {
        auto& revision = newest[{change.node, change.life, change.workspace}];
        if (change.revision <= revision)
            return true;
        revision = change.revision;
    }
    return false;
}

////////////////////////////////////////////////////////////
double costWithin(const std::vector<support::ProbeSent>& probes, core::Timestamp from, core::Duration length)
{
    return std::accumulate(probes.begin(), probes.end(), 0.0,
                           [&](double sum, const support::ProbeSent& probe)
                           { return probe.at >= from && probe.at < from + length ? sum + probe.cost : sum; });
}

////////////////////////////////////////////////////////////
/// \brief Computes the largest probe cost in any window of a length, milliseconds
////////////////////////////////////////////////////////////
double maxCostWithin(const std::vector<support::ProbeSent>& probes, core::Duration length)
{
    double maxCost = 0;
    for (const support::ProbeSent& probe : probes)
        maxCost = std::max(maxCost, costWithin(probes, probe.at, length));
    return maxCost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Controller)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(theHistoryCheckDetectsADecreasingRevision)
{
    BOOST_TEST(!revisionDecreased({{{}, 1, "a", 2, 1}, {{}, 1, "a", 3, 1}, {{}, 1, "a", 2, 2}, {{}, 2, "a", 2, 1}}));
    BOOST_TEST(revisionDecreased({{{}, 1, "a", 3, 1}, {{}, 1, "a", 2, 1}}));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aChangeIsInForceEverywhereWithinTwoSeconds)
{
    ControlGroup group({.nodes = 18});
    group.run(10s);
    for (int i = 0; i < 10; ++i)
    {
        const auto revision = group.put("admissa", declaration("admissa"));
        BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 2s));
    }
    const auto revision = group.remove("admissa");
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 2s));
    BOOST_TEST(!revisionDecreased(group.history));
    BOOST_TEST(group.relays() == 3U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(allNodesSeeEachOtherAndDetectAKilledNode)
{
    ControlGroup group({.nodes = 18});
    group.run(30s);
    for (unsigned i = 0; i < 18; ++i)
        BOOST_TEST(group.allAlive(i));
    group.stop(7);
    group.run(30s);
    for (unsigned i = 0; i < 18; ++i)
        BOOST_TEST((i == 7 || group.seesStatus(i, 7, MemberStatus::Dead)));
    group.start(7);
    group.run(20s);
    for (unsigned i = 0; i < 18; ++i)
        BOOST_TEST(group.allAlive(i));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aFailedNodeIsDetectedInALargeFleetDespiteLostCalls)
{
    ControlGroup group({.nodes = 200, .dataCentres = 7, .loss = 0.1});
    group.run(60s);
    group.stop(100);
    const auto noticed = [&]
    {
        for (unsigned i = 0; i < 200; ++i)
        {
            if (i != 100 && !group.seesStatus(i, 100, MemberStatus::Dead))
                return false;
        }
        return true;
    };
    BOOST_TEST(group.runUntil(noticed, 60s));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(allNodesLearnWithinSecondsThatAServerDrains)
{
    for (const double loss : {0.0, 0.1})
    {
        ControlGroup group({.nodes = 18, .loss = loss});
        group.run(20s);
        const core::Timestamp reportedAt = group.now();
        group.serverDraining(3);
        BOOST_TEST(group.runUntil([&] { return group.drainingReportedAt.size() == 18; }, 3s));
        BOOST_TEST_MESSAGE("loss " << loss << ": all nodes informed after " << core::toSeconds(group.now() - reportedAt)
                                   << " s");
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(relaysThatAreKilledAreReplaced)
{
    ControlGroup group({.nodes = 18, .loss = 0.1});
    group.run(10s);
    for (int round = 0; round < 3; ++round)
    {
        group.stop(static_cast<unsigned>(round));
        group.stop(static_cast<unsigned>(17 - round));
        group.run(1s);
        const auto revision = group.put("admissa", declaration("admissa"));
        BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 15s));
    }
    BOOST_TEST(!revisionDecreased(group.history));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aNewNodeGetsTheConfigurationFromPeersInAnOutage)
{
    ControlGroup group({.nodes = 16});
    const auto   revision = group.put("admissa", declaration("admissa"));
    group.run(10s);
    group.setOutage(true);
    group.stop(5);
    group.run(20s);
    group.start(5);
    // The platform's list is unavailable too: peers find the node because they occasionally contact dead members.
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 60s));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anOutageOfAnHourEndsWithoutAStampede)
{
    ControlGroup group({.nodes = 100, .dataCentres = 7});
    group.run(20s);
    group.setOutage(true);
    const auto before = group.storeCalls;
    group.run(1h);
    const double during = static_cast<double>(group.storeCalls - before) / 3600;
    BOOST_TEST(during < 5.0);
    group.setOutage(false);
    const auto resumed = group.storeCalls;
    const auto revision = group.put("admissa", declaration("admissa"));
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 15s));
    BOOST_TEST(group.storeCalls - resumed < 100U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aStoreRestoredFromABackupRevertsNothing)
{
    ControlGroup group({.nodes = 16});
    for (int i = 0; i < 5; ++i)
        (void)group.put("admissa", declaration("admissa"));
    group.run(10s);
    group.restoreStore(2);
    group.run(30s);
    group.stop(3);
    group.start(3);
    group.run(30s);
    BOOST_TEST(!revisionDecreased(group.history));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anIsolatedDataCentreCatchesUpOnceReconnected)
{
    ControlGroup group({.nodes = 16});
    group.run(20s);
    group.isolateDataCentre(1, true);
    group.run(60s);
    // The isolated side has relays of its own, so the change arrives there through the store.
    auto revision = group.put("admissa", declaration("admissa"));
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 15s));
    group.isolateDataCentre(1, false);
    BOOST_TEST(group.runUntil([&] { return group.allAlive(0) && group.allAlive(1); }, 120s));
    revision = group.put("admissa", declaration("admissa"));
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 2s));
    BOOST_TEST(!revisionDecreased(group.history));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aStaleListOfVmsDoesNotDelayChanges)
{
    ControlGroup group({.nodes = 16});
    group.stop(3);
    group.stop(4);
    group.setVmList({3, 4, 0, 1});
    group.run(60s);
    const auto revision = group.put("admissa", declaration("admissa"));
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", revision); }, 5s));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(theMeasuringBudgetHoldsWhileProbersAreReplaced)
{
    constexpr double budget = 30;
    ControlGroup     group({.nodes = 16});
    (void)group.put("admissa", declaration("admissa", budget));
    group.run(20s);
    BOOST_TEST(!group.probes.empty());
    for (unsigned round = 0; round < 12; ++round)
    {
        // The current prober is killed, frozen for longer than its lease, or isolated.
        const unsigned holder = group.probes.back().node;
        if (round % 3 == 0)
            group.stop(holder);
        else if (round % 3 == 1)
            group.freeze(holder);
        else
            group.isolateDataCentre(holder % 4, true);
        group.run(25s);
        if (round % 3 == 0)
            group.start(holder);
        else if (round % 3 == 1)
            group.thaw(holder);
        else
            group.isolateDataCentre(holder % 4, false);
        group.run(5s);
    }
    // When another VM takes over the lease, one probe may be saved up and one may be in flight.
    for (const core::Duration window : {core::Duration{1s}, core::Duration{10s}, core::Duration{60s}})
        BOOST_TEST(maxCostWithin(group.probes, window) <= budget * core::toSeconds(window) + 12.0);
    BOOST_TEST(group.probes.size() > 300U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(nobodyProbesWithoutTheStoreOrABudget)
{
    ControlGroup group({.nodes = 16});
    (void)group.put("admissa", declaration("admissa", 30));
    (void)group.put("quetzal", declaration("quetzal", 0));
    group.run(20s);
    group.setOutage(true);
    group.run(20s);
    const auto before = group.probes.size();
    group.run(60s);
    BOOST_TEST(group.probes.size() == before);
    BOOST_TEST(std::none_of(group.probes.begin(), group.probes.end(),
                            [](const auto& probe) { return probe.workspace == "quetzal"; }));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aBadDocumentLeavesTheOneBeforeInForce)
{
    ControlGroup group({.nodes = 4});
    const auto   good = group.put("admissa", declaration("admissa"));
    group.run(10s);
    (void)group.put("admissa", "{\"workspace\": \"quetzal\"}");
    (void)group.put("admissa", "nonsense");
    group.run(10s);
    BOOST_TEST(group.appliedEverywhere("admissa", good));
    BOOST_TEST(group.history.back().revision == good);
    const auto better = group.put("admissa", declaration("admissa"));
    BOOST_TEST(group.runUntil([&] { return group.appliedEverywhere("admissa", better); }, 2s));
}

BOOST_AUTO_TEST_SUITE_END()

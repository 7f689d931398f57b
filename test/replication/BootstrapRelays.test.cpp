#include <sailpath/replication/Bootstrap.hpp>
#include <sailpath/replication/BootstrapRelays.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::Bootstrap;
using replication::BootstrapRelays;
using replication::NodeAddress;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
std::vector<NodeAddress> nodesOf(std::size_t count, std::uint32_t capacity, const std::string& dataCentre)
{
    std::vector<NodeAddress> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back(
            {dataCentre + "-" + std::to_string(capacity) + "-" + std::to_string(i), dataCentre, 0, capacity});
    return nodes;
}

////////////////////////////////////////////////////////////
Bootstrap firstCopy(const std::string& self, std::vector<std::string> seeds)
{
    core::Random random(1);
    return {{self, "dc", 0, 1}, std::move(seeds), start, random};
}

////////////////////////////////////////////////////////////
bool follows(const Bootstrap& first, const std::string& address, core::Timestamp now)
{
    const auto upstreams = first.upstreamsToFollow(now);
    return std::find(upstreams.begin(), upstreams.end(), address) != upstreams.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(IntroductionsTest)

BOOST_AUTO_TEST_CASE(OneRelayForEach25NodesAndTheStrongestFirst)
{
    auto       nodes = nodesOf(77, 1, "dc");
    const auto strong = nodesOf(3, 3, "dc");
    BOOST_TEST(replication::chooseRelays(nodes, "dc", {}).size() == 4U);
    nodes.insert(nodes.end(), strong.begin(), strong.end());
    const auto relays = replication::chooseRelays(nodes, "dc", {});
    BOOST_TEST(relays.size() == 3U);
    BOOST_TEST(std::all_of(relays.begin(), relays.end(), [](const NodeAddress& relay) { return relay.capacity == 3; }));
}

BOOST_AUTO_TEST_CASE(WhereAllAreWeakThoseElsewhereAreNamed)
{
    auto       nodes = nodesOf(30, 1, "weak");
    const auto strong = nodesOf(2, 3, "strong");
    nodes.insert(nodes.end(), strong.begin(), strong.end());
    BootstrapRelays introductions(1);
    introductions.updateWaiting(30, start);
    introductions.refresh(nodes, 1, start);
    const auto names = introductions.relaysFor(nodes.front());
    BOOST_REQUIRE(!names.empty());
    BOOST_TEST(names.front().dataCentre == "strong");
}

BOOST_AUTO_TEST_CASE(WhoIsNamedStaysSoUnlessAStrongerOneComes)
{
    auto       nodes = nodesOf(1, 1, "dc");
    const auto first = replication::chooseRelays(nodes, "dc", {});
    const auto more = nodesOf(24, 1, "dc");
    nodes.insert(nodes.end(), more.begin() + 1, more.end());
    BOOST_TEST((replication::chooseRelays(nodes, "dc", first) == first));
    const auto strong = nodesOf(1, 3, "dc");
    nodes.push_back(strong.front());
    BOOST_TEST((replication::chooseRelays(nodes, "dc", first) == strong));
}

BOOST_AUTO_TEST_CASE(AFewAreServedByTheSeedItselfAndACrowdIsNot)
{
    BootstrapRelays introductions(1);
    introductions.updateWaiting(8, start);
    BOOST_TEST(!introductions.isCrowded());
    introductions.updateWaiting(9, start);
    BOOST_TEST(introductions.isCrowded());
    BOOST_TEST(!introductions.needsRefresh(1, start + 49ms));
    BOOST_TEST(introductions.needsRefresh(1, start + 50ms));
}

BOOST_AUTO_TEST_CASE(CopiesSentOfLateCountAsACrowd)
{
    BootstrapRelays introductions(1);
    for (int copy = 0; copy < 8; ++copy)
        introductions.copySent(start);
    introductions.updateWaiting(1, start + 500ms);
    BOOST_TEST(introductions.isCrowded());
    introductions.updateWaiting(1, start + 1100ms);
    BOOST_TEST(!introductions.isCrowded());
}

BOOST_AUTO_TEST_CASE(ANodeAsksTheStoreOnlyAfterTheTimeOfACrowdOfReadings)
{
    const Bootstrap first = firstCopy("a:1", {"s:1"});
    BOOST_TEST(!first.shouldReadStore(start + 599ms));
    BOOST_TEST(first.shouldReadStore(start + 1300ms));
    BOOST_TEST(follows(first, "s:1", start));
}

BOOST_AUTO_TEST_CASE(ACopyOnItsWayIsWaitedForButNotForEver)
{
    Bootstrap first = firstCopy("a:1", {"s:1"});
    first.updateProgressed(start + 1300ms);
    BOOST_TEST(!first.shouldReadStore(start + 1400ms));
    BOOST_TEST(first.shouldReadStore(start + 1460ms));
    first.updateProgressed(start + 1990ms);
    BOOST_TEST(first.shouldReadStore(start + 2s));
}

BOOST_AUTO_TEST_CASE(ARelayReadsAtOnceWhenNobodyHasACopy)
{
    Bootstrap first = firstCopy("a:1", {"s:1"});
    first.setRelays(std::vector<NodeAddress>{{"a:1", "dc", 0, 1}, {"b:1", "dc", 0, 1}}, start + 10ms);
    first.peerHasNoCopy();
    BOOST_TEST(first.shouldReadStore(start + 10ms));
    BOOST_TEST(follows(first, "b:1", start + 10ms));
    BOOST_TEST(!follows(first, "a:1", start + 10ms));
}

BOOST_AUTO_TEST_CASE(ASeedWaitsForAnotherThatItReached)
{
    Bootstrap first = firstCopy("s:1", {"s:1", "s:2"});
    BOOST_TEST(!first.shouldReadStore(start + 39ms));
    BOOST_TEST(first.shouldReadStore(start + 40ms));
    first.linkUp("s:2", start);
    BOOST_TEST(!first.shouldReadStore(start + 149ms));
    BOOST_TEST(first.shouldReadStore(start + 150ms));
    first.peerHasNoCopy();
    BOOST_TEST(first.shouldReadStore(start + 5ms));
}

BOOST_AUTO_TEST_CASE(ASeedThatCannotBeReachedIsTriedAgainSoonAndAnotherMeanwhile)
{
    Bootstrap         first = firstCopy("a:1", {"s:1", "s:2"});
    const std::string before = first.upstreamsToFollow(start).front();
    first.linkDown(before, start + 60ms);
    BOOST_TEST(!follows(first, before, start + 60ms));
    BOOST_TEST(first.upstreamsToFollow(start + 60ms).size() == 1U);
    BOOST_TEST(follows(first, before, start + 80ms));
    const std::string other = first.upstreamsToFollow(start + 60ms).front();
    first.linkUp(other, start + 80ms);
    BOOST_TEST(first.upstreamsToFollow(start + 90ms).front() == other);
}

BOOST_AUTO_TEST_CASE(AShortReadingIsTriedOnceWhileNoSeedIsReached)
{
    Bootstrap first = firstCopy("a:1", {"s:1"});
    BOOST_TEST(!first.shouldReadEarly(start + 19ms));
    BOOST_TEST(first.shouldReadEarly(start + 20ms));
    Bootstrap reached = firstCopy("a:1", {"s:1"});
    reached.linkUp("s:1", start);
    BOOST_TEST(!reached.shouldReadEarly(start + 20ms));
    BOOST_TEST((first.beginEarlyRead(start + 20ms) == start + 60ms));
    BOOST_TEST(!first.shouldReadEarly(start + 200ms));
}

BOOST_AUTO_TEST_CASE(ASilentRelayIsJoinedByAnother)
{
    Bootstrap first = firstCopy("a:1", {"s:1"});
    first.setRelays(nodesOf(3, 1, "dc"), start);
    BOOST_TEST(first.upstreamsToFollow(start + 10ms).size() == 2U);
    BOOST_TEST(first.upstreamsToFollow(start + 130ms).size() == 3U);
    BOOST_TEST(first.upstreamsToFollow(start + 250ms).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

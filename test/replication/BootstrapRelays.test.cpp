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
Bootstrap makeBootstrap(const std::string& self, std::vector<std::string> seeds)
{
    core::Random random(1);
    return {{self, "dc", 0, 1}, std::move(seeds), start, random};
}

////////////////////////////////////////////////////////////
bool follows(const Bootstrap& bootstrap, const std::string& address, core::Timestamp now)
{
    const auto upstreams = bootstrap.upstreamsToFollow(now);
    return std::find(upstreams.begin(), upstreams.end(), address) != upstreams.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(IntroductionsTest)

BOOST_AUTO_TEST_CASE(OneRelayPer25NodesAndTheStrongestFirst)
{
    auto       nodes = nodesOf(77, 1, "dc");
    const auto strong = nodesOf(3, 3, "dc");
    BOOST_TEST(replication::chooseRelays(nodes, "dc", {}).size() == 4U);
    nodes.insert(nodes.end(), strong.begin(), strong.end());
    const auto relays = replication::chooseRelays(nodes, "dc", {});
    BOOST_TEST(relays.size() == 3U);
    BOOST_TEST(std::all_of(relays.begin(), relays.end(), [](const NodeAddress& relay) { return relay.capacity == 3; }));
}

BOOST_AUTO_TEST_CASE(WithoutStrongLocalNodesRelaysOfOtherDataCentresAreChosen)
{
    auto       nodes = nodesOf(30, 1, "weak");
    const auto strong = nodesOf(2, 3, "strong");
    nodes.insert(nodes.end(), strong.begin(), strong.end());
    BootstrapRelays bootstrapRelays(1);
    bootstrapRelays.updateWaiting(30, start);
    bootstrapRelays.refresh(nodes, 1, start);
    const auto relays = bootstrapRelays.relaysFor(nodes.front());
    BOOST_REQUIRE(!relays.empty());
    BOOST_TEST(relays.front().dataCentre == "strong");
}

BOOST_AUTO_TEST_CASE(ARelayIsReplacedOnlyByAStrongerNode)
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

BOOST_AUTO_TEST_CASE(ASeedServesAFewNodesItselfAndRefersACrowd)
{
    BootstrapRelays bootstrapRelays(1);
    bootstrapRelays.updateWaiting(8, start);
    BOOST_TEST(!bootstrapRelays.isCrowded());
    bootstrapRelays.updateWaiting(9, start);
    BOOST_TEST(bootstrapRelays.isCrowded());
    BOOST_TEST(!bootstrapRelays.needsRefresh(1, start + 49ms));
    BOOST_TEST(bootstrapRelays.needsRefresh(1, start + 50ms));
}

BOOST_AUTO_TEST_CASE(RecentlySentCopiesCountTowardsACrowd)
{
    BootstrapRelays bootstrapRelays(1);
    for (int copy = 0; copy < 8; ++copy)
        bootstrapRelays.copySent(start);
    bootstrapRelays.updateWaiting(1, start + 500ms);
    BOOST_TEST(bootstrapRelays.isCrowded());
    bootstrapRelays.updateWaiting(1, start + 1100ms);
    BOOST_TEST(!bootstrapRelays.isCrowded());
}

BOOST_AUTO_TEST_CASE(ANodeReadsTheStoreOnlyAfterTheDelay)
{
    const Bootstrap bootstrap = makeBootstrap("a:1", {"s:1"});
    BOOST_TEST(!bootstrap.shouldReadStore(start + 599ms));
    BOOST_TEST(bootstrap.shouldReadStore(start + 1300ms));
    BOOST_TEST(follows(bootstrap, "s:1", start));
}

BOOST_AUTO_TEST_CASE(ACopyInTransitDelaysTheStoreReadUpToALimit)
{
    Bootstrap bootstrap = makeBootstrap("a:1", {"s:1"});
    bootstrap.updateProgressed(start + 1300ms);
    BOOST_TEST(!bootstrap.shouldReadStore(start + 1400ms));
    BOOST_TEST(bootstrap.shouldReadStore(start + 1460ms));
    bootstrap.updateProgressed(start + 1990ms);
    BOOST_TEST(bootstrap.shouldReadStore(start + 2s));
}

BOOST_AUTO_TEST_CASE(ARelayReadsTheStoreAtOnceIfNoPeerHasACopy)
{
    Bootstrap bootstrap = makeBootstrap("a:1", {"s:1"});
    bootstrap.setRelays(std::vector<NodeAddress>{{"a:1", "dc", 0, 1}, {"b:1", "dc", 0, 1}}, start + 10ms);
    bootstrap.peerHasNoCopy();
    BOOST_TEST(bootstrap.shouldReadStore(start + 10ms));
    BOOST_TEST(follows(bootstrap, "b:1", start + 10ms));
    BOOST_TEST(!follows(bootstrap, "a:1", start + 10ms));
}

BOOST_AUTO_TEST_CASE(ASeedWaitsLongerForAConnectedSeed)
{
    Bootstrap bootstrap = makeBootstrap("s:1", {"s:1", "s:2"});
    BOOST_TEST(!bootstrap.shouldReadStore(start + 39ms));
    BOOST_TEST(bootstrap.shouldReadStore(start + 40ms));
    bootstrap.linkUp("s:2", start);
    BOOST_TEST(!bootstrap.shouldReadStore(start + 149ms));
    BOOST_TEST(bootstrap.shouldReadStore(start + 150ms));
    bootstrap.peerHasNoCopy();
    BOOST_TEST(bootstrap.shouldReadStore(start + 5ms));
}

BOOST_AUTO_TEST_CASE(AnUnreachableSeedIsRetriedSoonAndAnotherIsFollowedMeanwhile)
{
    Bootstrap         bootstrap = makeBootstrap("a:1", {"s:1", "s:2"});
    const std::string unreachable = bootstrap.upstreamsToFollow(start).front();
    bootstrap.linkDown(unreachable, start + 60ms);
    BOOST_TEST(!follows(bootstrap, unreachable, start + 60ms));
    BOOST_TEST(bootstrap.upstreamsToFollow(start + 60ms).size() == 1U);
    BOOST_TEST(follows(bootstrap, unreachable, start + 80ms));
    const std::string other = bootstrap.upstreamsToFollow(start + 60ms).front();
    bootstrap.linkUp(other, start + 80ms);
    BOOST_TEST(bootstrap.upstreamsToFollow(start + 90ms).front() == other);
}

BOOST_AUTO_TEST_CASE(TheEarlyReadIsTriedOnceWhileNoSeedIsConnected)
{
    Bootstrap bootstrap = makeBootstrap("a:1", {"s:1"});
    BOOST_TEST(!bootstrap.shouldReadEarly(start + 19ms));
    BOOST_TEST(bootstrap.shouldReadEarly(start + 20ms));
    Bootstrap connected = makeBootstrap("a:1", {"s:1"});
    connected.linkUp("s:1", start);
    BOOST_TEST(!connected.shouldReadEarly(start + 20ms));
    BOOST_TEST((bootstrap.beginEarlyRead(start + 20ms) == start + 60ms));
    BOOST_TEST(!bootstrap.shouldReadEarly(start + 200ms));
}

BOOST_AUTO_TEST_CASE(MoreRelaysAreFollowedWhileARelayIsSilent)
{
    Bootstrap bootstrap = makeBootstrap("a:1", {"s:1"});
    bootstrap.setRelays(nodesOf(3, 1, "dc"), start);
    BOOST_TEST(bootstrap.upstreamsToFollow(start + 10ms).size() == 2U);
    BOOST_TEST(bootstrap.upstreamsToFollow(start + 130ms).size() == 3U);
    BOOST_TEST(bootstrap.upstreamsToFollow(start + 250ms).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

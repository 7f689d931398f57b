// Guards against copies that keep keys removed from the store, whichever sources a copy was assembled from.

#include <support/ReplicaGroup.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::Item;
using replication::Replica;
using replication::SendUpdate;
using replication::Update;
using support::ReplicaGroup;

constexpr core::Timestamp     start{1h};
constexpr replication::LinkId acceptedLink = 2; // Links that peers open have even numbers

////////////////////////////////////////////////////////////
Replica makeReplica(const std::string& address, std::vector<std::string> seeds)
{
    replication::ReplicaSettings settings;
    settings.self = {address, "dc", 0, 0};
    settings.seeds = std::move(seeds);
    return {settings, start};
}

////////////////////////////////////////////////////////////
std::optional<Update> lastUpdate(Replica& replica)
{
    std::optional<Update> found;
    for (const auto& action : replica.takeActions())
    {
        if (const auto* sent = std::get_if<SendUpdate>(&action))
            found = sent->update;
    }
    return found;
}

////////////////////////////////////////////////////////////
/// \brief Open the link that a replica requested to its relay; return its number
////////////////////////////////////////////////////////////
replication::LinkId openLink(Replica& replica, core::Timestamp now)
{
    for (const auto& action : replica.takeActions())
    {
        if (const auto* opened = std::get_if<replication::OpenLink>(&action))
        {
            replica.linkOpened(opened->link, now);
            return opened->link;
        }
    }
    return 0;
}

////////////////////////////////////////////////////////////
bool hasKey(const Replica& replica, const std::string& key)
{
    const auto items = replica.table().all();
    return std::any_of(items.begin(), items.end(), [&](const Item& item) { return item.key == key; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RemovalsTest)

BOOST_AUTO_TEST_CASE(ANodeWithAnOlderReadThanItsRelayKeepsNoKeyRemovedInBetween)
{
    // "left" was removed at revision 180; the relay read the store after that and never had the key.
    Replica relay = makeReplica("10.0.0.1:7000", {});
    relay.storeRead(std::vector<Item>{{"config", "1", 150, false}}, 190, start, start);
    Replica           node = makeReplica("10.0.0.9:7000", {"10.0.0.1:7000"});
    const auto        link = openLink(node, start);
    const std::string left = "servers/left";
    node.storeRead(std::vector<Item>{{"config", "1", 150, false}, {left, "ready", 170, false}}, 170, {}, start + 5ms);
    BOOST_TEST(hasKey(node, left));

    relay.helloReceived(acceptedLink, {{"10.0.0.9:7000", "dc", 0, 0}, 170}, start + 6ms);
    const auto update = lastUpdate(relay);
    BOOST_REQUIRE(update);
    node.updateReceived(link, *update, start + 7ms);
    BOOST_TEST(node.usable(start + 7ms));
    BOOST_TEST(!hasKey(node, left));
}

BOOST_AUTO_TEST_CASE(AnOldReadAfterARelaysUpdateRestoresNothing)
{
    Replica           node = makeReplica("10.0.0.9:7000", {"10.0.0.1:7000"});
    const auto        link = openLink(node, start);
    const std::string left = "servers/left";
    Update            update;
    update.at = 190;
    update.full = true;
    update.items = {{"config", "1", 150, false}};
    node.updateReceived(link, update, start + 3ms);
    node.storeRead(std::vector<Item>{{"config", "1", 150, false}, {left, "ready", 170, false}}, 170, {}, start + 5ms);
    BOOST_TEST(!hasKey(node, left));
}

BOOST_AUTO_TEST_CASE(KeysCreatedAndRemovedInARelaysGapAreRemovedAtItsFollowers)
{
    // The node received "brief" from the store at revision 110; the relay lost the history from 100 to 140.
    const std::string brief = "servers/brief";
    Replica           relay = makeReplica("10.0.0.1:7000", {});
    relay.storeRead(std::vector<Item>{{"config", "1", 90, false}}, 100, start, start);
    Replica    node = makeReplica("10.0.0.9:7000", {"10.0.0.1:7000"});
    const auto link = openLink(node, start);
    node.storeRead(std::vector<Item>{{"config", "1", 90, false}}, 100, start, start);
    relay.helloReceived(acceptedLink, {{"10.0.0.9:7000", "dc", 0, 0}, 100}, start + 1ms);
    node.updateReceived(link, lastUpdate(relay).value(), start + 2ms);
    node.storeChanged(std::vector<Item>{{brief, "ready", 110, false}}, 110, start + 10ms);
    BOOST_TEST(hasKey(node, brief));

    relay.historyLost(start + 100ms);
    relay.storeRead(std::vector<Item>{{"config", "1", 90, false}}, 140, start + 110ms, start + 120ms);
    relay.tick(start + 200ms);
    for (const auto& action : relay.takeActions())
    {
        if (const auto* sent = std::get_if<SendUpdate>(&action))
            node.updateReceived(link, sent->update, start + 201ms);
    }
    BOOST_TEST(node.table().revision() == 140U);
    BOOST_TEST(!hasKey(node, brief));
}

////////////////////////////////////////////////////////////
/// Nodes restart from reads of different ages while keys are written and
/// removed; a copy assembled from them must not keep a removed key.
////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(WhileNodesRestartNoCopyKeepsARemovedKey)
{
    constexpr std::size_t nodes = 13;
    constexpr std::size_t keys = 12;
    const auto            keyOf = [](std::size_t key) { return "servers/" + std::to_string(key); };
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        ReplicaGroup group(nodes, seed);
        core::Random random(seed * 104729);
        for (std::size_t key = 0; key < keys; ++key)
            group.write(keyOf(key), "ready");
        group.advance(5s);
        for (int step = 0; step < 40; ++step)
        {
            const std::size_t key = random.below(keys);
            if (random.unit() < 0.5)
                group.remove(keyOf(key));
            else
                group.write(keyOf(key), std::to_string(step));
            const std::size_t node = random.below(nodes);
            group.kill(node);
            group.advance(core::Duration(random.below(150'000)));
            group.start(node);
            if (step % 10 == 9)
                group.compact();
        }
        group.advance(5s);
        for (std::size_t node = 0; node < nodes; ++node)
        {
            for (std::size_t key = 0; key < keys; ++key)
                BOOST_TEST(group.valueAt(node, keyOf(key)) == group.storeValue(keyOf(key)),
                           "seed " << seed << ", node " << node << ", " << keyOf(key));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/replication/Replica.hpp>
#include <sailpath/replication/ValueDelta.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::Item;
using replication::Replica;
using replication::Update;

constexpr core::Timestamp     start{1h};
constexpr replication::LinkId acceptedLink = 2;
constexpr std::size_t         sectionCount = 3000;

////////////////////////////////////////////////////////////
/// \brief Return a configuration of about 200 KB; versions differ at the beginning and in one section
////////////////////////////////////////////////////////////
std::string configuration(unsigned version)
{
    std::string text = "version " + std::to_string(version) + "\n";
    for (std::size_t section = 0; section < sectionCount; ++section)
    {
        text += "section " + std::to_string(section * 7919 % 100003) + " of host " + std::to_string(section % 97) +
                " has timeout " + (section == std::size_t{version} * 17 ? "0.7" : "1.2") + " and the like\n";
    }
    return text;
}

////////////////////////////////////////////////////////////
struct ReplicaPair
{
    ReplicaPair() :
    relay(settingsOf("10.0.0.1:7000", {}), start),
    node(settingsOf("10.0.0.9:7000", {"10.0.0.1:7000"}), start)
    {
        relay.storeRead(std::vector<Item>{{"config", configuration(1), 10, false}}, 10, start, start);
        (void)relay.takeActions();
        connect();
    }

    static replication::ReplicaSettings settingsOf(const std::string& address, std::vector<std::string> seeds)
    {
        replication::ReplicaSettings settings;
        settings.self = {address, "dc", 0, 0};
        settings.seeds = std::move(seeds);
        return settings;
    }

    /// \brief Open the link that the node requested and deliver its hello to the relay; return whether it did
    bool connect()
    {
        const auto actions = node.takeActions();
        for (const auto& action : actions)
        {
            if (const auto* opened = std::get_if<replication::OpenLink>(&action))
            {
                link = opened->link;
                node.linkOpened(link, now);
            }
        }
        for (const auto& action : node.takeActions())
        {
            if (const auto* sent = std::get_if<replication::SendHello>(&action))
                relay.helloReceived(acceptedLink, sent->hello, now);
        }
        return std::any_of(actions.begin(), actions.end(),
                           [](const auto& action) { return std::holds_alternative<replication::OpenLink>(action); });
    }

    /// \brief Deliver the relay's updates to the node; return the size of their values in bytes
    std::size_t deliverUpdates()
    {
        std::size_t bytes = 0;
        for (const auto& action : relay.takeActions())
        {
            const auto* sent = std::get_if<replication::SendUpdate>(&action);
            if (sent == nullptr)
                continue;
            for (const Item& item : sent->update.items)
                bytes += item.value.size();
            for (const replication::PackedItem& item : sent->update.packed)
                bytes += item.packed.size();
            if (sent->update.sharedItems)
            {
                for (const Item& item : *sent->update.sharedItems)
                    bytes += item.value.size();
            }
            node.updateReceived(link, sent->update, now);
        }
        return bytes;
    }

    void writeVersion(unsigned version, std::uint64_t revision)
    {
        now += 100ms;
        relay.storeChanged(std::vector<Item>{{"config", configuration(version), revision, false}}, revision, now);
    }

    [[nodiscard]] bool hasVersion(unsigned version) const
    {
        const auto items = node.table().all();
        return items.size() == 1 && items[0].value == configuration(version);
    }

    Replica             relay;
    Replica             node;
    replication::LinkId link{0};
    core::Timestamp     now{start};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LargeValueTest)

BOOST_AUTO_TEST_CASE(AChangeOfALargeValueIsSentAsASmallDelta)
{
    ReplicaPair pair;
    BOOST_TEST(pair.deliverUpdates() > 100'000U);
    BOOST_TEST(pair.hasVersion(1));
    pair.writeVersion(2, 11);
    BOOST_TEST(pair.deliverUpdates() < 2000U);
    BOOST_TEST(pair.hasVersion(2));
    pair.writeVersion(3, 12);
    pair.writeVersion(4, 13);
    BOOST_TEST(pair.deliverUpdates() < 4000U);
    BOOST_TEST(pair.hasVersion(4));
}

BOOST_AUTO_TEST_CASE(ANodeWithANewerValueAppliesADeltaFromAnEarlierOne)
{
    ReplicaPair pair;
    (void)pair.deliverUpdates();
    pair.node.storeChanged(std::vector<Item>{{"config", configuration(2), 11, false}}, 11, pair.now);
    pair.writeVersion(3, 12); // The relay never had version 2
    BOOST_TEST(pair.deliverUpdates() < 2000U);
    BOOST_TEST(pair.hasVersion(3));
}

BOOST_AUTO_TEST_CASE(ANodeWithoutTheBaseValueIsSentAllItemsOnce)
{
    ReplicaPair pair;
    (void)pair.deliverUpdates();
    pair.writeVersion(2, 11);
    for (const auto& action : pair.relay.takeActions())
    {
        const auto* sent = std::get_if<replication::SendUpdate>(&action);
        if (sent == nullptr)
            continue;
        Update wrong = sent->update;
        BOOST_REQUIRE_EQUAL(wrong.packed.size(), 1U);
        wrong.packed[0].base = 9;
        pair.node.updateReceived(pair.link, wrong, pair.now);
    }
    BOOST_TEST(pair.hasVersion(1));
    BOOST_TEST(pair.connect());
    pair.now += 100ms;
    pair.relay.tick(pair.now);
    BOOST_TEST(pair.deliverUpdates() > 100'000U);
    BOOST_TEST(pair.hasVersion(2));
}

BOOST_AUTO_TEST_CASE(MalformedDeltasAreRejected)
{
    const std::string base = configuration(1);
    const std::string packed = replication::packValue(configuration(2), base);
    BOOST_TEST((replication::unpackValue(packed, base) == configuration(2)));
    BOOST_TEST(!replication::unpackValue(packed, configuration(3)).has_value());
    BOOST_TEST(!replication::unpackValue(packed.substr(0, packed.size() / 2), base).has_value());
    BOOST_TEST(!replication::unpackValue("no such thing", base).has_value());
    BOOST_TEST(!replication::unpackValue({}, base).has_value());
    BOOST_TEST((replication::unpackValue(replication::packValue("short", {}), {}) == std::string("short")));
}

BOOST_AUTO_TEST_SUITE_END()

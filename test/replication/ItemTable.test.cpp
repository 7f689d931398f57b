#include <sailpath/replication/ItemTable.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using sailpath::replication::Item;
using sailpath::replication::ItemTable;

////////////////////////////////////////////////////////////
/// \brief Apply an outdated list of all items in every way in which a table may receive one
////////////////////////////////////////////////////////////
void applyOutdated(ItemTable& table, const std::vector<Item>& items, std::uint64_t at, std::vector<Item>& changed)
{
    table.applySnapshot(items, at, changed);
    table.applyNonAtomicRead(items, at, at, changed);
    for (const bool gapped : {false, true})
        table.apply({0, at, gapped, items}, changed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ItemTableTest)

BOOST_AUTO_TEST_CASE(TheCostOfAChangeDoesNotDependOnTheNumberOfItems)
{
    for (const unsigned servers : {250U, 1000U, 4000U, 20000U})
    {
        ItemTable         table;
        std::vector<Item> changed;
        std::vector<Item> all;
        for (unsigned i = 1; i <= servers; ++i)
            all.push_back({"servers/" + std::to_string(i), "x", i, false});
        table.applySnapshot(all, servers, changed);
        const auto before = table.examinedItems();
        // Ten changes, each received from a relay and sent to 25 followers.
        for (unsigned i = 1; i <= 10; ++i)
        {
            const std::uint64_t     at = servers + i;
            const std::vector<Item> changes{{"servers/" + std::to_string(i), "y", at, i % 2 == 0}};
            table.apply({at - 1, at, false, changes}, changed);
            for (unsigned follower = 0; follower < 25; ++follower)
                BOOST_TEST(table.changesAfter(at - 1).size() == 1U);
        }
        BOOST_TEST(table.examinedItems() - before <= 260U, servers);
    }
}

BOOST_AUTO_TEST_CASE(TheOldestRemovalsAreDroppedFirst)
{
    ItemTable         table;
    std::vector<Item> changed;
    for (unsigned i = 1; i <= 2000; ++i)
    {
        const std::vector<Item> gone{{"servers/" + std::to_string(i), "", i, true}};
        table.apply(gone, i, changed);
    }
    BOOST_TEST(table.changesAfter(1999).size() == 1U);
    BOOST_TEST(table.changesAfter(1990).size() == 10U);
    BOOST_TEST(table.resendAfter(1990) == 1990U);
    BOOST_TEST(table.resendAfter(100) == 0U); // Removals dropped since then are conveyed by all items only
}

BOOST_AUTO_TEST_CASE(ChangesOutsideTheIndexAreFound)
{
    // Make more changes than the index by revision holds.
    ItemTable         table;
    std::vector<Item> changed;
    for (unsigned i = 1; i <= 9000; ++i)
    {
        const std::vector<Item> changes{{"servers/" + std::to_string(i % 6000), "x", i, false}};
        table.apply(changes, i, changed);
    }
    BOOST_TEST(table.changesAfter(3000).size() == 6000U);
    BOOST_TEST(table.changesAfter(8500).size() == 500U);
    BOOST_TEST(table.changesAfter(0).size() == 6000U);
}

BOOST_AUTO_TEST_CASE(TheRevisionOfAKeyNeverDecreases)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> newer{{"k", "new", 7, false}};
    const std::vector<Item> older{{"k", "old", 5, false}};
    table.apply(newer, 7, changed);
    table.apply(older, 7, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(table.all()[0].value == "new");
    BOOST_TEST(table.revision() == 7U);
}

BOOST_AUTO_TEST_CASE(ASnapshotRemovesUnlistedKeysUnlessTheyAreNewer)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> before{{"gone", "x", 3, false}, {"newer", "y", 12, false}, {"stays", "z", 4, false}};
    // The items are read in pages: some are newer than the revision as of which all are known.
    table.apply(before, 9, changed);
    changed.clear();
    const std::vector<Item> items{{"stays", "z", 4, false}};
    table.applySnapshot(items, 10, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(changed[0].key == "gone");
    BOOST_TEST(changed[0].gone);
    BOOST_TEST(table.all().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ChangesIncludeRemovals)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> changes{{"k", "x", 3, false}};
    const std::vector<Item> removal{{"k", "", 5, true}};
    table.apply(changes, 3, changed);
    table.apply(removal, 5, changed);
    const auto sent = table.changesAfter(3);
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST(sent[0].gone);
    BOOST_TEST(table.changesAfter(5).empty());
}

BOOST_AUTO_TEST_CASE(AfterDroppedRemovalsAnOlderCopyNeedsAllItems)
{
    ItemTable         table;
    std::vector<Item> changed;
    for (std::uint64_t revision = 1; revision <= 2000; ++revision)
    {
        const std::vector<Item> item{{"k" + std::to_string(revision / 2), "", revision, revision % 2 == 1}};
        table.apply(item, revision, changed);
    }
    BOOST_TEST(table.resendAfter(1) == 0U);
    BOOST_TEST(table.resendAfter(2000) == 2000U);
}

BOOST_AUTO_TEST_CASE(AnOlderSnapshotAddsNothing)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> snapshot{{"stays", "z", 4, false}};
    table.applySnapshot(snapshot, 10, changed);
    changed.clear();
    const std::vector<Item> outdated{{"left", "x", 3, false}, {"stays", "z", 4, false}};
    table.applyNonAtomicRead(outdated, 4, 6, changed);
    table.applySnapshot(outdated, 8, changed);
    BOOST_TEST(changed.empty());
    BOOST_TEST(table.all().size() == 1U);
    BOOST_TEST(table.revision() == 10U);
    BOOST_TEST(table.isExact());
}

BOOST_AUTO_TEST_CASE(ACopyWithinAGapIsSentAllChangesSinceItsBeginning)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> items{{"k", "x", 3, false}};
    table.applySnapshot(items, 5, changed);
    table.apply(items, 20, changed);
    BOOST_TEST(!table.hasGapAfter(5));
    table.applySnapshot(items, 30, changed);
    BOOST_TEST(table.resendAfter(4) == 0U); // A copy older than the first snapshot needs all items
    BOOST_TEST(table.resendAfter(5) == 5U);
    BOOST_TEST(table.resendAfter(20) == 20U);
    BOOST_TEST(table.resendAfter(25) == 20U);
    BOOST_TEST(table.resendAfter(30) == 30U);
    BOOST_TEST(table.hasGapAfter(20));
    BOOST_TEST(!table.hasGapAfter(30));
}

BOOST_AUTO_TEST_CASE(TheGapOfANonAtomicReadStaysOpenUntilItsHighestRevision)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> items{{"k", "x", 3, false}};
    table.applyNonAtomicRead(items, 3, 10, changed);
    BOOST_TEST(!table.isExact());
    table.apply(items, 9, changed);
    BOOST_TEST(!table.isExact());
    BOOST_TEST(table.resendAfter(9) == 0U);
    table.apply(items, 10, changed);
    BOOST_TEST(table.isExact());
    BOOST_TEST(table.resendAfter(9) == 0U);
    BOOST_TEST(table.resendAfter(10) == 10U);
}

BOOST_AUTO_TEST_CASE(ItemsThatAPeersChangesDoNotListAreRemoved)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> items{{"old", "x", 3, false}, {"brief", "y", 8, false}};
    table.applySnapshot(items, 8, changed);
    changed.clear();
    const std::vector<Item> sent{{"new", "z", 11, false}};
    table.apply({5, 12, true, sent}, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 2U);
    BOOST_TEST(changed[0].key == "brief");
    BOOST_TEST(changed[0].gone);
    BOOST_TEST(table.all().size() == 2U);
    // The table takes over the other copy's gap, from its beginning.
    BOOST_TEST(table.resendAfter(10) == 5U);
}

BOOST_AUTO_TEST_CASE(APeersGapIsResentFromItsBeginning)
{
    // Another copy advanced from revision 31 to 37 by a non-atomic read and inferred the removal of "left", at 33. This
    // table had revision 33 before, like a third copy that still has "left" and has to be sent changes of revision 33.
    std::vector<Item> changed;
    ItemTable         table;
    table.applySnapshot(std::vector<Item>{{"config", "1", 20, false}, {"left", "ready", 31, false}}, 31, changed);
    table.apply(std::vector<Item>{{"new", "ready", 32, false}}, 33, changed);
    const std::vector<Item> sent{{"left", "", 33, true}, {"new", "ready", 32, false}, {"gone", "", 37, true}};
    table.apply({31, 37, true, sent}, changed);
    BOOST_TEST(table.resendAfter(33) == 31U);
    const auto items = table.changesAfter(table.resendAfter(33));
    BOOST_TEST(
        std::any_of(items.begin(), items.end(), [](const Item& item) { return item.key == "left" && item.gone; }));
    BOOST_TEST(table.resendAfter(37) == 37U);
}

BOOST_AUTO_TEST_CASE(ACopyWithinTwoGapsIsSentChangesSinceTheFirstBeginning)
{
    std::vector<Item> changed;
    ItemTable         table;
    table.applySnapshot(std::vector<Item>{{"config", "1", 20, false}}, 20, changed);
    table.apply({20, 30, true, {}}, changed);
    table.apply({25, 37, true, {}}, changed);
    BOOST_TEST(table.resendAfter(28) == 20U);
    BOOST_TEST(table.resendAfter(33) == 25U);
}

BOOST_AUTO_TEST_CASE(AnOutdatedSnapshotRestoresNoRemovedKey)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> changes{{"k", "ready", 3, false}, {"other", "x", 4, false}};
    const std::vector<Item> removal{{"k", "", 5, true}};
    table.apply(changes, 4, changed);
    table.apply(removal, 5, changed);
    changed.clear();
    applyOutdated(table, changes, 4, changed);
    BOOST_TEST(changed.empty());
    BOOST_TEST(table.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnOutdatedSnapshotRestoresNoKeyWhoseRemovalWasDropped)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> changes{{"k", "ready", 3, false}, {"other", "x", 4, false}};
    const std::vector<Item> removal{{"k", "", 5, true}};
    table.apply(changes, 4, changed);
    table.apply(removal, 5, changed);
    for (std::uint64_t revision = 6; revision <= 2006; ++revision)
    {
        const std::vector<Item> item{{"n" + std::to_string(revision / 2), "", revision, revision % 2 == 1}};
        table.apply(item, revision, changed);
    }
    BOOST_REQUIRE(table.resendAfter(5) == 0U);
    changed.clear();
    applyOutdated(table, changes, 4, changed);
    BOOST_TEST(changed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

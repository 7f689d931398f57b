#include <sailpath/replication/ItemTable.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using sailpath::replication::Item;
using sailpath::replication::ItemTable;

////////////////////////////////////////////////////////////
/// \brief Take a whole picture in every way that one may come
////////////////////////////////////////////////////////////
void takeOld(ItemTable& table, const std::vector<Item>& picture, std::uint64_t at, std::vector<Item>& changed)
{
    table.applySnapshot(picture, at, changed);
    table.applyNonAtomicRead(picture, at, at, changed);
    for (const bool gapped : {false, true})
        table.apply({0, at, gapped, picture}, changed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ItemTableTest)

BOOST_AUTO_TEST_CASE(AChangeCostsTheSameWhateverTheNumberOfItems)
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
        // Ten changes, each told to 25 followers and taken from a relay.
        for (unsigned i = 1; i <= 10; ++i)
        {
            const std::uint64_t     at = servers + i;
            const std::vector<Item> one{{"servers/" + std::to_string(i), "y", at, i % 2 == 0}};
            table.apply({at - 1, at, false, one}, changed);
            for (unsigned follower = 0; follower < 25; ++follower)
                BOOST_TEST(table.changesAfter(at - 1).size() == 1U);
        }
        BOOST_TEST(table.examinedItems() - before <= 260U, servers);
    }
}

BOOST_AUTO_TEST_CASE(RemovalsInNumberAreForgottenTheOldestFirst)
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
    BOOST_TEST(table.resendAfter(100) == 0U); // What was forgotten then is told by the whole picture only
}

BOOST_AUTO_TEST_CASE(WhatChangedLongAgoIsFoundAsWell)
{
    // More changes than are kept in order.
    ItemTable         table;
    std::vector<Item> changed;
    for (unsigned i = 1; i <= 9000; ++i)
    {
        const std::vector<Item> one{{"servers/" + std::to_string(i % 6000), "x", i, false}};
        table.apply(one, i, changed);
    }
    BOOST_TEST(table.changesAfter(3000).size() == 6000U);
    BOOST_TEST(table.changesAfter(8500).size() == 500U);
    BOOST_TEST(table.changesAfter(0).size() == 6000U);
}

BOOST_AUTO_TEST_CASE(AKeyOnlyMovesToHigherRevisions)
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

BOOST_AUTO_TEST_CASE(AWholePictureRemovesWhatItLacksUnlessThatIsNewer)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> before{{"gone", "x", 3, false}, {"newer", "y", 12, false}, {"stays", "z", 4, false}};
    // Read in pages: some items are newer than what all are known to be of.
    table.apply(before, 9, changed);
    changed.clear();
    const std::vector<Item> picture{{"stays", "z", 4, false}};
    table.applySnapshot(picture, 10, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(changed[0].key == "gone");
    BOOST_TEST(changed[0].gone);
    BOOST_TEST(table.all().size() == 2U);
}

BOOST_AUTO_TEST_CASE(RemovalsAreTold)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> one{{"k", "x", 3, false}};
    const std::vector<Item> none{{"k", "", 5, true}};
    table.apply(one, 3, changed);
    table.apply(none, 5, changed);
    const auto told = table.changesAfter(3);
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST(told[0].gone);
    BOOST_TEST(table.changesAfter(5).empty());
}

BOOST_AUTO_TEST_CASE(ForgottenRemovalsAreKnownToBeForgotten)
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

BOOST_AUTO_TEST_CASE(AnOlderPictureAddsNothing)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> whole{{"stays", "z", 4, false}};
    table.applySnapshot(whole, 10, changed);
    changed.clear();
    const std::vector<Item> old{{"left", "x", 3, false}, {"stays", "z", 4, false}};
    table.applyNonAtomicRead(old, 4, 6, changed);
    table.applySnapshot(old, 8, changed);
    BOOST_TEST(changed.empty());
    BOOST_TEST(table.all().size() == 1U);
    BOOST_TEST(table.revision() == 10U);
    BOOST_TEST(table.isExact());
}

BOOST_AUTO_TEST_CASE(WhoKnowsAPartOfAGapIsToldAllSinceItsBeginning)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> items{{"k", "x", 3, false}};
    table.applySnapshot(items, 5, changed);
    table.apply(items, 20, changed);
    BOOST_TEST(!table.hasGapAfter(5));
    table.applySnapshot(items, 30, changed);
    BOOST_TEST(table.resendAfter(4) == 0U); // Before the first reading: the whole picture
    BOOST_TEST(table.resendAfter(5) == 5U);
    BOOST_TEST(table.resendAfter(20) == 20U);
    BOOST_TEST(table.resendAfter(25) == 20U);
    BOOST_TEST(table.resendAfter(30) == 30U);
    BOOST_TEST(table.hasGapAfter(20));
    BOOST_TEST(!table.hasGapAfter(30));
}

BOOST_AUTO_TEST_CASE(AReadingThatIsNoSnapshotLeavesItsGapOpenUntilAllOfItsTimeIsTaken)
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

BOOST_AUTO_TEST_CASE(WhatAnotherCopyDoesNotListOfItsChangesIsGone)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> items{{"old", "x", 3, false}, {"brief", "y", 8, false}};
    table.applySnapshot(items, 8, changed);
    changed.clear();
    const std::vector<Item> told{{"new", "z", 11, false}};
    table.apply({5, 12, true, told}, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 2U);
    BOOST_TEST(changed[0].key == "brief");
    BOOST_TEST(changed[0].gone);
    BOOST_TEST(table.all().size() == 2U);
    // The other copy's gap is this one's too, from its beginning.
    BOOST_TEST(table.resendAfter(10) == 5U);
}

BOOST_AUTO_TEST_CASE(WhoTookAnothersGapTellsFromItsBeginning)
{
    // Another copy went from 31 to 37 by a reading of several moments, and infers that "left" went, at 33. This copy was
    // at 33 already, as is a third one that still has "left": it has to be told of what bears revision 33.
    std::vector<Item> changed;
    ItemTable         table;
    table.applySnapshot(std::vector<Item>{{"config", "1", 20, false}, {"left", "ready", 31, false}}, 31, changed);
    table.apply(std::vector<Item>{{"new", "ready", 32, false}}, 33, changed);
    const std::vector<Item> told{{"left", "", 33, true}, {"new", "ready", 32, false}, {"gone", "", 37, true}};
    table.apply({31, 37, true, told}, changed);
    BOOST_TEST(table.resendAfter(33) == 31U);
    const auto items = table.changesAfter(table.resendAfter(33));
    BOOST_TEST(
        std::any_of(items.begin(), items.end(), [](const Item& item) { return item.key == "left" && item.gone; }));
    BOOST_TEST(table.resendAfter(37) == 37U);
}

BOOST_AUTO_TEST_CASE(WhoIsWithinTwoGapsIsToldFromTheFirstBeginning)
{
    std::vector<Item> changed;
    ItemTable         table;
    table.applySnapshot(std::vector<Item>{{"config", "1", 20, false}}, 20, changed);
    table.apply({20, 30, true, {}}, changed);
    table.apply({25, 37, true, {}}, changed);
    BOOST_TEST(table.resendAfter(28) == 20U);
    BOOST_TEST(table.resendAfter(33) == 25U);
}

BOOST_AUTO_TEST_CASE(AnOldPictureBringsBackNothingThatWasRemoved)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> one{{"k", "ready", 3, false}, {"other", "x", 4, false}};
    const std::vector<Item> none{{"k", "", 5, true}};
    table.apply(one, 4, changed);
    table.apply(none, 5, changed);
    changed.clear();
    takeOld(table, one, 4, changed);
    BOOST_TEST(changed.empty());
    BOOST_TEST(table.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnOldPictureBringsBackNothingWhoseRemovalWasForgotten)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> one{{"k", "ready", 3, false}, {"other", "x", 4, false}};
    const std::vector<Item> none{{"k", "", 5, true}};
    table.apply(one, 4, changed);
    table.apply(none, 5, changed);
    for (std::uint64_t revision = 6; revision <= 2006; ++revision)
    {
        const std::vector<Item> item{{"n" + std::to_string(revision / 2), "", revision, revision % 2 == 1}};
        table.apply(item, revision, changed);
    }
    BOOST_REQUIRE(table.resendAfter(5) == 0U);
    changed.clear();
    takeOld(table, one, 4, changed);
    BOOST_TEST(changed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

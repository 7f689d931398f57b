#include <sailpath/replication/ItemTable.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using sailpath::replication::Item;
using sailpath::replication::ItemTable;

} // namespace

BOOST_AUTO_TEST_SUITE(ItemTableTest)

BOOST_AUTO_TEST_CASE(AKeyOnlyMovesToHigherRevisions)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> newer{{"k", "new", 7, false}};
    const std::vector<Item> older{{"k", "old", 5, false}};
    table.take(newer, 7, changed);
    table.take(older, 7, changed);
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(table.all()[0].value == "new");
    BOOST_TEST(table.at() == 7U);
}

BOOST_AUTO_TEST_CASE(AWholePictureRemovesWhatItLacksUnlessThatIsNewer)
{
    ItemTable               table;
    std::vector<Item>       changed;
    const std::vector<Item> before{{"gone", "x", 3, false}, {"newer", "y", 12, false}, {"stays", "z", 4, false}};
    table.take(before, 12, changed);
    changed.clear();
    const std::vector<Item> picture{{"stays", "z", 4, false}};
    table.takeAll(picture, 10, changed);
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
    table.take(one, 3, changed);
    table.take(none, 5, changed);
    const auto told = table.since(3);
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST(told[0].gone);
    BOOST_TEST(table.since(5).empty());
}

BOOST_AUTO_TEST_CASE(ForgottenRemovalsAreKnownToBeForgotten)
{
    ItemTable         table;
    std::vector<Item> changed;
    for (std::uint64_t revision = 1; revision <= 2000; ++revision)
    {
        const std::vector<Item> item{{"k" + std::to_string(revision / 2), "", revision, revision % 2 == 1}};
        table.take(item, revision, changed);
    }
    BOOST_TEST(table.oldestSince() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

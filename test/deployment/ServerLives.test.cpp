// What a node believes of a server that starts again under the id that it had.

#include <sailpath/deployment/InstanceRegistry.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using deployment::Announcement;
using deployment::InstanceBook;

////////////////////////////////////////////////////////////
Announcement wordOf(std::uint64_t born, std::uint64_t sequence, bool draining = false)
{
    Announcement announcement;
    announcement.instance.id = "a";
    announcement.instance.service = "portal";
    announcement.instance.draining = draining;
    announcement.instance.born = born;
    announcement.sequence = sequence;
    return announcement;
}

////////////////////////////////////////////////////////////
/// \brief The life that takes requests; 0 for none
////////////////////////////////////////////////////////////
std::uint64_t takes(const InstanceBook& book)
{
    const auto list = book.list();
    return list.empty() || list[0].draining ? 0 : list[0].born;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLivesTest)

BOOST_AUTO_TEST_CASE(ItsCountsBeginAnew)
{
    InstanceBook book({1100ms, 2s, 1800ms});
    BOOST_TEST(book.announced(wordOf(1000, 40)));
    BOOST_TEST(book.announced(wordOf(2000, 1)));
    BOOST_TEST(takes(book) == 2000U);
    BOOST_TEST(!book.announced(wordOf(2000, 0)));
}

BOOST_AUTO_TEST_CASE(ThatItDrainedBeforeIsOver)
{
    InstanceBook book({1100ms, 2s, 1800ms});
    (void)book.announced(wordOf(1000, 1, true));
    BOOST_TEST(takes(book) == 0U);
    (void)book.announced(wordOf(2000, 1));
    BOOST_TEST(takes(book) == 2000U);
}

BOOST_AUTO_TEST_CASE(ALateWordOfTheEarlierLifeChangesNothing)
{
    InstanceBook book({1100ms, 2s, 1800ms});
    (void)book.announced(wordOf(1000, 40));
    (void)book.announced(wordOf(2000, 1));
    BOOST_TEST(!book.announced(wordOf(1000, 41, true)));
    BOOST_TEST(takes(book) == 2000U);
}

BOOST_AUTO_TEST_CASE(AClockThatWasSetBackMakesNoEarlierLife)
{
    InstanceBook book({1100ms, 2s, 1800ms});
    (void)book.announced(wordOf(5000, 40));
    BOOST_TEST(book.announced(wordOf(3000, 1)));
    BOOST_TEST(takes(book) == 3000U);
    BOOST_TEST(!book.announced(wordOf(5000, 41)));
}

BOOST_AUTO_TEST_CASE(AnUnreadableEntryNamesNoServerUntilItCanBeReadAgain)
{
    const core::Timestamp now{1h};
    InstanceBook          book({1100ms, 2s, 1800ms});
    (void)book.announced(wordOf(1000, 1));
    book.unreadable("a", now);
    book.settle(true, now);
    BOOST_TEST(takes(book) == 0U);
    (void)book.announced(wordOf(1000, 2));
    BOOST_TEST(takes(book) == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

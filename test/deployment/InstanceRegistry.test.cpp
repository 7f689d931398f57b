#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/InstanceRegistry.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using deployment::Announcement;
using deployment::InstanceBook;

constexpr core::Timestamp start{1h};
constexpr core::Duration  belief = 1100ms;
constexpr core::Duration  outage = 2s;
constexpr core::Duration  reannounce = 1800ms;

////////////////////////////////////////////////////////////
Announcement announcementOf(const std::string& id, std::uint64_t sequence = 1, bool draining = false)
{
    Announcement announcement;
    announcement.instance.id = id;
    announcement.instance.service = "portal";
    announcement.instance.draining = draining;
    announcement.sequence = sequence;
    return announcement;
}

////////////////////////////////////////////////////////////
bool takesRequests(const InstanceBook& book, const std::string& id)
{
    const auto list = book.list();
    return std::any_of(list.begin(), list.end(),
                       [&](const deployment::Instance& instance) { return instance.id == id && !instance.draining; });
}

////////////////////////////////////////////////////////////
struct Fixture
{
    Fixture()
    {
        for (const char* id : {"a", "b", "c", "d"})
            book.announced(announcementOf(id));
    }

    InstanceBook book{{belief, outage, reannounce}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InstanceBookTest, Fixture)

BOOST_AUTO_TEST_CASE(OneThatVanishesAloneIsLeaving)
{
    book.vanished("a", start);
    book.settle(false, start);
    BOOST_TEST(!takesRequests(book, "a"));
    BOOST_TEST(takesRequests(book, "b"));
}

BOOST_AUTO_TEST_CASE(MostOfAServiceIsBelievedInForAWhile)
{
    for (const char* id : {"a", "b", "c"})
        book.vanished(id, start);
    book.settle(false, start);
    BOOST_TEST(takesRequests(book, "a"));
    BOOST_TEST((book.nextDue() == start + belief));
    book.settle(false, start + belief);
    BOOST_TEST(!takesRequests(book, "a"));
    BOOST_TEST(!book.nextDue());
}

BOOST_AUTO_TEST_CASE(BesideFailuresOfTheStoreOneIsBelievedInNoLongerThanItTakesToLeave)
{
    // Hunt: a leaving server's entry vanished four seconds after an outage and got requests for two more.
    book.vanished("a", start);
    book.settle(true, start);
    BOOST_TEST(takesRequests(book, "a"));
    book.settle(true, start + belief);
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(TimeInWhichTheStoreWasNotHeardCounts)
{
    book.vanished("a", start - belief);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageLapsedEntriesMayComeBack)
{
    // The entries lapsed while the store was away for 4.5 s: all their servers were left alone until they were back.
    book.renewed(4500ms, start);
    for (const char* id : {"a", "b"})
        book.vanished(id, start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(takesRequests(book, "a"));
    book.vanished("c", start + 100ms);
    book.settle(false, start + 1700ms);
    BOOST_TEST(takesRequests(book, "b"));
    BOOST_TEST(takesRequests(book, "c"));
    book.announced(announcementOf("a", 2));
    book.settle(false, start + reannounce);
    BOOST_TEST(takesRequests(book, "a"));
    BOOST_TEST(!takesRequests(book, "b"));
    BOOST_TEST(!takesRequests(book, "c"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageOneMissingEntryIsALeavingServer)
{
    book.renewed(4500ms, start);
    book.vanished("a", start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(ADrainingServerDoesNotComeBackAfterAnOutage)
{
    book.announced(announcementOf("a", 5, true));
    book.renewed(4500ms, start);
    for (const char* id : {"a", "b", "c"})
        book.vanished(id, start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "a"));
    BOOST_TEST(takesRequests(book, "b"));
}

BOOST_AUTO_TEST_CASE(AShortSilenceIsNoOutage)
{
    book.renewed(1900ms, start);
    for (const char* id : {"a", "b", "c"})
        book.vanished(id, start - 1900ms);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(OneThatComesBackIsBelievedInAgain)
{
    book.vanished("a", start);
    book.settle(false, start);
    book.announced(announcementOf("a", 2));
    BOOST_TEST(takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(DrainingIsForGood)
{
    book.announced(announcementOf("a", 5, true));
    BOOST_TEST(!takesRequests(book, "a"));
    book.announced(announcementOf("a", 4));
    BOOST_TEST(!takesRequests(book, "a"));
    book.announced(announcementOf("a", 6));
    BOOST_TEST(!takesRequests(book, "a"));
    book.vanished("a", start);
    book.settle(true, start);
    book.announced(announcementOf("a", 7));
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(ALateWriteOfAnOldSequenceChangesNothing)
{
    book.vanished("a", start);
    book.settle(false, start);
    book.announced(announcementOf("a", 0));
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(AnEntryWrittenAnewWithAnotherSequenceOnlyChangesNothing)
{
    const auto before = book.list();
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence)
        book.announced(announcementOf("b", sequence));
    BOOST_TEST((book.list() == before));
    BOOST_TEST(!book.nextDue());
}

BOOST_AUTO_TEST_CASE(OnceDrainingNothingThatTheStoreDoesBringsAnInstanceBack)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        InstanceBook    tried{{belief, outage, reannounce}};
        core::Random    random(seed);
        core::Timestamp now = start;
        const char*     names[] = {"a", "b", "c", "d"};
        for (const char* id : names)
            tried.announced(announcementOf(id, 5));
        tried.announced(announcementOf("a", 6, true));
        // Within the time that instances are remembered after they left.
        while (now < start + 50s)
        {
            now += core::Duration(random.below(900'000));
            const char* id = names[random.below(4)];
            switch (random.below(4))
            {
            case 0:
                tried.renewed(core::Duration(random.below(9'000'000)), now);
                break;
            case 1:
                tried.vanished(id, now - core::Duration(random.below(5'000'000)));
                break;
            case 2:
                tried.announced(announcementOf(id, random.below(12)));
                break;
            default:
                break;
            }
            tried.settle(random.unit() < 0.5, now);
            BOOST_REQUIRE_MESSAGE(!takesRequests(tried, "a"), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(OnceGivenUpOnlyItsOwnNewEntryBringsAnInstanceBack)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        InstanceBook    tried{{belief, outage, reannounce}};
        core::Random    random(seed);
        core::Timestamp now = start;
        const char*     names[] = {"a", "b", "c", "d"};
        for (const char* id : names)
            tried.announced(announcementOf(id, 5));
        bool givenUp = false;
        while (now < start + 200s)
        {
            now += core::Duration(random.below(900'000));
            const char* id = names[random.below(4)];
            switch (random.below(4))
            {
            case 0:
                tried.renewed(core::Duration(random.below(9'000'000)), now);
                break;
            case 1:
                tried.vanished(id, now - core::Duration(random.below(5'000'000)));
                break;
            case 2:
                if (id != names[0])
                    tried.announced(announcementOf(id, random.below(12)));
                break;
            default:
                break;
            }
            tried.settle(random.unit() < 0.5, now);
            givenUp = givenUp || !takesRequests(tried, "a");
            BOOST_REQUIRE_MESSAGE(givenUp != takesRequests(tried, "a"), "seed " << seed);
        }
        BOOST_TEST(givenUp);
    }
}

BOOST_AUTO_TEST_CASE(FurtherRenewalsDoNotProlongTheTimeForLapsedEntries)
{
    book.renewed(4500ms, start);
    for (const char* id : {"a", "b", "c"})
        book.vanished(id, start - 4500ms);
    book.renewed(4300ms, start + 300ms);
    book.renewed(400ms, start + 1500ms);
    book.settle(true, start + reannounce - 1ms);
    BOOST_TEST(takesRequests(book, "a"));
    book.settle(true, start + reannounce);
    BOOST_TEST(!takesRequests(book, "a"));
    BOOST_TEST(takesRequests(book, "d"));
}

BOOST_AUTO_TEST_CASE(WithoutAnOutageASoleServerThatVanishesIsBelievedInNoLonger)
{
    Announcement sole = announcementOf("sole");
    sole.instance.service = "small";
    book.announced(sole);
    book.renewed(outage - 1ms, start);
    book.vanished("sole", start - 200ms);
    book.settle(false, start);
    BOOST_TEST(takesRequests(book, "sole"));
    book.settle(false, start + belief - 200ms);
    BOOST_TEST(!takesRequests(book, "sole"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageOneMissingOfASmallServiceIsALeavingServer)
{
    for (int i = 0; i < 40; ++i)
    {
        Announcement other = announcementOf("other" + std::to_string(i));
        other.instance.service = "other";
        book.announced(other);
    }
    book.renewed(4500ms, start);
    book.vanished("a", start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "a"));
    BOOST_TEST(takesRequests(book, "b"));
}

BOOST_AUTO_TEST_CASE(OneOfASmallServiceThatDrainedDoesNotComeBackAfterAnOutage)
{
    Announcement sole = announcementOf("sole", 1, true);
    sole.instance.service = "small";
    book.announced(sole);
    book.renewed(4500ms, start);
    book.vanished("sole", start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(!takesRequests(book, "sole"));
    sole.sequence = 2;
    sole.instance.draining = false;
    book.announced(sole);
    BOOST_TEST(!takesRequests(book, "sole"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageAWholeSmallServiceThatLapsedMayComeBack)
{
    // The other services' entries outlived the outage, so few of all are missing, but nothing of this one is left.
    for (int i = 0; i < 40; ++i)
    {
        Announcement other = announcementOf("other" + std::to_string(i));
        other.instance.service = "other";
        book.announced(other);
    }
    book.renewed(4500ms, start);
    for (const char* id : {"a", "b", "c", "d"})
        book.vanished(id, start - 4500ms);
    book.settle(true, start);
    BOOST_TEST(takesRequests(book, "a"));
    book.settle(true, start + reannounce);
    BOOST_TEST(!takesRequests(book, "a"));
}

BOOST_AUTO_TEST_CASE(ChangesBringWhoTookAllBeforeToTheSameList)
{
    core::Random                                random(5);
    std::map<std::string, deployment::Instance> taken;
    core::Timestamp                             now = start;
    for (int step = 0; step < 4000; ++step)
    {
        const std::string id = "s" + std::to_string(random.below(12));
        Announcement      announcement = announcementOf(id, random.below(50), random.below(6) == 0);
        announcement.instance.service = random.below(4) == 0 ? "other" : "portal";
        announcement.instance.born = random.below(3);
        if (random.below(3) > 0)
            book.announced(announcement);
        else if (random.below(10) == 0)
            book.unreadable(id, now);
        else
            book.vanished(id, now);
        if (random.below(20) == 0)
            book.renewed(3s, now);
        now += std::chrono::milliseconds{random.below(3000)};
        book.settle(random.below(2) == 0, now);
        if (random.below(3) == 0)
            continue;
        auto changes = book.takeChanges();
        for (const auto& gone : changes.gone)
            BOOST_TEST(taken.erase(gone.id) == 1U);
        for (auto& present : changes.present)
            taken[present.id] = present;
        const auto list = book.list();
        BOOST_REQUIRE_EQUAL(list.size(), taken.size());
        for (const auto& instance : list)
            BOOST_REQUIRE(taken[instance.id] == instance);
    }
}

BOOST_AUTO_TEST_CASE(AWakeUpAndAChangeCostTheSameWhateverTheNumberOfServers)
{
    for (const unsigned servers : {250U, 1000U, 4000U, 20000U})
    {
        InstanceBook many({belief, outage, reannounce});
        for (unsigned i = 0; i < servers; ++i)
            many.announced(announcementOf("s" + std::to_string(i)));
        BOOST_TEST(many.takeChanges().present.size() == servers);
        const auto before = many.looked();
        for (unsigned i = 0; i < 10; ++i)
        {
            many.announced(announcementOf("s" + std::to_string(i), 2, true));
            many.vanished("s" + std::to_string(i + 20), start);
            many.settle(false, start);
            (void)many.nextDue();
            BOOST_TEST(many.takeChanges().present.size() == 1U);
        }
        BOOST_TEST(many.looked() - before <= 60U, servers);
    }
}

BOOST_AUTO_TEST_SUITE_END()

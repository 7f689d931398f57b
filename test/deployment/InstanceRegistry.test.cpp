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
using deployment::InstanceRegistry;

constexpr core::Timestamp start{1h};
constexpr core::Duration  retention = 1100ms;
constexpr core::Duration  outageThreshold = 2s;
constexpr core::Duration  reannounceWindow = 1800ms;

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
bool takesRequests(const InstanceRegistry& registry, const std::string& id)
{
    const auto list = registry.list();
    return std::any_of(list.begin(), list.end(),
                       [&](const deployment::Instance& instance) { return instance.id == id && !instance.draining; });
}

////////////////////////////////////////////////////////////
struct Fixture
{
    Fixture()
    {
        for (const char* id : {"a", "b", "c", "d"})
            registry.applyAnnouncement(announcementOf(id));
    }

    InstanceRegistry registry{{retention, outageThreshold, reannounceWindow}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InstanceBookTest, Fixture)

BOOST_AUTO_TEST_CASE(ASingleRemovedInstanceIsLeaving)
{
    registry.applyRemoval("a", start);
    registry.expire(false, start);
    BOOST_TEST(!takesRequests(registry, "a"));
    BOOST_TEST(takesRequests(registry, "b"));
}

BOOST_AUTO_TEST_CASE(MostOfAServiceIsRetainedForAWhile)
{
    for (const char* id : {"a", "b", "c"})
        registry.applyRemoval(id, start);
    registry.expire(false, start);
    BOOST_TEST(takesRequests(registry, "a"));
    BOOST_TEST((registry.nextDue() == start + retention));
    registry.expire(false, start + retention);
    BOOST_TEST(!takesRequests(registry, "a"));
    BOOST_TEST(!registry.nextDue());
}

BOOST_AUTO_TEST_CASE(AfterFailuresOfTheStoreAnInstanceIsRetainedNoLongerThanItTakesToLeave)
{
    // A leaving server, whose entry was removed four seconds after an outage, got requests for two more seconds.
    registry.applyRemoval("a", start);
    registry.expire(true, start);
    BOOST_TEST(takesRequests(registry, "a"));
    registry.expire(true, start + retention);
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(TimeWithoutContactToTheStoreCountsAsRetention)
{
    registry.applyRemoval("a", start - retention);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageLostInstancesMayComeBack)
{
    // The entries expired during a 4.5 s outage of the store, and their live servers got no requests until they had
    // announced themselves again.
    registry.applyRefresh(4500ms, start);
    for (const char* id : {"a", "b"})
        registry.applyRemoval(id, start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(takesRequests(registry, "a"));
    registry.applyRemoval("c", start + 100ms);
    registry.expire(false, start + 1700ms);
    BOOST_TEST(takesRequests(registry, "b"));
    BOOST_TEST(takesRequests(registry, "c"));
    registry.applyAnnouncement(announcementOf("a", 2));
    registry.expire(false, start + reannounceWindow);
    BOOST_TEST(takesRequests(registry, "a"));
    BOOST_TEST(!takesRequests(registry, "b"));
    BOOST_TEST(!takesRequests(registry, "c"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageOneMissingEntryIsALeavingServer)
{
    registry.applyRefresh(4500ms, start);
    registry.applyRemoval("a", start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(ADrainingServerDoesNotComeBackAfterAnOutage)
{
    registry.applyAnnouncement(announcementOf("a", 5, true));
    registry.applyRefresh(4500ms, start);
    for (const char* id : {"a", "b", "c"})
        registry.applyRemoval(id, start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "a"));
    BOOST_TEST(takesRequests(registry, "b"));
}

BOOST_AUTO_TEST_CASE(AShortGapIsNoOutage)
{
    registry.applyRefresh(1900ms, start);
    for (const char* id : {"a", "b", "c"})
        registry.applyRemoval(id, start - 1900ms);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(AnInstanceThatAnnouncesItselfAgainIsUsable)
{
    registry.applyRemoval("a", start);
    registry.expire(false, start);
    registry.applyAnnouncement(announcementOf("a", 2));
    BOOST_TEST(takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(DrainingIsFinal)
{
    registry.applyAnnouncement(announcementOf("a", 5, true));
    BOOST_TEST(!takesRequests(registry, "a"));
    registry.applyAnnouncement(announcementOf("a", 4));
    BOOST_TEST(!takesRequests(registry, "a"));
    registry.applyAnnouncement(announcementOf("a", 6));
    BOOST_TEST(!takesRequests(registry, "a"));
    registry.applyRemoval("a", start);
    registry.expire(true, start);
    registry.applyAnnouncement(announcementOf("a", 7));
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(ALateWriteOfAnOldSequenceChangesNothing)
{
    registry.applyRemoval("a", start);
    registry.expire(false, start);
    registry.applyAnnouncement(announcementOf("a", 0));
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(AnEntryWrittenAnewWithAnotherSequenceOnlyChangesNothing)
{
    const auto before = registry.list();
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence)
        registry.applyAnnouncement(announcementOf("b", sequence));
    BOOST_TEST((registry.list() == before));
    BOOST_TEST(!registry.nextDue());
}

BOOST_AUTO_TEST_CASE(OnceDrainingNothingThatTheStoreDoesBringsAnInstanceBack)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        InstanceRegistry seeded{{retention, outageThreshold, reannounceWindow}};
        core::Random     random(seed);
        core::Timestamp  now = start;
        const char*      names[] = {"a", "b", "c", "d"};
        for (const char* id : names)
            seeded.applyAnnouncement(announcementOf(id, 5));
        seeded.applyAnnouncement(announcementOf("a", 6, true));
        // Within the 60 s for which dropped instances are remembered.
        while (now < start + 50s)
        {
            now += core::Duration(random.below(900'000));
            const char* id = names[random.below(4)];
            switch (random.below(4))
            {
            case 0:
                seeded.applyRefresh(core::Duration(random.below(9'000'000)), now);
                break;
            case 1:
                seeded.applyRemoval(id, now - core::Duration(random.below(5'000'000)));
                break;
            case 2:
                seeded.applyAnnouncement(announcementOf(id, random.below(12)));
                break;
            default:
                break;
            }
            seeded.expire(random.unit() < 0.5, now);
            BOOST_REQUIRE_MESSAGE(!takesRequests(seeded, "a"), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(OnceDroppedOnlyItsOwnNewEntryBringsAnInstanceBack)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        InstanceRegistry seeded{{retention, outageThreshold, reannounceWindow}};
        core::Random     random(seed);
        core::Timestamp  now = start;
        const char*      names[] = {"a", "b", "c", "d"};
        for (const char* id : names)
            seeded.applyAnnouncement(announcementOf(id, 5));
        bool dropped = false;
        while (now < start + 200s)
        {
            now += core::Duration(random.below(900'000));
            const char* id = names[random.below(4)];
            switch (random.below(4))
            {
            case 0:
                seeded.applyRefresh(core::Duration(random.below(9'000'000)), now);
                break;
            case 1:
                seeded.applyRemoval(id, now - core::Duration(random.below(5'000'000)));
                break;
            case 2:
                if (id != names[0])
                    seeded.applyAnnouncement(announcementOf(id, random.below(12)));
                break;
            default:
                break;
            }
            seeded.expire(random.unit() < 0.5, now);
            dropped = dropped || !takesRequests(seeded, "a");
            BOOST_REQUIRE_MESSAGE(dropped != takesRequests(seeded, "a"), "seed " << seed);
        }
        BOOST_TEST(dropped);
    }
}

BOOST_AUTO_TEST_CASE(FurtherRefreshesDoNotExtendTheReannounceWindow)
{
    registry.applyRefresh(4500ms, start);
    for (const char* id : {"a", "b", "c"})
        registry.applyRemoval(id, start - 4500ms);
    registry.applyRefresh(4300ms, start + 300ms);
    registry.applyRefresh(400ms, start + 1500ms);
    registry.expire(true, start + reannounceWindow - 1ms);
    BOOST_TEST(takesRequests(registry, "a"));
    registry.expire(true, start + reannounceWindow);
    BOOST_TEST(!takesRequests(registry, "a"));
    BOOST_TEST(takesRequests(registry, "d"));
}

BOOST_AUTO_TEST_CASE(WithoutAnOutageASoleRemovedServerIsRetainedNoLonger)
{
    Announcement sole = announcementOf("sole");
    sole.instance.service = "small";
    registry.applyAnnouncement(sole);
    registry.applyRefresh(outageThreshold - 1ms, start);
    registry.applyRemoval("sole", start - 200ms);
    registry.expire(false, start);
    BOOST_TEST(takesRequests(registry, "sole"));
    registry.expire(false, start + retention - 200ms);
    BOOST_TEST(!takesRequests(registry, "sole"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageOneMissingOfASmallServiceIsALeavingServer)
{
    for (int i = 0; i < 40; ++i)
    {
        Announcement other = announcementOf("other" + std::to_string(i));
        other.instance.service = "other";
        registry.applyAnnouncement(other);
    }
    registry.applyRefresh(4500ms, start);
    registry.applyRemoval("a", start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "a"));
    BOOST_TEST(takesRequests(registry, "b"));
}

BOOST_AUTO_TEST_CASE(OneOfASmallServiceThatDrainedDoesNotComeBackAfterAnOutage)
{
    Announcement sole = announcementOf("sole", 1, true);
    sole.instance.service = "small";
    registry.applyAnnouncement(sole);
    registry.applyRefresh(4500ms, start);
    registry.applyRemoval("sole", start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(!takesRequests(registry, "sole"));
    sole.sequence = 2;
    sole.instance.draining = false;
    registry.applyAnnouncement(sole);
    BOOST_TEST(!takesRequests(registry, "sole"));
}

BOOST_AUTO_TEST_CASE(AfterAnOutageAWholeLostSmallServiceMayComeBack)
{
    // Entries of the other services survived the outage, so a small share of all is missing, but this service is
    // missing as a whole.
    for (int i = 0; i < 40; ++i)
    {
        Announcement other = announcementOf("other" + std::to_string(i));
        other.instance.service = "other";
        registry.applyAnnouncement(other);
    }
    registry.applyRefresh(4500ms, start);
    for (const char* id : {"a", "b", "c", "d"})
        registry.applyRemoval(id, start - 4500ms);
    registry.expire(true, start);
    BOOST_TEST(takesRequests(registry, "a"));
    registry.expire(true, start + reannounceWindow);
    BOOST_TEST(!takesRequests(registry, "a"));
}

BOOST_AUTO_TEST_CASE(AppliedChangesGiveTheSameListAsTheRegistry)
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
            registry.applyAnnouncement(announcement);
        else if (random.below(10) == 0)
            registry.applyUnreadableEntry(id, now);
        else
            registry.applyRemoval(id, now);
        if (random.below(20) == 0)
            registry.applyRefresh(3s, now);
        now += std::chrono::milliseconds{random.below(3000)};
        registry.expire(random.below(2) == 0, now);
        if (random.below(3) == 0)
            continue;
        auto changes = registry.takeChanges();
        for (const auto& gone : changes.gone)
            BOOST_TEST(taken.erase(gone.id) == 1U);
        for (auto& present : changes.present)
            taken[present.id] = present;
        const auto list = registry.list();
        BOOST_REQUIRE_EQUAL(list.size(), taken.size());
        for (const auto& instance : list)
            BOOST_REQUIRE(taken[instance.id] == instance);
    }
}

BOOST_AUTO_TEST_CASE(TheCostOfAChangeDoesNotDependOnTheNumberOfServers)
{
    for (const unsigned servers : {250U, 1000U, 4000U, 20000U})
    {
        InstanceRegistry many({retention, outageThreshold, reannounceWindow});
        for (unsigned i = 0; i < servers; ++i)
            many.applyAnnouncement(announcementOf("s" + std::to_string(i)));
        BOOST_TEST(many.takeChanges().present.size() == servers);
        const auto before = many.entriesExamined();
        for (unsigned i = 0; i < 10; ++i)
        {
            many.applyAnnouncement(announcementOf("s" + std::to_string(i), 2, true));
            many.applyRemoval("s" + std::to_string(i + 20), start);
            many.expire(false, start);
            (void)many.nextDue();
            BOOST_TEST(many.takeChanges().present.size() == 1U);
        }
        BOOST_TEST(many.entriesExamined() - before <= 60U, servers);
    }
}

BOOST_AUTO_TEST_SUITE_END()

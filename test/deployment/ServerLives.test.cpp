// Guards against mixing up the lives of a server that restarts under the same id: a late write of an earlier life must
// not replace the new one, and draining must not outlast the life that announced it.

#include <sailpath/deployment/InstanceRegistry.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using deployment::Announcement;
using deployment::InstanceRegistry;

////////////////////////////////////////////////////////////
Announcement announcementOf(std::uint64_t born, std::uint64_t sequence, bool draining = false)
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
/// \brief Get the start of the life that takes requests; 0 for none
////////////////////////////////////////////////////////////
std::uint64_t activeLife(const InstanceRegistry& registry)
{
    const auto list = registry.list();
    return list.empty() || list[0].draining ? 0 : list[0].born;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLivesTest)

BOOST_AUTO_TEST_CASE(ANewLifeStartsItsOwnSequence)
{
    InstanceRegistry registry({1100ms, 2s, 1800ms});
    BOOST_TEST(registry.applyAnnouncement(announcementOf(1000, 40)));
    BOOST_TEST(registry.applyAnnouncement(announcementOf(2000, 1)));
    BOOST_TEST(activeLife(registry) == 2000U);
    BOOST_TEST(!registry.applyAnnouncement(announcementOf(2000, 0)));
}

BOOST_AUTO_TEST_CASE(DrainingEndsWithItsLife)
{
    InstanceRegistry registry({1100ms, 2s, 1800ms});
    (void)registry.applyAnnouncement(announcementOf(1000, 1, true));
    BOOST_TEST(activeLife(registry) == 0U);
    (void)registry.applyAnnouncement(announcementOf(2000, 1));
    BOOST_TEST(activeLife(registry) == 2000U);
}

BOOST_AUTO_TEST_CASE(ALateWriteOfAnEarlierLifeIsIgnored)
{
    InstanceRegistry registry({1100ms, 2s, 1800ms});
    (void)registry.applyAnnouncement(announcementOf(1000, 40));
    (void)registry.applyAnnouncement(announcementOf(2000, 1));
    BOOST_TEST(!registry.applyAnnouncement(announcementOf(1000, 41, true)));
    BOOST_TEST(activeLife(registry) == 2000U);
}

BOOST_AUTO_TEST_CASE(ALifeAfterAClockWasSetBackIsNewer)
{
    InstanceRegistry registry({1100ms, 2s, 1800ms});
    (void)registry.applyAnnouncement(announcementOf(5000, 40));
    BOOST_TEST(registry.applyAnnouncement(announcementOf(3000, 1)));
    BOOST_TEST(activeLife(registry) == 3000U);
    BOOST_TEST(!registry.applyAnnouncement(announcementOf(5000, 41)));
}

BOOST_AUTO_TEST_CASE(AnUnreadableEntryDropsTheServerUntilItIsReadable)
{
    const core::Timestamp now{1h};
    InstanceRegistry      registry({1100ms, 2s, 1800ms});
    (void)registry.applyAnnouncement(announcementOf(1000, 1));
    registry.applyUnreadableEntry("a", now);
    registry.expire(true, now);
    BOOST_TEST(activeLife(registry) == 0U);
    (void)registry.applyAnnouncement(announcementOf(1000, 2));
    BOOST_TEST(activeLife(registry) == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

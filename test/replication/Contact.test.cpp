#include <sailpath/replication/Replica.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::Replica;
using replication::Update;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
/// \brief A node with an open link to one relay
////////////////////////////////////////////////////////////
struct FollowerFixture
{
    FollowerFixture()
    {
        for (const auto& action : replica.takeActions())
        {
            if (const auto* open = std::get_if<replication::OpenLink>(&action))
                link = open->link;
        }
        replica.linkOpened(link, start);
    }

    static replication::ReplicaSettings settingsOf()
    {
        replication::ReplicaSettings settings;
        settings.self = {"10.0.0.9:1", "dc", 0, 0};
        settings.seeds = {"10.0.0.1:1"};
        return settings;
    }

    /// \brief Deliver at `now` an update that the relay sent at `sent`
    void deliverUpdate(core::Timestamp sent, core::Timestamp now, bool isFirst = false)
    {
        Update update;
        update.at = 5;
        update.full = isFirst;
        update.after = isFirst ? 0 : 5;
        update.sentMs = static_cast<std::uint64_t>(core::toMilliseconds(sent.time_since_epoch()));
        if (isFirst)
            update.items = {{"k", "v", 5, false}};
        replica.updateReceived(link, update, now);
    }

    Replica             replica{settingsOf(), start};
    replication::LinkId link{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ContactTest, FollowerFixture)

BOOST_AUTO_TEST_CASE(ANodeWithoutContactHasNoContactTime)
{
    BOOST_TEST(!replica.lastContactAt());
}

BOOST_AUTO_TEST_CASE(ADelayedUpdateCountsFromItsSendingTime)
{
    deliverUpdate(start, start, true);
    BOOST_REQUIRE(replica.lastContactAt());
    BOOST_TEST((*replica.lastContactAt() == start));
    deliverUpdate(start + 350ms, start + 350ms);
    BOOST_TEST((*replica.lastContactAt() == start + 350ms));
    deliverUpdate(start + 700ms, start + 2700ms);
    BOOST_TEST((*replica.lastContactAt() <= start + 710ms));
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/membership.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using membership::Member;
using membership::MemberStatus;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
Member member(const char* name, std::uint64_t incarnation, MemberStatus status = MemberStatus::Alive)
{
    return {name, std::string(name) + ":1", "dc", incarnation, status};
}

////////////////////////////////////////////////////////////
MemberStatus statusOf(const membership::MemberTable& table, std::string_view name)
{
    for (const Member& known : table.all())
    {
        if (known.name == name)
            return known.status;
    }
    return MemberStatus::Dead;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberTable)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anUnreachableMemberIsSuspectedThenDeadThenRemoved)
{
    membership::MemberTable table(member("a", 1), {});
    table.recordContact(member("b", 1), start);
    table.recordUnreachable("b", start);
    BOOST_TEST((statusOf(table, "b") == MemberStatus::Suspect));
    table.tick(start + 3s);
    BOOST_TEST((statusOf(table, "b") == MemberStatus::Suspect));
    table.tick(start + 5s);
    BOOST_TEST((statusOf(table, "b") == MemberStatus::Dead));
    table.tick(start + 20min);
    BOOST_TEST(table.all().size() == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aSuspectedMemberRefutesTheSuspicion)
{
    membership::MemberTable table(member("a", 5), {});
    table.merge(std::array{member("a", 5, MemberStatus::Suspect)}, start);
    BOOST_TEST(table.self().incarnation == 6U);
    membership::MemberTable other(member("b", 1), {});
    other.recordContact(member("a", 5), start);
    other.recordUnreachable("a", start);
    other.recordContact(table.self(), start + 1s);
    BOOST_TEST((statusOf(other, "a") == MemberStatus::Alive));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(olderClaimsChangeNothing)
{
    membership::MemberTable table(member("a", 1), {});
    table.recordContact(member("b", 7), start);
    table.merge(std::array{member("b", 6, MemberStatus::Dead)}, start);
    BOOST_TEST((statusOf(table, "b") == MemberStatus::Alive));
    table.addListed(member("b", 100), start);
    BOOST_TEST(table.all().back().incarnation == 7U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLeavingMemberIsNotContacted)
{
    core::Random            random(1);
    membership::MemberTable table(member("a", 1), {});
    table.recordContact(member("b", 1), start);
    table.merge(std::array{member("b", 2, MemberStatus::Leaving)}, start);
    BOOST_TEST(table.aliveNames().size() == 1U);
    BOOST_TEST(!table.nextPeer(random, start));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(deadMembersAreContactedAtIntervals)
{
    core::Random            random(1);
    membership::MemberTable table(member("a", 1), {});
    table.recordContact(member("b", 1), start);
    (void)table.nextPeer(random, start);
    table.recordUnreachable("b", start);
    table.tick(start + 5s);
    BOOST_REQUIRE(table.nextPeer(random, start + 6s));
    BOOST_TEST(!table.nextPeer(random, start + 7s));
    BOOST_TEST(table.nextPeer(random, start + 12s).has_value());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(claimsAreSentALimitedNumberOfTimes)
{
    membership::MemberTable table(member("a", 1), {});
    table.recordContact(member("b", 1), start);
    int sent = 0;
    for (int i = 0; i < 100; ++i)
        sent += static_cast<int>(table.claimsToSend(6).size());
    BOOST_TEST(sent == 10); // Two claims are sent five times each
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(rendezvousMovesOnlyTheTasksOfALeavingMember)
{
    const std::array<std::string_view, 5> all{"a", "b", "c", "d", "e"};
    const std::array<std::string_view, 4> four{"a", "b", "c", "d"};
    for (int task = 0; task < 200; ++task)
    {
        const std::string name = "task-" + std::to_string(task);
        int               chosen = 0;
        for (const std::string_view node : all)
        {
            const bool before = membership::isChosen(name, node, all, 2);
            chosen += before ? 1 : 0;
            if (before && node != "e")
                BOOST_TEST(membership::isChosen(name, node, four, 2));
        }
        BOOST_TEST(chosen == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

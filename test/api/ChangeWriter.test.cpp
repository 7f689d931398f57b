#include "support/FakeStore.hpp"

#include <sailpath/api/ChangeWriter.hpp>
#include <sailpath/api/Tokens.hpp>
#include <sailpath/documents/StoreKeys.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using api::Change;
using api::ChangeAnswer;
using api::ChangeResult;
using support::FakeStore;
using support::WriteFault;

////////////////////////////////////////////////////////////
Change change(const char* id, std::optional<std::uint64_t> ifRevision, const char* text = "{}")
{
    return {"admissa", text, false, ifRevision, id, false};
}

////////////////////////////////////////////////////////////
struct Fixture
{
    FakeStore         store;
    api::ChangeWriter writer{store, [] {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangeWriter, Fixture)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostAnswerIsResolvedByReadingBack)
{
    store.faults = {WriteFault::LostAnswer};
    const ChangeAnswer answer = writer.apply(change("c1", 0));
    BOOST_TEST((answer.result == ChangeResult::Done));
    BOOST_TEST(store.writes() == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostCallIsMadeAgain)
{
    store.faults = {WriteFault::LostCall, WriteFault::LostCall};
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::Done));
    BOOST_TEST(store.writes() == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostAnswerIsFoundUnderALaterChange)
{
    // Our write takes effect, its answer is lost, and another operator writes before we look.
    store.faults = {WriteFault::LostAnswer};
    api::ChangeWriter  sly(store,
                           [this]
                           {
                              api::ChangeWriter other(store, [] {});
                              BOOST_TEST((other.apply(change("theirs", 2)).result == ChangeResult::Done));
                          });
    const ChangeAnswer answer = sly.apply(change("ours", 0));
    BOOST_TEST((answer.result == ChangeResult::Done));
    BOOST_TEST(store.writes() == 2U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(theSameChangeIsNotMadeTwice)
{
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::Done));
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::AlreadyDone));
    BOOST_TEST(store.writes() == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(racingOperatorsLoseNoUpdate)
{
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::Done));
    store.beforeWrite = [this]
    {
        api::ChangeWriter other(store, [] {});
        BOOST_TEST((other.apply(change("theirs", 2, "theirs")).result == ChangeResult::Done));
    };
    const ChangeAnswer answer = writer.apply(change("ours", 2, "ours"));
    BOOST_TEST((answer.result == ChangeResult::Conflict));
    BOOST_TEST(answer.revision == 3U);
    const auto stored =
        documents::decodeDocument(store.get(documents::configurationKey("admissa")).items.front().value);
    BOOST_TEST(stored->text == "theirs");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anOutageIsSaidHonestly)
{
    store.down = true;
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::Unavailable));
    store.down = false;
    store.faults = {WriteFault::LostAnswer};
    api::ChangeWriter unlucky(store, [this] { store.down = true; });
    BOOST_TEST((unlucky.apply(change("c2", 0)).result == ChangeResult::Unknown));
    store.down = false;
    BOOST_TEST((writer.apply(change("c2", 0)).result == ChangeResult::AlreadyDone));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(deletionLeavesATombstone)
{
    BOOST_TEST((writer.apply(change("c1", 0)).result == ChangeResult::Done));
    Change removal = change("c2", 2);
    removal.remove = true;
    BOOST_TEST((writer.apply(removal).result == ChangeResult::Done));
    const auto item = store.get(documents::configurationKey("admissa")).items.front();
    BOOST_TEST(documents::toDocument(item)->deleted);
    removal.changeId = "c3";
    removal.ifRevision.reset();
    BOOST_TEST((writer.apply(removal).result == ChangeResult::NotFound));
    BOOST_TEST((writer.apply(change("c4", 0)).result == ChangeResult::Done));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aDryRunChangesNothing)
{
    Change dry = change("c1", 0);
    dry.dryRun = true;
    BOOST_TEST((writer.apply(dry).result == ChangeResult::WouldBeDone));
    BOOST_TEST(store.writes() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(tokensOpenOnlyTheirWorkspace)
{
    api::Tokens tokens(store, "admin-secret");
    bool        unavailable = false;
    BOOST_TEST(tokens.check("admin-secret", unavailable)->may(api::Scope::Write, "quetzal"));
    const auto token = tokens.make("admissa", api::Scope::Read);
    BOOST_REQUIRE(token);
    const auto caller = tokens.check(*token, unavailable);
    BOOST_REQUIRE(caller);
    BOOST_TEST(caller->may(api::Scope::Read, "admissa"));
    BOOST_TEST(!caller->may(api::Scope::Write, "admissa"));
    BOOST_TEST(!caller->may(api::Scope::Read, "quetzal"));
    BOOST_TEST(!tokens.check("guess", unavailable));
    BOOST_TEST(!tokens.check("", unavailable));
    store.down = true;
    BOOST_TEST(!tokens.check(*token, unavailable));
    BOOST_TEST(unavailable);
    BOOST_TEST(!api::Tokens(store, "").check("", unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

#include "support/FakeStore.hpp"

#include <sailpath/claims/ClaimWriter.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using claims::Claim;
using claims::ClaimVerdict;
using support::WriteFault;

////////////////////////////////////////////////////////////
struct Fixture
{
    support::FakeStore  store;
    core::Timestamp     now{1h};
    claims::ClaimWriter writer{store, [this] { return now; }};
};

////////////////////////////////////////////////////////////
Claim claim(const char* key, const char* token)
{
    return {claims::claimKey("admissa", "ledger", key), token, 10min};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimWriter, Fixture)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(oneWriteServesABatchAndDuplicatesAreToldApart)
{
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Granted));
    const auto verdicts = writer.commit(std::array{claim("b", "2"), claim("a", "3"), claim("c", "4")});
    BOOST_TEST((verdicts == std::vector{ClaimVerdict::Granted, ClaimVerdict::Duplicate, ClaimVerdict::Granted}));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostAnswerAfterTheEffectIsFoundByItsToken)
{
    store.faults = {WriteFault::LostAnswer};
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Granted));
    BOOST_TEST((writer.commit(std::array{claim("a", "2")}).front() == ClaimVerdict::Duplicate));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostCallIsMadeAgainButNotForever)
{
    store.faults = {WriteFault::LostCall};
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Granted));
    store.faults = {WriteFault::LostCall, WriteFault::LostCall, WriteFault::LostCall};
    BOOST_TEST((writer.commit(std::array{claim("b", "1")}).front() == ClaimVerdict::Unresolved));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anOutageGrantsNothing)
{
    store.down = true;
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Unavailable));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(twoVmsNeverBothGetAKey)
{
    claims::ClaimWriter other(store, [this] { return now; });
    store.beforeWrite = [&]
    { BOOST_TEST((other.commit(std::array{claim("a", "2")}).front() == ClaimVerdict::Granted)); };
    store.faults = {WriteFault::None, WriteFault::None};
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Duplicate));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(onlyTheOwnClaimIsTakenBack)
{
    BOOST_TEST((writer.commit(std::array{claim("a", "1")}).front() == ClaimVerdict::Granted));
    BOOST_TEST(writer.release(claim("a", "2")));
    BOOST_TEST((writer.commit(std::array{claim("a", "3")}).front() == ClaimVerdict::Duplicate));
    BOOST_TEST(writer.release(claim("a", "1")));
    BOOST_TEST((writer.commit(std::array{claim("a", "3")}).front() == ClaimVerdict::Granted));
    store.down = true;
    BOOST_TEST(!writer.release(claim("a", "3")));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(keysOfWorkspacesAndServicesAreApart)
{
    BOOST_TEST(claims::claimKey("a", "s", "k") != claims::claimKey("b", "s", "k"));
    BOOST_TEST(claims::claimKey("a", "s", "k") != claims::claimKey("a", "t", "k"));
    BOOST_TEST(claims::claimKey("a", "s", "../../x").find("..") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

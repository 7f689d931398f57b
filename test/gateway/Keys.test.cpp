#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using support::fieldOf;
using support::Fixture;

////////////////////////////////////////////////////////////
/// \brief Answers with the head that the server got, as its body
////////////////////////////////////////////////////////////
support::Script tellHead(const std::string& request)
{
    return {Fixture::okAnswer(fieldOf(request, "X-Id"), request)};
}

////////////////////////////////////////////////////////////
struct KeyFixture : support::PatientFixture
{
    KeyFixture() :
    PatientFixture(tellHead)
    {
        deployment::Deployment changed = *declared.deployment;
        ++changed.version;
        changed.workspaces = {{"north", {"k1"}, {}, 0, 0}};
        declared.deployment = std::make_shared<const deployment::Deployment>(std::move(changed));
        onLoop([this] { gateway->configure(declared); });
    }

    std::string answerTo(const std::string& more)
    {
        support::TestCaller caller(gateway->port());
        caller.write(request("/read/x", "1", more));
        return caller.readAnswer();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeysTest, KeyFixture)

BOOST_AUTO_TEST_CASE(AServerIsToldTheWorkspaceAndNeverTheKey)
{
    const std::string answer = answerTo("X-Key: k1\r\nX-Workspace: south\r\n");
    BOOST_TEST(support::statusOf(answer) == 200);
    BOOST_TEST(answer.find("X-Workspace: north") != std::string::npos);
    BOOST_TEST(answer.find("south") == std::string::npos);
    BOOST_TEST(answer.find("k1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(WithoutAKeyOrWithAnotherOrWithTwoARequestIsUnauthorized)
{
    for (const char* more : {"", "X-Key: k2\r\n", "X-Key: k1\r\nX-Key: k2\r\n", "X-Workspace: north\r\n"})
        BOOST_TEST(support::statusOf(answerTo(more)) == 401, more);
}

BOOST_AUTO_TEST_SUITE_END()

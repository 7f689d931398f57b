#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using support::fieldOf;
using support::Fixture;

////////////////////////////////////////////////////////////
/// \brief Build an answer whose body is the request head that the server received
////////////////////////////////////////////////////////////
support::Script echoHead(const std::string& request)
{
    return {Fixture::okAnswer(fieldOf(request, "X-Id"), request)};
}

////////////////////////////////////////////////////////////
struct KeyFixture : support::PatientFixture
{
    KeyFixture() :
    PatientFixture(echoHead)
    {
        deployment::Deployment changed = *declared.deployment;
        ++changed.version;
        changed.workspaces = {{"north", {"k1"}, {}, 0, 0}};
        declared.deployment = std::make_shared<const deployment::Deployment>(std::move(changed));
        onLoop([this] { gateway->configure(declared); });
    }

    std::string answerWithFields(const std::string& headerLines)
    {
        support::TestCaller caller(gateway->port());
        caller.write(request("/read/x", "1", headerLines));
        return caller.readAnswer();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeysTest, KeyFixture)

BOOST_AUTO_TEST_CASE(AServerGetsTheWorkspaceAndNeverTheKey)
{
    const std::string answer = answerWithFields("X-Key: k1\r\nX-Workspace: south\r\n");
    BOOST_TEST(support::statusOf(answer) == 200);
    BOOST_TEST(answer.find("X-Workspace: north") != std::string::npos);
    BOOST_TEST(answer.find("south") == std::string::npos);
    BOOST_TEST(answer.find("k1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(AMissingUnknownOrDuplicateKeyIsUnauthorized)
{
    for (const char* more : {"", "X-Key: k2\r\n", "X-Key: k1\r\nX-Key: k2\r\n", "X-Workspace: north\r\n"})
        BOOST_TEST(support::statusOf(answerWithFields(more)) == 401, more);
}

BOOST_AUTO_TEST_SUITE_END()

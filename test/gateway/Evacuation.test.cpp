#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::fieldOf;
using support::PatientFixture;
using support::Script;
using support::statusOf;
using support::TestCaller;

////////////////////////////////////////////////////////////
bool waitFor(const std::function<bool()>& condition)
{
    for (int i = 0; i < 5000 && !condition(); ++i)
        std::this_thread::sleep_for(1ms);
    return condition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayEvacuationTest)

BOOST_AUTO_TEST_CASE(ActiveRequestsFinishAndNewOnesAreRefused)
{
    PatientFixture setup(
        [](const std::string& request)
        {
            Script script{PatientFixture::okAnswer(fieldOf(request, "X-Id"), "done")};
            script.delay = request.find("/read/slow") != std::string::npos ? 300ms : 0ms;
            return script;
        });
    TestCaller slow(setup.gateway->port());
    TestCaller quick(setup.gateway->port());
    quick.write(PatientFixture::request("/read/quick", "a1"));
    BOOST_TEST(statusOf(quick.readAnswer()) == 200);
    slow.write(PatientFixture::request("/read/slow", "a2"));
    BOOST_REQUIRE(waitFor([&] { return setup.server.requests().size() == 2; }));
    setup.declared.evacuated = {"dc"};
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    quick.write(PatientFixture::request("/read/quick", "a3"));
    BOOST_TEST(statusOf(quick.readAnswer()) == 503);
    BOOST_TEST(statusOf(slow.readAnswer()) == 200);
    BOOST_TEST(setup.server.requests().size() == 2U);
    {
        const std::lock_guard<std::mutex> lock(setup.log.mutex);
        BOOST_TEST(setup.log.text.find("reason=all-evacuated") != std::string::npos);
    }
    setup.declared.evacuated = {};
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    quick.write(PatientFixture::request("/read/quick", "a4"));
    BOOST_TEST(statusOf(quick.readAnswer()) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

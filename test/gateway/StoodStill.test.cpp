// The event loop of the gateway stalls, as it does when its VM is suspended, while callers go on sending requests.

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::Fixture;
using support::PatientFixture;
using support::statusOf;
using support::TestCaller;

////////////////////////////////////////////////////////////
/// \brief Build a request whose caller waits for the given time
////////////////////////////////////////////////////////////
std::string requestWithin(const std::string& id, int milliseconds)
{
    return "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: " + id + "\r\nX-Left: " + std::to_string(milliseconds) +
           "\r\n\r\n";
}

////////////////////////////////////////////////////////////
bool reached(const support::ScriptedServer& server, const std::string& id)
{
    const auto requests = server.requests();
    return std::any_of(requests.begin(), requests.end(),
                       [&](const std::string& request) { return support::fieldOf(request, "X-Id") == id; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoodStillTest)

BOOST_AUTO_TEST_CASE(ARequestThatExpiredDuringAStallIsNotSent)
{
    PatientFixture setup;
    TestCaller     impatient(setup.gateway->port());
    TestCaller     patient(setup.gateway->port());
    impatient.write(requestWithin("a1", 5000));
    BOOST_TEST(statusOf(impatient.readAnswer()) == 200);
    patient.write(requestWithin("b1", 5000));
    BOOST_TEST(statusOf(patient.readAnswer()) == 200);
    std::promise<void> stalled;
    asio::post(setup.context,
               [&]
               {
                   stalled.set_value();
                   std::this_thread::sleep_for(1600ms);
               });
    stalled.get_future().wait();
    impatient.write(requestWithin("a2", 600));
    patient.write(requestWithin("b2", 5000));
    BOOST_TEST(statusOf(impatient.readAnswer()) == 503);
    BOOST_TEST(statusOf(patient.readAnswer()) == 200);
    BOOST_TEST(!reached(setup.server, "a2"));
    BOOST_TEST(reached(setup.server, "b2"));
}

BOOST_AUTO_TEST_SUITE_END()

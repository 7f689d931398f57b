#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::fieldOf;
using support::Fixture;
using support::PatientFixture;
using support::Script;
using support::statusOf;
using support::TestCaller;

const std::string rejectedCheck = "HTTP/1.1 503 Full\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n";

////////////////////////////////////////////////////////////
std::string rejectedRequest(const std::string& id)
{
    return "HTTP/1.1 503 Full\r\nX-Not-Run: full\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

////////////////////////////////////////////////////////////
/// \brief Make services answer health checks, so that searches begin with them
////////////////////////////////////////////////////////////
void declareHealthPath(Fixture& setup)
{
    setup.onLoop(
        [&setup]
        {
            auto deployment = std::make_shared<deployment::Deployment>(*setup.declared.deployment);
            deployment->version += 1;
            deployment->services = {{"portal", "/health", 0}};
            setup.declared.deployment = deployment;
            setup.gateway->configure(setup.declared);
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateAnswersTest)

BOOST_AUTO_TEST_CASE(TheSecondAnswerOfARejectedHealthCheckIsNoAnswerToARequest)
{
    std::atomic<int> checks{0};
    PatientFixture   setup(
        [&](const std::string& request)
        {
            if (!request.starts_with("GET /health"))
                return Script{rejectedCheck + Fixture::echo(request).bytes};
            ++checks;
            return Script{rejectedCheck};
        });
    declareHealthPath(setup);
    for (int i = 0; i < 20; ++i)
    {
        TestCaller        caller(setup.gateway->port());
        const std::string id = "a" + std::to_string(i);
        caller.write(Fixture::request("/pay/x", id, "Content-Length: 2\r\n", "POST") + "hi");
        const int status = statusOf(caller.readAnswer());
        // Without a health check before it, nothing tells whose answer it is.
        BOOST_TEST((status == 200 || status == 502), "status " << status << " of a request that ran");
    }
    BOOST_TEST(checks > 0);
}

BOOST_AUTO_TEST_CASE(TheSecondAnswerOfARejectionIsNoAnswerToTheSameIdSentAgain)
{
    // Each id is rejected once and then run. Each connection has a thread, so `late` belongs to the connection.
    std::set<std::string> rejected;
    std::set<std::string> ran;
    std::mutex            mutex;
    PatientFixture        setup(
        [&](const std::string& request)
        {
            thread_local std::string          late;
            const std::string                 id = fieldOf(request, "X-Id");
            const std::lock_guard<std::mutex> lock(mutex);
            const bool                        rejects = rejected.insert(id).second;
            if (!rejects)
                ran.insert(id);
            const std::string own = rejects ? rejectedRequest(id) : Fixture::echo(request).bytes;
            return Script{std::exchange(late, rejects ? own : std::string()) + own};
        });
    for (int i = 0; i < 10; ++i)
    {
        const std::string id = "a" + std::to_string(i);
        const auto        hasRun = [&]
        {
            const std::lock_guard<std::mutex> lock(mutex);
            return ran.contains(id);
        };
        for (int tries = 0; tries < 100 && !hasRun(); ++tries)
        {
            TestCaller caller(setup.gateway->port());
            caller.write(Fixture::request("/pay/x", id, "Content-Length: 2\r\n", "POST") + "hi");
            const int status = statusOf(caller.readAnswer());
            BOOST_TEST((status == (hasRun() ? 200 : 503)), "status " << status << " of " << id << ", ran " << hasRun());
            std::this_thread::sleep_for(100ms);
        }
        BOOST_TEST(hasRun());
    }
}

BOOST_AUTO_TEST_SUITE_END()

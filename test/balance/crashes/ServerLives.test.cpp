// Checks that requests are served while many servers restart under their former ids.

#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLivesTest)

BOOST_AUTO_TEST_CASE(RequestsAreServedWhileATenthOfTheServersStartAgainEachSecond)
{
    support::ModelSettings settings;
    settings.nodes = 18;
    settings.coldTime = 1s;
    settings.retryRatio = 0.2;
    settings.retryExtra = 64;
    support::KindOfRequest read;
    read.name = "read";
    read.target = 400ms;
    read.timeout = 1s;
    read.patience = 2s;
    read.workMs = 60;
    read.retries = 2;
    read.perSecond = 60;
    std::vector<support::ModelServer> servers;
    for (unsigned i = 0; i < 20; ++i)
    {
        support::ModelServer server;
        server.id = "i-" + std::to_string(i);
        server.dataCentre = "dc" + std::to_string(i % 3);
        servers.push_back(server);
    }
    support::ServiceModel model(settings, {read}, servers);
    core::Random          random(7);
    model.run(3s);
    model.beginCount();
    for (int second = 0; second < 40; ++second)
    {
        const auto running = model.runningServers();
        for (std::size_t i = 0; i < 2; ++i)
            model.restartServer(running[(random.below(running.size() / 2) + i * running.size() / 2)], 700ms);
        model.run(1s);
    }
    BOOST_TEST(model.wronglyRefused() == 0U);
    BOOST_TEST(model.tally(0).servedShare() > 0.98);
    // Restarted servers get their share of the requests again.
    for (unsigned i = 0; i < 20; ++i)
        BOOST_TEST(model.countArrivals("i-" + std::to_string(i)) > 30U);
}

BOOST_AUTO_TEST_SUITE_END()

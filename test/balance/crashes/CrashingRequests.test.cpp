// Checks, in a model of many nodes in virtual time, that the fleet soon quarantines a request that ends the servers that
// run it, and that no other request is quarantined, also when servers end in large numbers for other reasons.

#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::KindOfRequest;
using support::ModelServer;
using support::ModelSettings;
using support::ServiceModel;

constexpr core::Duration propagationTime = 3s; // After the third end, until all nodes must know the request
constexpr std::size_t    maxLateSends = 3;
constexpr std::size_t    maxEnds = 5; // Three, and those of copies that are under way until all nodes know

////////////////////////////////////////////////////////////
ServiceModel makeModel(ModelSettings settings, unsigned nodes, std::uint64_t seed)
{
    settings.nodes = nodes;
    settings.dataCentres = 4;
    settings.seed = seed;
    settings.retryRatio = 0.2;
    settings.retryExtra = 64;
    // Servers and requests per node are those of 18 nodes with 10 servers; there are at least 10 servers.
    const unsigned count = std::max(10U, nodes * 10 / 18);
    KindOfRequest  kind;
    kind.name = "read";
    kind.target = 250ms;
    kind.timeout = 1s;
    kind.patience = 2s;
    kind.workMs = 90;
    kind.retries = 2;
    kind.perSecond = 7.3 * count;
    std::vector<ModelServer> servers;
    for (unsigned i = 0; i < count; ++i)
    {
        ModelServer server;
        server.id = "i-" + std::to_string(i);
        server.dataCentre = "dc" + std::to_string(i % 4);
        servers.push_back(server);
    }
    return {settings, {kind}, servers};
}

////////////////////////////////////////////////////////////
/// \brief Effects of a culprit that was sent every two seconds
////////////////////////////////////////////////////////////
struct Result
{
    std::size_t ends{0};           //!< Servers that ended under the culprit
    std::size_t lostBeside{0};     //!< Other requests lost with these servers
    std::size_t lateSends{0};      //!< Arrivals of the culprit at servers after `propagationTime`
    std::size_t wronglyRefused{0}; //!< Other requests that were refused as ending servers
    double      servedShare{0};    //!< Share of the other requests that were served
};

////////////////////////////////////////////////////////////
Result simulate(const ModelSettings& settings, unsigned nodes, std::uint64_t seed, bool movesCaller = false,
                core::Duration otherEndsEvery = {})
{
    const int    seconds = nodes > 100 ? 12 : 40;
    ServiceModel model = makeModel(settings, nodes, seed);
    model.run(4s);
    model.beginCount();
    const std::size_t culprit = model.sendCulprit(0, 2s, movesCaller);
    core::Random      random(seed);
    for (int second = 0; second < seconds; ++second)
    {
        model.run(1s);
        const auto running = model.runningServers();
        if (otherEndsEvery.count() > 0 && second * 1s % otherEndsEvery == 0s && running.size() > 4)
            model.crashServer(running[random.below(running.size())]);
    }
    return {model.culprit(culprit).ends.size(), model.culprit(culprit).lostBeside,
            model.culprit(culprit).countSendsAfterThirdEnd(propagationTime), model.wronglyRefused(),
            model.tally(0).servedShare()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequestsTest)

BOOST_AUTO_TEST_CASE(FleetQuarantinesARequestThatEndsServers)
{
    for (const unsigned nodes : {13U, 95U, 473U})
    {
        for (std::uint64_t seed = 1; seed <= (nodes > 100 ? 1 : 4); ++seed)
        {
            const Result result = simulate({}, nodes, seed);
            BOOST_TEST_CONTEXT(nodes << " nodes, seed " << seed << ", beside " << result.lostBeside << ", served "
                                     << result.servedShare)
            {
                BOOST_TEST(result.ends <= maxEnds);
                BOOST_TEST(result.lateSends <= maxLateSends);
                BOOST_TEST(result.wronglyRefused == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(RequestIsQuarantinedWhenItsCallerChangesAddresses)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        const Result result = simulate({}, 18, seed, true);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(result.ends <= maxEnds + 2);
            BOOST_TEST(result.lateSends <= maxLateSends);
            BOOST_TEST(result.wronglyRefused == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(RequestIsQuarantinedWhileServersEndForOtherReasons)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        const Result result = simulate({}, 18, seed, false, 2s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(result.ends <= maxEnds);
            BOOST_TEST(result.lateSends <= maxLateSends);
            BOOST_TEST(result.wronglyRefused == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(NoRequestIsQuarantinedWhenManyServersEndForOtherReasons)
{
    for (const unsigned nodes : {18U, 60U})
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            ServiceModel model = makeModel({}, nodes, seed);
            core::Random random(seed);
            model.run(4s);
            for (int round = 0; round < 12; ++round)
            {
                // A third of the servers ends at once, then single servers one after the other.
                auto running = model.runningServers();
                for (std::size_t i = 0; i < running.size(); i += 3)
                    model.crashServer(running[i]);
                for (int single = 0; single < 8; ++single)
                {
                    model.run(500ms);
                    running = model.runningServers();
                    if (running.size() > 3)
                        model.crashServer(running[random.below(running.size())]);
                }
            }
            BOOST_TEST(model.wronglyRefused() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

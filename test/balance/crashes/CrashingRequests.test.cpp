// The load of requests that end the servers that run them, replayed by balancers of many nodes in virtual time, with
// news of servers' ends told between nodes; and loads in which servers end in numbers for other reasons.

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

constexpr core::Duration contact = 3s; // For a third end to be known to all
constexpr std::size_t    mostLater = 3;
constexpr std::size_t    mostEnds = 5; // Three, and what is under way until all know

////////////////////////////////////////////////////////////
ServiceModel makeModel(ModelSettings settings, unsigned nodes, std::uint64_t seed)
{
    settings.nodes = nodes;
    settings.dataCentres = 4;
    settings.seed = seed;
    settings.retryRatio = 0.2;
    settings.retryExtra = 64;
    // As many servers and requests for each node as where 18 nodes stand before 10 servers.
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
/// \brief What a culprit brought about that came every two seconds
////////////////////////////////////////////////////////////
struct Result
{
    std::size_t ends{0};
    std::size_t beside{0};
    std::size_t later{0};
    std::size_t wronglyRefused{0};
    double      served{0};
};

////////////////////////////////////////////////////////////
Result play(const ModelSettings& settings, unsigned nodes, std::uint64_t seed, bool moves = false,
            core::Duration others = {})
{
    const int    seconds = nodes > 100 ? 12 : 40;
    ServiceModel model = makeModel(settings, nodes, seed);
    model.run(4s);
    model.beginCount();
    const std::size_t culprit = model.sendCulprit(0, 2s, moves);
    core::Random      random(seed);
    for (int second = 0; second < seconds; ++second)
    {
        model.run(1s);
        const auto present = model.runningServers();
        if (others.count() > 0 && second * 1s % others == 0s && present.size() > 4)
            model.crashServer(present[random.below(present.size())]);
    }
    return {model.culprit(culprit).ends.size(), model.culprit(culprit).lostBeside,
            model.culprit(culprit).countSendsAfterThirdEnd(contact), model.wronglyRefused(),
            model.tally(0).servedShare()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequestsTest)

BOOST_AUTO_TEST_CASE(TheFleetKnowsARequestThatEndsServers)
{
    for (const unsigned nodes : {13U, 95U, 473U})
    {
        for (std::uint64_t seed = 1; seed <= (nodes > 100 ? 1 : 4); ++seed)
        {
            const Result result = play({}, nodes, seed);
            BOOST_TEST_CONTEXT(nodes << " nodes, seed " << seed << ", beside " << result.beside << ", served "
                                     << result.served)
            {
                BOOST_TEST(result.ends <= mostEnds);
                BOOST_TEST(result.later <= mostLater);
                BOOST_TEST(result.wronglyRefused == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ItIsKnownAlsoWhenItsCallerHasAnotherAddressEachTime)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        const Result result = play({}, 18, seed, true);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(result.ends <= mostEnds + 2);
            BOOST_TEST(result.later <= mostLater);
            BOOST_TEST(result.wronglyRefused == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(ItIsKnownWhileServersEndForOtherReasons)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        const Result result = play({}, 18, seed, false, 2s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(result.ends <= mostEnds);
            BOOST_TEST(result.later <= mostLater);
            BOOST_TEST(result.wronglyRefused == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(ServersThatEndInNumbersMakeNobodyACulprit)
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
                // A third at once, then one after the other.
                auto present = model.runningServers();
                for (std::size_t i = 0; i < present.size(); i += 3)
                    model.crashServer(present[i]);
                for (int one = 0; one < 8; ++one)
                {
                    model.run(500ms);
                    present = model.runningServers();
                    if (present.size() > 3)
                        model.crashServer(present[random.below(present.size())]);
                }
            }
            BOOST_TEST(model.wronglyRefused() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

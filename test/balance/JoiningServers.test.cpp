#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

#include <iostream>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::KindOfRequest;
using support::ModelServer;
using support::ModelSettings;
using support::ServiceModel;

constexpr unsigned       dataCentres = 3;
constexpr core::Duration bound = 8s; // Four seconds for the configuration and the first word, four of calm

////////////////////////////////////////////////////////////
/// \brief Let servers join a calm service; the longest time until one of them gets a request
///
/// \param perSecond Requests for the service
/// \param joining   New servers in each data centre
////////////////////////////////////////////////////////////
core::Duration longestUntilAsked(const std::string& name, unsigned nodes, unsigned servers, double perSecond,
                                 unsigned joining, double noiseShare, bool nearFirst = true)
{
    core::Duration longest{};
    unsigned       within = 0;
    unsigned       all = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        ModelSettings settings;
        settings.nodes = nodes;
        settings.dataCentres = dataCentres;
        settings.noiseShare = noiseShare;
        settings.nearFirst = nearFirst;
        settings.seed = seed;
        KindOfRequest kind;
        kind.name = "read";
        kind.target = 250ms;
        kind.timeout = 1s;
        kind.patience = 2s;
        kind.workMs = 80;
        kind.perSecond = perSecond;
        std::vector<ModelServer> old;
        for (unsigned i = 0; i < servers; ++i)
        {
            ModelServer server;
            server.id = "old" + std::to_string(i);
            server.dataCentre = "dc" + std::to_string(i % dataCentres);
            old.push_back(server);
        }
        ServiceModel model(settings, {kind}, old);
        model.run(15s);
        const core::Timestamp joined = model.now();
        for (unsigned i = 0; i < joining * dataCentres; ++i)
        {
            ModelServer server;
            server.id = "new" + std::to_string(i);
            server.dataCentre = "dc" + std::to_string(i % dataCentres);
            model.join(server);
        }
        model.run(30s);
        for (unsigned i = 0; i < joining * dataCentres; ++i)
        {
            const std::string id = "new" + std::to_string(i);
            const auto        first = model.countArrivals(id) == 0 ? 30s : model.firstArrival(id) - joined;
            longest = std::max<core::Duration>(longest, first);
            within += first <= bound ? 1 : 0;
            ++all;
        }
    }
    std::cout << name << " nodes " << nodes << " servers " << servers << " + " << joining * dataCentres
              << " requests/s " << perSecond << ": longest until the first request " << core::toSeconds(longest)
              << " s, within " << core::toSeconds(bound) << " s " << within << " of " << all << '\n';
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JoiningServersTest)

BOOST_AUTO_TEST_CASE(OneThatJoinsInEachDataCentreGetsRequests)
{
    BOOST_TEST((longestUntilAsked("usual", 12, 14, 80, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(OneThatJoinsGetsRequestsOfManyNodesWithFewEach)
{
    BOOST_TEST((longestUntilAsked("many nodes", 90, 14, 80, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(OneThatJoinsManyServersGetsRequestsOfManyNodes)
{
    BOOST_TEST((longestUntilAsked("many nodes, more servers", 90, 42, 160, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(OneThatJoinsAQuietServiceGetsRequests)
{
    BOOST_TEST((longestUntilAsked("quiet", 12, 14, 20, 1, 0.35) <= bound));
    BOOST_TEST((longestUntilAsked("quiet, many nodes", 90, 14, 20, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(OneThatJoinsServersOfAnEvenPaceGetsRequests)
{
    BOOST_TEST((longestUntilAsked("even pace", 12, 14, 80, 1, 0) <= bound));
    BOOST_TEST((longestUntilAsked("even pace, many nodes", 90, 14, 80, 1, 0) <= bound));
    BOOST_TEST((longestUntilAsked("even pace, quiet", 12, 14, 20, 1, 0) <= bound));
}

BOOST_AUTO_TEST_CASE(ManyThatJoinTogetherGetRequests)
{
    BOOST_TEST((longestUntilAsked("together", 12, 14, 80, 4, 0.35) <= bound));
    BOOST_TEST((longestUntilAsked("together, many nodes", 90, 14, 80, 4, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(WithoutPreferenceForTheOwnDataCentreOneThatJoinsGetsRequests)
{
    BOOST_TEST((longestUntilAsked("anywhere", 12, 14, 80, 1, 0.35, false) <= bound));
}

BOOST_AUTO_TEST_SUITE_END()

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
constexpr core::Duration bound = 8s; // 4 s for the configuration and the first load report, 4 s at low load

////////////////////////////////////////////////////////////
/// \brief Add servers to a service at low load and return the longest time until one of them gets its first request
///
/// \param perSecond Requests a second for the service
/// \param joining   Number of new servers in each data centre
////////////////////////////////////////////////////////////
core::Duration longestTimeToFirstRequest(const std::string& name, unsigned nodes, unsigned servers, double perSecond,
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
        std::vector<ModelServer> existing;
        for (unsigned i = 0; i < servers; ++i)
        {
            ModelServer server;
            server.id = "old" + std::to_string(i);
            server.dataCentre = "dc" + std::to_string(i % dataCentres);
            existing.push_back(server);
        }
        ServiceModel model(settings, {kind}, existing);
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
            const auto        delay = model.countArrivals(id) == 0 ? 30s : model.firstArrival(id) - joined;
            longest = std::max<core::Duration>(longest, delay);
            within += delay <= bound ? 1 : 0;
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

BOOST_AUTO_TEST_CASE(AJoiningServerInEachDataCentreGetsRequests)
{
    BOOST_TEST((longestTimeToFirstRequest("usual", 12, 14, 80, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(AJoiningServerGetsRequestsOfManyNodesWithFewEach)
{
    BOOST_TEST((longestTimeToFirstRequest("many nodes", 90, 14, 80, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(AServerThatJoinsManyOthersGetsRequestsOfManyNodes)
{
    BOOST_TEST((longestTimeToFirstRequest("many nodes, more servers", 90, 42, 160, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(AServerThatJoinsAQuietServiceGetsRequests)
{
    BOOST_TEST((longestTimeToFirstRequest("quiet", 12, 14, 20, 1, 0.35) <= bound));
    BOOST_TEST((longestTimeToFirstRequest("quiet, many nodes", 90, 14, 20, 1, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(AServerThatJoinsServersOfEvenSpeedGetsRequests)
{
    BOOST_TEST((longestTimeToFirstRequest("even pace", 12, 14, 80, 1, 0) <= bound));
    BOOST_TEST((longestTimeToFirstRequest("even pace, many nodes", 90, 14, 80, 1, 0) <= bound));
    BOOST_TEST((longestTimeToFirstRequest("even pace, quiet", 12, 14, 20, 1, 0) <= bound));
}

BOOST_AUTO_TEST_CASE(ManyServersThatJoinTogetherGetRequests)
{
    BOOST_TEST((longestTimeToFirstRequest("together", 12, 14, 80, 4, 0.35) <= bound));
    BOOST_TEST((longestTimeToFirstRequest("together, many nodes", 90, 14, 80, 4, 0.35) <= bound));
}

BOOST_AUTO_TEST_CASE(WithoutPreferenceForTheLocalDataCentreAJoiningServerGetsRequests)
{
    BOOST_TEST((longestTimeToFirstRequest("anywhere", 12, 14, 80, 1, 0.35, false) <= bound));
}

BOOST_AUTO_TEST_SUITE_END()

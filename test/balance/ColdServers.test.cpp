#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

#include <iostream>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::WarmUpLimit;
using support::KindOfRequest;
using support::ModelServer;
using support::ModelSettings;
using support::ServiceModel;

constexpr core::Timestamp start{1h};
constexpr double          rate = 2.5;
constexpr double          excess = 1.5;
constexpr double          slack = 8;
constexpr double          mostInSecond = rate * excess + slack;
constexpr unsigned        dataCentres = 4;
constexpr unsigned        serversOfDataCentre = 6;

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> membersOf(unsigned count)
{
    std::vector<std::uint32_t> members;
    for (unsigned i = 0; i < count; ++i)
        members.push_back(deployment::shortHash("member " + std::to_string(i)));
    return members;
}

////////////////////////////////////////////////////////////
/// \brief Result of a run in which the servers of a data centre return cold during an overload
////////////////////////////////////////////////////////////
struct ColdReturn
{
    std::size_t mostInSecond{0}; //!< Most requests at one cold server within a second
    std::size_t atCold{0};       //!< Requests at cold servers
    double      inTarget{0};     //!< Share of requests answered within the target
};

////////////////////////////////////////////////////////////
/// \brief Lose most servers, then add cold ones in one data centre while the load is many times the remaining capacity
///
/// \param limited Whether the service declares a warm-up rate for its cold servers
////////////////////////////////////////////////////////////
ColdReturn runColdReturn(unsigned nodes, bool limited, double membersKnown, std::uint64_t seed,
                         const std::function<void(ServiceModel&)>& afterJoin = {})
{
    ModelSettings settings;
    settings.nodes = nodes;
    settings.dataCentres = dataCentres;
    settings.noiseShare = 0.3;
    settings.kneePace = 1.7;
    settings.retryRatio = 0.2;
    settings.retryExtra = 150;
    settings.warmUpRate = limited ? rate : 0;
    settings.membersKnown = membersKnown;
    settings.seed = seed;
    KindOfRequest kind;
    kind.name = "read";
    kind.target = 400ms;
    kind.timeout = 2s;
    kind.patience = 4s;
    kind.workMs = 40;
    kind.retries = 2;
    kind.perSecond = 400;
    std::vector<ModelServer> servers;
    const auto               serverOf = [](const std::string& id, unsigned dataCentre)
    {
        ModelServer server;
        server.id = id;
        server.dataCentre = "dc" + std::to_string(dataCentre);
        server.slots = 2;
        server.queue = 4;
        return server;
    };
    for (unsigned i = 0; i < dataCentres * serversOfDataCentre; ++i)
        servers.push_back(serverOf("old" + std::to_string(i), i % dataCentres));
    ServiceModel model(settings, {kind}, servers);
    model.run(6s);
    for (unsigned i = 0; i < dataCentres * serversOfDataCentre; ++i)
    {
        if (i % dataCentres != 1)
            model.removeServer("old" + std::to_string(i));
    }
    model.run(2s);
    model.beginCount();
    for (unsigned i = 0; i < serversOfDataCentre; ++i)
        model.join(serverOf("new" + std::to_string(i), 0));
    if (afterJoin)
        afterJoin(model);
    model.run(4s);
    return {model.maxPerSecondAtCold(), model.totalAtCold(), model.tally(0).targetShare()};
}

////////////////////////////////////////////////////////////
void print(const std::string& what, unsigned nodes, const ColdReturn& result)
{
    std::cout << what << ", " << nodes << " nodes: most requests a second at a cold server " << result.mostInSecond
              << ", at cold servers " << result.atCold << ", in target " << result.inTarget << '\n';
}

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpLimitTest)

BOOST_AUTO_TEST_CASE(TheSumOverAllChosenNodesStaysWithinTheBound)
{
    for (const unsigned nodes : {1U, 2U, 13U, 95U, 473U})
    {
        const auto members = membersOf(nodes);
        for (std::uint32_t instance = 0; instance < 50; ++instance)
        {
            unsigned chosen = 0;
            double   sum = 0;
            for (const std::uint32_t self : members)
            {
                WarmUpLimit limit(self, start);
                limit.setBound({rate, excess, slack});
                limit.setMembers(members);
                if (!limit.isChosen(instance, start + 5s))
                    continue;
                ++chosen;
                sum += 1 + limit.ratePerNode();
            }
            BOOST_TEST(chosen == std::min(nodes, 5U));
            BOOST_TEST(sum <= mostInSecond);
        }
    }
}

BOOST_AUTO_TEST_CASE(NodesThatKnowTwoThirdsOfTheOthersKeepTheBound)
{
    constexpr unsigned nodes = 95;
    const auto         members = membersOf(nodes);
    core::Random       random(7);
    double             mean = 0;
    constexpr unsigned instances = 200;
    for (std::uint32_t instance = 0; instance < instances; ++instance)
    {
        double sum = 0;
        for (const std::uint32_t self : members)
        {
            std::vector<std::uint32_t> known;
            std::copy_if(members.begin(), members.end(), std::back_inserter(known),
                         [&](std::uint32_t member) { return member == self || random.unit() < 0.67; });
            WarmUpLimit limit(self, start);
            limit.setBound({rate, excess, slack});
            limit.setMembers(known);
            sum += limit.isChosen(instance, start + 5s) ? 1 + limit.ratePerNode() : 0;
        }
        mean += sum / instances;
    }
    BOOST_TEST(mean <= mostInSecond);
}

BOOST_AUTO_TEST_CASE(ANodeThatJustStartedOrKnowsNoMembersSendsNothingToColdServers)
{
    const auto  members = membersOf(3);
    WarmUpLimit limit(members[0], start);
    limit.setBound({rate, excess, slack});
    BOOST_TEST(!limit.isChosen(1, start + 5s));
    limit.setMembers(members);
    BOOST_TEST(!limit.isChosen(1, start + 1s));
    BOOST_TEST(limit.isChosen(1, start + 5s));
}

BOOST_AUTO_TEST_CASE(EveryServerHasSendersAndTheNodesShareThemEvenly)
{
    constexpr unsigned      nodes = 95;
    constexpr std::uint32_t instances = 950;
    const auto              members = membersOf(nodes);
    std::vector<unsigned>   chosenCounts;
    for (const std::uint32_t self : members)
    {
        WarmUpLimit limit(self, start);
        limit.setBound({rate, excess, slack});
        limit.setMembers(members);
        unsigned count = 0;
        for (std::uint32_t instance = 0; instance < instances; ++instance)
            count += limit.isChosen(instance * 2654435761U, start + 5s) ? 1 : 0;
        chosenCounts.push_back(count);
    }
    BOOST_TEST(*std::min_element(chosenCounts.begin(), chosenCounts.end()) >= 25U); // The mean is 50
    BOOST_TEST(*std::max_element(chosenCounts.begin(), chosenCounts.end()) <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdServersTest)

BOOST_AUTO_TEST_CASE(WithoutALimitManyNodesOverloadAColdServer)
{
    // Shows that the bound checked by the other cases is exceeded without the limit.
    std::size_t most = 0;
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        const ColdReturn result = runColdReturn(95, false, 1, seed);
        print("no limit", 95, result);
        most = std::max(most, result.mostInSecond);
    }
    BOOST_TEST(static_cast<double>(most) > mostInSecond);
}

BOOST_AUTO_TEST_CASE(TheSumOverAllNodesAtAColdServerStaysWithinTheBound)
{
    for (const unsigned nodes : {2U, 13U, 95U, 473U})
    {
        for (const std::uint64_t seed : {1U, 2U})
        {
            const ColdReturn result = runColdReturn(nodes, true, 1, seed);
            print("limited", nodes, result);
            BOOST_TEST(static_cast<double>(result.mostInSecond) <= mostInSecond);
            BOOST_TEST(result.atCold > 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(TheBoundAlsoHoldsWhenNodesKnowTwoThirdsOfTheOthersOrRestart)
{
    for (const std::uint64_t seed : {1U, 2U})
    {
        const ColdReturn part = runColdReturn(95, true, 0.67, seed);
        print("two thirds known", 95, part);
        BOOST_TEST(static_cast<double>(part.mostInSecond) <= mostInSecond);
        const auto restartAll = [](ServiceModel& model)
        {
            for (unsigned i = 0; i < 95; ++i)
            {
                model.restartNode(i);
                model.run(10ms);
            }
        };
        const ColdReturn restarted = runColdReturn(95, true, 1, seed, restartAll);
        print("all restarted", 95, restarted);
        BOOST_TEST(static_cast<double>(restarted.mostInSecond) <= mostInSecond);
    }
}

BOOST_AUTO_TEST_SUITE_END()

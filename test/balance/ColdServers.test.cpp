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
/// \brief What comes of a data centre whose servers come back cold while load is at its worst
////////////////////////////////////////////////////////////
struct ColdReturn
{
    std::size_t mostInSecond{0}; //!< Requests at one cold server within a second
    std::size_t atCold{0};       //!< Requests at cold servers
    double      inTarget{0};     //!< Share of requests meanwhile
};

////////////////////////////////////////////////////////////
/// \brief Lose most servers, bring those of one data centre back cold; the load is many times what the others can do
///
/// \param limited Whether the service declares what its cold servers bear
////////////////////////////////////////////////////////////
ColdReturn play(unsigned nodes, bool limited, double membersKnown, std::uint64_t seed,
                const std::function<void(ServiceModel&)>& meanwhile = {})
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
    if (meanwhile)
        meanwhile(model);
    model.run(4s);
    return {model.maxPerSecondAtCold(), model.totalAtCold(), model.tally(0).targetShare()};
}

////////////////////////////////////////////////////////////
void print(const std::string& what, unsigned nodes, const ColdReturn& seen)
{
    std::cout << what << ", " << nodes << " nodes: most requests a second at a cold server " << seen.mostInSecond
              << ", at cold servers " << seen.atCold << ", in target " << seen.inTarget << '\n';
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
                if (!limit.chosen(instance, start + 5s))
                    continue;
                ++chosen;
                sum += 1 + limit.rate();
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
            sum += limit.chosen(instance, start + 5s) ? 1 + limit.rate() : 0;
        }
        mean += sum / instances;
    }
    BOOST_TEST(mean <= mostInSecond);
}

BOOST_AUTO_TEST_CASE(ANodeThatJustStartedOrKnowsNobodySendsNothingToColdServers)
{
    const auto  members = membersOf(3);
    WarmUpLimit limit(members[0], start);
    limit.setBound({rate, excess, slack});
    BOOST_TEST(!limit.chosen(1, start + 5s));
    limit.setMembers(members);
    BOOST_TEST(!limit.chosen(1, start + 1s));
    BOOST_TEST(limit.chosen(1, start + 5s));
}

BOOST_AUTO_TEST_CASE(EveryServerHasSendersAndTheNodesShareThemEvenly)
{
    constexpr unsigned      nodes = 95;
    constexpr std::uint32_t instances = 950;
    const auto              members = membersOf(nodes);
    std::vector<unsigned>   own;
    for (const std::uint32_t self : members)
    {
        WarmUpLimit limit(self, start);
        limit.setBound({rate, excess, slack});
        limit.setMembers(members);
        unsigned count = 0;
        for (std::uint32_t instance = 0; instance < instances; ++instance)
            count += limit.chosen(instance * 2654435761U, start + 5s) ? 1 : 0;
        own.push_back(count);
    }
    BOOST_TEST(*std::min_element(own.begin(), own.end()) >= 25U); // 50 on average
    BOOST_TEST(*std::max_element(own.begin(), own.end()) <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdServersTest)

BOOST_AUTO_TEST_CASE(WithoutALimitManyNodesFloodAColdServer)
{
    // The rule that the other cases are held against has to see a fault.
    std::size_t most = 0;
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        const ColdReturn seen = play(95, false, 1, seed);
        print("no limit", 95, seen);
        most = std::max(most, seen.mostInSecond);
    }
    BOOST_TEST(static_cast<double>(most) > mostInSecond);
}

BOOST_AUTO_TEST_CASE(AColdServerNeverGetsMoreThanItBearsFromAllNodesTogether)
{
    for (const unsigned nodes : {2U, 13U, 95U, 473U})
    {
        for (const std::uint64_t seed : {1U, 2U})
        {
            const ColdReturn seen = play(nodes, true, 1, seed);
            print("limited", nodes, seen);
            BOOST_TEST(static_cast<double>(seen.mostInSecond) <= mostInSecond);
            BOOST_TEST(seen.atCold > 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(NorWhenNodesKnowTwoThirdsOfTheOthersOrStartAnew)
{
    for (const std::uint64_t seed : {1U, 2U})
    {
        const ColdReturn part = play(95, true, 0.67, seed);
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
        const ColdReturn restarted = play(95, true, 1, seed, restartAll);
        print("all restarted", 95, restarted);
        BOOST_TEST(static_cast<double>(restarted.mostInSecond) <= mostInSecond);
    }
}

BOOST_AUTO_TEST_SUITE_END()

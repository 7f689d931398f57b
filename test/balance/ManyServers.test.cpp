#include <sailpath/balance/ServicePool.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

constexpr core::Timestamp start{1h};
constexpr unsigned        dataCentres = 6;

////////////////////////////////////////////////////////////
std::string dataCentreOf(unsigned number)
{
    return "dc" + std::to_string(number % dataCentres);
}

////////////////////////////////////////////////////////////
deployment::Instance instanceOf(unsigned number)
{
    return {"server-" + std::to_string(number), "portal", "10.0.0.1", 80, dataCentreOf(number), 3, false, {}};
}

////////////////////////////////////////////////////////////
/// \brief The pool of one of many nodes for a service with many servers
////////////////////////////////////////////////////////////
struct Node
{
    Node(unsigned number, unsigned servers) :
    settings(settingsOf(number)),
    pool("portal", settings, std::make_shared<balance::ServerLives>(), start)
    {
        std::vector<deployment::Instance> all;
        for (unsigned i = 0; i < servers; ++i)
            all.push_back(instanceOf(i));
        pool.setInstances(std::move(all), start);
    }

    static balance::Settings settingsOf(unsigned number)
    {
        balance::Settings settings;
        settings.dataCentre = dataCentreOf(number);
        settings.self = deployment::shortHash("node-" + std::to_string(number));
        return settings;
    }

    [[nodiscard]] std::set<std::string> subsetIds() const
    {
        std::set<std::string> ids;
        for (const auto& server : pool.subset().servers())
            ids.insert(server->instance()->id);
        return ids;
    }

    balance::Settings          settings;
    balance::ServicePool       pool;
    core::Random               random{1};
    balance::SelectionCriteria criteria{"read", true, {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ManyServersTest)

BOOST_AUTO_TEST_CASE(TheCostOfASearchIsIndependentOfTheNumberOfServers)
{
    for (const unsigned servers : {250U, 1000U, 4000U, 20000U})
    {
        Node node(1, servers);
        node.criteria.firstRound = true;
        const auto before = node.pool.examinedCount();
        (void)node.pool.choose(node.criteria, start, node.random);
        const auto probed = node.pool.selectProbeTargets(node.criteria, {}, 4, start, node.random);
        BOOST_TEST(probed.size() == 4U);
        BOOST_TEST(node.pool.examinedCount() - before <= 200U, servers);
    }
}

BOOST_AUTO_TEST_CASE(TheCostOfAddingAServerIsIndependentOfTheNumberOfServers)
{
    for (const unsigned servers : {250U, 1000U, 4000U, 20000U})
    {
        Node       node(1, servers);
        const auto before = node.pool.subset().rankedCount();
        for (unsigned i = 0; i < 10; ++i)
            node.pool.upsert(instanceOf(servers + i), start, {});
        BOOST_TEST(node.pool.subset().rankedCount() - before <= 10U, servers);
        BOOST_TEST(node.pool.size() == servers + 10U);
    }
}

BOOST_AUTO_TEST_CASE(TheSubsetOfASmallServiceHoldsAllServers)
{
    const Node node(1, 40);
    BOOST_TEST(node.subsetIds().size() == 40U);
}

BOOST_AUTO_TEST_CASE(NodesSpreadOverTheServersOfTheirDataCentre)
{
    for (const auto& [nodes, servers] : {std::pair(100U, 1000U), std::pair(984U, 2740U)})
    {
        std::map<std::string, unsigned> holders;
        for (unsigned i = 0; i < nodes; ++i)
        {
            const Node node(i, servers);
            for (const std::string& id : node.subsetIds())
                ++holders[id];
        }
        unsigned most = 0;
        for (const auto& [id, count] : holders)
            most = std::max(most, count);
        const double mean = 64.0 * nodes / servers;
        BOOST_TEST(holders.size() >= 0.98 * servers);
        BOOST_TEST(most <= 3 * mean + 6);
    }
}

BOOST_AUTO_TEST_CASE(RemovedServersOfTheSubsetAreReplaced)
{
    Node                  node(1, 1000);
    std::set<std::string> before = node.subsetIds();
    for (const std::string& id : before)
        node.pool.remove(id);
    const auto after = node.subsetIds();
    BOOST_TEST(after.size() == 64U);
    for (const std::string& id : after)
        BOOST_TEST(!before.contains(id), id);
    // The removal of one server changes one place only.
    node.pool.remove(*after.begin());
    std::set<std::string> kept;
    const auto            now = node.subsetIds();
    std::set_intersection(after.begin(), after.end(), now.begin(), now.end(), std::inserter(kept, kept.end()));
    BOOST_TEST(kept.size() == 63U);
}

BOOST_AUTO_TEST_CASE(IfTheWholeSubsetFailsOtherServersAreProbed)
{
    Node node(1, 1000);
    for (const auto& server : node.pool.subset().servers())
    {
        for (int i = 0; i < 6; ++i)
            server->recordFailure(start);
    }
    const auto                        subsetIds = node.subsetIds();
    std::vector<balance::ServerView*> probed;
    std::set<std::string>             others;
    for (int round = 0; round < 4; ++round)
    {
        for (const auto& server : node.pool.selectProbeTargets(node.criteria, probed, 4, start, node.random))
        {
            probed.push_back(server.get());
            if (!subsetIds.contains(server->instance()->id))
                others.insert(server->instance()->id);
        }
    }
    BOOST_TEST(others.size() >= 8U);
}

BOOST_AUTO_TEST_CASE(AServerRemovedDuringASearchIsNotChosen)
{
    Node       node(1, 1000);
    const auto probed = node.pool.selectProbeTargets(node.criteria, {}, 4, start, node.random);
    for (const auto& server : probed)
    {
        server->recordReport({0, 0, 3, 0.1}, start);
        node.pool.remove(server->instance()->id);
    }
    node.criteria.probed = probed;
    node.criteria.maxReportAge = 15ms;
    BOOST_TEST(!node.pool.choose(node.criteria, start, node.random).server);
}

BOOST_AUTO_TEST_SUITE_END()

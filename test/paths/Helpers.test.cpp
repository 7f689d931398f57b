#include <sailpath/core/Hash.hpp>
#include <sailpath/paths/HelperSelector.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using paths::HelperFailure;
using paths::HelperSelector;

const core::Timestamp start{std::chrono::seconds{100}};

////////////////////////////////////////////////////////////
/// \brief A fleet in which some nodes have no path to servers, and what opening tunnels costs there
////////////////////////////////////////////////////////////
struct TunnelModel
{
    static constexpr std::size_t maxPeers = 64;             // That a node knows
    static constexpr unsigned    tunnelsPerNode = 8;        // Each cut off node opens so many
    static constexpr unsigned    mostTunnelsPerHelper = 64; // A quarter of what a VM with 4,096 descriptors grants

    static std::string addressOf(std::size_t node)
    {
        return "10.0." + std::to_string(node / 250) + "." + std::to_string(node % 250) + ":7000";
    }

    static std::vector<deployment::Peer> peersOf(std::size_t node, std::size_t nodes, std::size_t dataCentres)
    {
        std::vector<std::pair<std::uint64_t, deployment::Peer>> ranked;
        const std::uint64_t                                     seed = core::hash(addressOf(node));
        for (std::size_t other = 0; other < nodes; ++other)
        {
            if (other != node)
                ranked.push_back({core::hash(addressOf(other), seed),
                                  {addressOf(other), "dc" + std::to_string(other % dataCentres)}});
        }
        std::sort(ranked.begin(), ranked.end(),
                  [](const auto& left, const auto& right) { return left.first < right.first; });
        ranked.resize(std::min(ranked.size(), maxPeers));
        std::vector<deployment::Peer> peers;
        peers.reserve(ranked.size());
        for (auto& [rank, peer] : ranked)
            peers.push_back(peer);
        return peers;
    }

    void run(std::size_t nodes, std::size_t dataCentres, const std::set<std::size_t>& cutOff)
    {
        for (const std::size_t node : cutOff)
        {
            HelperSelector selector(addressOf(node), "dc" + std::to_string(node % dataCentres));
            selector.setPeers(peersOf(node, nodes, dataCentres));
            for (unsigned tunnel = 0; tunnel < tunnelsPerNode; ++tunnel)
                open(selector, nodes, cutOff);
        }
    }

    void open(HelperSelector& selector, std::size_t nodes, const std::set<std::size_t>& cutOff)
    {
        std::vector<std::string> tried;
        for (unsigned ask = 0; ask < nodes; ++ask)
        {
            const auto helper = selector.choose(tried, start);
            if (!helper)
                break;
            ++asked;
            tried.push_back(*helper);
            bool helperCutOff = false;
            for (const std::size_t node : cutOff)
                helperCutOff = helperCutOff || addressOf(node) == *helper;
            if (!helperCutOff)
            {
                ++opened;
                ++tunnelsOf[*helper];
                mostAsked = std::max(mostAsked, ask + 1);
                return selector.recordOpened(*helper, start);
            }
            selector.recordFailed(*helper, HelperFailure::NoPath, start);
        }
        ++failed;
    }

    [[nodiscard]] unsigned mostTunnels() const
    {
        unsigned most = 0;
        for (const auto& [helper, count] : tunnelsOf)
            most = std::max(most, count);
        return most;
    }

    unsigned                        asked{0};
    unsigned                        opened{0};
    unsigned                        failed{0};
    unsigned                        mostAsked{0}; //!< For one tunnel
    std::map<std::string, unsigned> tunnelsOf;    //!< By helper
};

} // namespace

BOOST_AUTO_TEST_SUITE(HelpersTest)

BOOST_AUTO_TEST_CASE(HelpersOfTheOwnDataCentreComeFirst)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{{"a:1", "south"}, {"b:1", "north"}, {"c:1", "south"}});
    BOOST_TEST(selector.choose({}, start).value() == "b:1");
}

BOOST_AUTO_TEST_CASE(AfterFailuresNearbyOthersAreTried)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{
        {"a:1", "south"}, {"b:1", "north"}, {"c:1", "north"}, {"d:1", "north"}, {"e:1", "north"}});
    for (int i = 0; i < 2; ++i)
        selector.recordFailed(selector.choose({}, start).value(), HelperFailure::NoPath, start);
    BOOST_TEST(selector.choose({}, start).value() == "a:1");
}

BOOST_AUTO_TEST_CASE(AHelperThatOpenedATunnelIsPreferred)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{{"a:1", "south"}, {"b:1", "north"}, {"c:1", "north"}});
    selector.recordOpened("a:1", start);
    BOOST_TEST(selector.choose({}, start).value() == "a:1");
}

BOOST_AUTO_TEST_CASE(AFailedHelperIsAvoidedForAWhile)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{{"a:1", "north"}, {"b:1", "north"}});
    const std::string first = selector.choose({}, start).value();
    selector.recordFailed(first, HelperFailure::Silent, start);
    BOOST_TEST(selector.isAvoided(first, start + 500ms));
    BOOST_TEST(selector.choose({}, start).value() != first);
    BOOST_TEST(!selector.isAvoided(first, start + 1s));
}

BOOST_AUTO_TEST_CASE(WhenAllAreAvoidedTheOldestFailureIsTriedAgain)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{{"a:1", "north"}, {"b:1", "north"}});
    selector.recordFailed("b:1", HelperFailure::Silent, start);
    selector.recordFailed("a:1", HelperFailure::Silent, start + 100ms);
    BOOST_TEST(selector.choose({}, start + 200ms).value() == "b:1");
    BOOST_TEST(!selector.choose(std::vector<std::string>{"a:1", "b:1"}, start + 200ms).has_value());
}

BOOST_AUTO_TEST_CASE(ThisNodeIsNoHelperOfItsOwn)
{
    HelperSelector selector("self:1", "north");
    selector.setPeers(std::vector<deployment::Peer>{{"self:1", "north"}});
    BOOST_TEST(selector.empty());
}

BOOST_DATA_TEST_CASE(TunnelsAreSpreadOverTheNodesThatHaveAPath, boost::unit_test::data::make({13U, 107U, 473U, 984U}),
                     nodes)
{
    constexpr std::size_t dataCentres = 4;
    for (const double share : {0.25, 0.5, 0.67})
    {
        std::set<std::size_t> cutOff;
        for (std::size_t node = 0; node < nodes; ++node)
        {
            // One data centre as a whole, and others until the share is reached.
            if (node % dataCentres == 0 ||
                static_cast<double>(core::hash(TunnelModel::addressOf(node)) % 1000) < 1000 * (share - 0.25) / 0.75)
                cutOff.insert(node);
        }
        TunnelModel model;
        model.run(nodes, dataCentres, cutOff);
        const double each = static_cast<double>(model.opened) / static_cast<double>(nodes - cutOff.size());
        BOOST_TEST_MESSAGE(nodes << " nodes, " << cutOff.size() << " cut off: " << model.asked << " questions for "
                                 << model.opened << " tunnels, " << model.mostAsked << " at most for one, "
                                 << model.mostTunnels() << " tunnels at most through one node, mean " << each);
        BOOST_TEST(model.failed == 0U);
        BOOST_TEST(model.asked <= 3 * model.opened);
        BOOST_TEST(model.mostTunnels() <= TunnelModel::mostTunnelsPerHelper);
    }
}

BOOST_AUTO_TEST_SUITE_END()

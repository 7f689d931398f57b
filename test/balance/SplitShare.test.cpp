#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <map>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::KindOfRequest;
using support::ModelServer;
using support::ModelSettings;
using support::ServiceModel;

constexpr std::size_t windowOf = 200; // Tries in one window
constexpr double      slack = 0.2;

////////////////////////////////////////////////////////////
struct Part
{
    std::string service;
    double      weight;
    unsigned    servers;
    bool        failing{false};
};

////////////////////////////////////////////////////////////
/// \brief Largest deviations from the weights over all windows of `windowOf` tries
////////////////////////////////////////////////////////////
struct Worst
{
    double over{0};    //!< Excess of a part over its weight, as a share of all tries
    double under{0};   //!< Shortfall of a part below its weight without refused tries, as a share of all tries
    double reached{0}; //!< Deviation of a part from its weight among the tries that reached a server
    bool   moved{false};
    double servedShare{0};
};

////////////////////////////////////////////////////////////
Worst runModel(const std::string& name, const std::vector<Part>& parts, unsigned nodes, double perSecond,
               unsigned retries)
{
    ModelSettings settings;
    settings.nodes = nodes;
    KindOfRequest kind;
    kind.name = "read";
    kind.target = 300ms;
    kind.timeout = 1s;
    kind.patience = 2s;
    kind.workMs = 80;
    kind.perSecond = perSecond;
    kind.retries = retries;
    kind.parts.clear();
    std::vector<ModelServer> servers;
    double                   total = 0;
    for (const Part& part : parts)
    {
        kind.parts.push_back({part.service, part.weight});
        total += part.weight;
        for (unsigned i = 0; i < part.servers; ++i)
        {
            ModelServer server;
            server.id = part.service + std::to_string(i);
            server.service = part.service;
            server.dataCentre = "dc" + std::to_string(i % 3);
            server.failing = part.failing;
            servers.push_back(server);
        }
    }
    ServiceModel model(settings, {kind}, servers);
    model.run(20s);
    const auto& tries = model.tries();
    Worst       worst;
    for (std::size_t from = 0; from + windowOf <= tries.size(); from += 20)
    {
        std::map<std::string, double> got;
        for (std::size_t i = from; i < from + windowOf; ++i)
            got[tries[i].firstService] += 1;
        const double refused = got[""];
        for (const Part& part : parts)
        {
            const double weight = part.weight / total;
            const double share = got[part.service] / windowOf;
            worst.over = std::max(worst.over, share - weight);
            worst.under = std::max(worst.under, weight - share - refused / windowOf);
            if (refused < windowOf)
                worst.reached = std::max(worst.reached, std::abs(got[part.service] / (windowOf - refused) - weight));
        }
    }
    worst.moved = std::any_of(tries.begin(), tries.end(), [](const ServiceModel::Try& made) { return made.moved; });
    worst.servedShare = model.tally(0).servedShare();
    std::cout << name << " nodes " << nodes << " retries " << retries << ": tries " << tries.size() << " over "
              << worst.over << " under " << worst.under << " off among those that reached a server " << worst.reached
              << " moved " << worst.moved << " served " << worst.servedShare << '\n';
    return worst;
}

////////////////////////////////////////////////////////////
void check(const std::string& name, const std::vector<Part>& parts, double perSecond = 60)
{
    for (const unsigned nodes : {1U, 12U, 90U})
    {
        for (const unsigned retries : {0U, 3U})
        {
            const Worst worst = runModel(name, parts, nodes, perSecond, retries);
            BOOST_TEST_CONTEXT(name << " nodes " << nodes << " retries " << retries)
            {
                BOOST_TEST(worst.over <= slack);
                BOOST_TEST(worst.under <= slack);
                BOOST_TEST(!worst.moved);
            }
        }
    }
}

////////////////////////////////////////////////////////////
/// \brief Send a few requests to each of many nodes under one split, then `requestsEach` under the next
///
/// \return Share of the requests under the new split that the first part gets
////////////////////////////////////////////////////////////
double shareAfterChange(const std::vector<deployment::SplitPart>& before,
                        const std::vector<deployment::SplitPart>& after, unsigned requestsEach)
{
    constexpr unsigned nodes = 300;
    const auto         declaredOf = [](const std::vector<deployment::SplitPart>& parts, std::uint64_t version)
    {
        auto                  deployment = std::make_shared<deployment::Deployment>();
        deployment::HostRoute route;
        route.name = "read";
        route.host = "a.example";
        route.pathPrefix = "/read/";
        route.parts = parts;
        deployment->version = version;
        deployment->routes = {route};
        deployment->services = {{"a", "", 0}, {"b", "", 0}};
        deployment::DeclaredState declared;
        declared.deployment = deployment;
        declared.instances = {{"a1", "a", "10.0.0.1", 80, "dc", 1000, false, {}},
                              {"b1", "b", "10.0.0.2", 80, "dc", 1000, false, {}}};
        declared.nodes = nodes;
        return declared;
    };
    core::Random          random(7);
    const core::Timestamp now{1h};
    double                first = 0;
    for (unsigned node = 0; node < nodes; ++node)
    {
        balance::Settings settings;
        settings.seed = node + 1;
        settings.probing = false;
        balance::Balancer balancer(settings, now);
        balancer.configure(declaredOf(before, 1), now);
        std::vector<balance::Step> steps;
        const auto                 early = static_cast<unsigned>(random.below(40));
        for (unsigned i = 0; i < early; ++i)
            balancer.admit(i + 1, {"a.example", "/read/1", now, {}}, now);
        balancer.takeSteps(steps);
        balancer.configure(declaredOf(after, 2), now);
        for (unsigned i = 0; i < requestsEach; ++i)
            balancer.admit(1000 + i, {"a.example", "/read/1", now, {}}, now);
        balancer.takeSteps(steps);
        for (const balance::Step& step : steps)
            first += step.kind == balance::StepKind::Forward && step.instance->service == after[0].service ? 1 : 0;
    }
    return first / (nodes * requestsEach);
}

////////////////////////////////////////////////////////////
void checkChange(const std::vector<deployment::SplitPart>& before, const std::vector<deployment::SplitPart>& after)
{
    for (const unsigned requestsEach : {1U, 2U})
    {
        const double share = shareAfterChange(before, after, requestsEach);
        const double wanted = after[0].weight / (after[0].weight + (after.size() > 1 ? after[1].weight : 0));
        std::cout << "change from " << before[0].service << ' ' << before[0].weight << " to " << after[0].service << ' '
                  << after[0].weight << ", requests each " << requestsEach << ": share " << share << " wanted "
                  << wanted << '\n';
        BOOST_TEST(std::abs(share - wanted) <= slack);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SplitShareTest)

BOOST_AUTO_TEST_CASE(EachPartGetsItsShareWhenAllHaveRoom)
{
    check("room", {{"a", 50, 8}, {"b", 30, 8}, {"c", 20, 8}});
}

BOOST_AUTO_TEST_CASE(ExcessOfAnOverloadedPartIsNotMoved)
{
    check("short", {{"a", 50, 12}, {"b", 50, 1}});
}

BOOST_AUTO_TEST_CASE(ShareOfAPartWithoutServersIsNotMoved)
{
    check("empty", {{"a", 50, 12}, {"b", 50, 0}});
}

BOOST_AUTO_TEST_CASE(ShareOfAFailingPartIsNotMoved)
{
    check("failing", {{"a", 50, 12}, {"b", 50, 4, true}});
}

BOOST_AUTO_TEST_CASE(ExcessOfAnOverloadedPartWithALargeWeightIsNotMoved)
{
    check("large short", {{"a", 20, 12}, {"b", 80, 1}});
}

BOOST_AUTO_TEST_CASE(NewlySplitRouteKeepsItsWeightsOnManyNodes)
{
    checkChange({{"a", 100}}, {{"a", 50}, {"b", 50}});
    checkChange({{"a", 100}}, {{"a", 90}, {"b", 10}});
}

BOOST_AUTO_TEST_CASE(ChangedWeightsHoldFromTheStartOnManyNodes)
{
    checkChange({{"a", 90}, {"b", 10}}, {{"a", 50}, {"b", 50}});
    checkChange({{"a", 90}, {"b", 10}}, {{"a", 10}, {"b", 90}});
    checkChange({{"a", 95}, {"b", 5}}, {{"a", 60}, {"b", 40}});
    checkChange({{"a", 90}, {"b", 10}}, {{"b", 90}, {"a", 10}});
    checkChange({{"a", 80}, {"b", 20}}, {{"b", 80}, {"a", 20}});
    checkChange({{"a", 70}, {"b", 30}}, {{"a", 30}, {"b", 70}});
}

BOOST_AUTO_TEST_SUITE_END()

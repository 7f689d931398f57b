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

constexpr double servedSlack = 0.05; // Tolerated shortfall of the served share of a more urgent kind
constexpr double creditSlack = 0.15; // Tolerated shortfall of the credit share of a more urgent kind

////////////////////////////////////////////////////////////
std::vector<ModelServer> serversOf(unsigned count, unsigned queue)
{
    std::vector<ModelServer> servers;
    for (unsigned i = 0; i < count; ++i)
    {
        ModelServer server;
        server.id = "s" + std::to_string(i);
        server.dataCentre = "dc" + std::to_string(i % 3);
        server.queue = queue;
        servers.push_back(server);
    }
    return servers;
}

////////////////////////////////////////////////////////////
KindOfRequest kindOf(const std::string& name, unsigned priority, core::Duration target, core::Duration timeout,
                     core::Duration patience, double workMs, bool repeatable)
{
    KindOfRequest kind;
    kind.name = name;
    kind.priority = priority;
    kind.target = target;
    kind.timeout = timeout;
    kind.patience = patience;
    kind.workMs = workMs;
    kind.repeatable = repeatable;
    return kind;
}

////////////////////////////////////////////////////////////
/// \brief Run the model with kinds of request whose total work is `load` times the capacity of the servers
///
/// \param workShares Share of the offered work of each kind
/// \param load       Offered work over capacity
////////////////////////////////////////////////////////////
std::vector<ServiceModel::Tally> runModel(std::vector<KindOfRequest> kinds, const std::vector<double>& workShares,
                                          double load, std::uint64_t seed, unsigned servers = 14)
{
    ModelSettings settings;
    settings.seed = seed;
    const double pace = 1 - settings.noiseShare + settings.noiseShare / settings.noisePace;
    for (std::size_t i = 0; i < kinds.size(); ++i)
        kinds[i].perSecond = load * workShares[i] * servers * 3 * pace * 1000 / kinds[i].workMs;
    ServiceModel model(settings, kinds, serversOf(servers, 12));
    model.run(6s);
    model.beginCount();
    model.run(20s);
    std::vector<ServiceModel::Tally> tallies;
    for (std::size_t i = 0; i < kinds.size(); ++i)
        tallies.push_back(model.tally(i));
    return tallies;
}

////////////////////////////////////////////////////////////
/// \brief Check for every pair of kinds that the more urgent one is served no less often
////////////////////////////////////////////////////////////
void checkRanks(const std::string& name, const std::vector<KindOfRequest>& kinds, const std::vector<double>& workShares,
                double load)
{
    const auto tallies = runModel(kinds, workShares, load, 1);
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        std::cout << name << " load " << load << ' ' << kinds[i].name << " rank " << kinds[i].priority << " target "
                  << kinds[i].target.count() / 1000 << " ms: owed " << tallies[i].requests << " served "
                  << tallies[i].servedShare() << " in target " << tallies[i].targetShare() << " credit "
                  << tallies[i].creditShare(kinds[i].lateWorth) << '\n';
    }
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        for (std::size_t j = 0; j < kinds.size(); ++j)
        {
            if (kinds[i].priority >= kinds[j].priority)
                continue;
            BOOST_TEST_CONTEXT(name << " load " << load << ": " << kinds[i].name << " against " << kinds[j].name)
            {
                BOOST_TEST(tallies[i].servedShare() >= tallies[j].servedShare() - servedSlack);
                BOOST_TEST(tallies[i].creditShare(kinds[i].lateWorth) >=
                           tallies[j].creditShare(kinds[j].lateWorth) - creditSlack);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

BOOST_AUTO_TEST_CASE(UrgentKindWithAnEqualTargetIsServedNoLessOften)
{
    for (const double load : {0.7, 1.0, 1.3, 1.7, 2.5})
        checkRanks("equal targets",
                   {kindOf("urgent", 0, 400ms, 1s, 2s, 100, true), kindOf("later", 2, 400ms, 1s, 2s, 100, true)},
                   {0.5, 0.5}, load);
}

BOOST_AUTO_TEST_CASE(UrgentKindWithALongTargetIsServedNoLessOften)
{
    for (const double load : {0.7, 1.0, 1.3, 1.7, 2.5})
        checkRanks(
            "long urgent",
            {kindOf("urgent", 0, 600ms, 1200ms, 2500ms, 240, true), kindOf("later", 2, 200ms, 800ms, 1s, 60, true)},
            {0.5, 0.5}, load);
}

BOOST_AUTO_TEST_CASE(UrgentKindWithAShortTargetIsServedNoLessOften)
{
    for (const double load : {0.7, 1.0, 1.3, 1.7, 2.5})
        checkRanks(
            "short urgent",
            {kindOf("urgent", 0, 200ms, 800ms, 1s, 60, true), kindOf("later", 2, 600ms, 1200ms, 2500ms, 240, true)},
            {0.5, 0.5}, load);
}

BOOST_AUTO_TEST_CASE(ThreeRanksOfOneServiceAreServedInOrder)
{
    for (const double load : {0.7, 1.0, 1.3, 1.7, 2.5})
        checkRanks("three ranks",
                   {kindOf("first", 0, 200ms, 800ms, 1s, 60, true), kindOf("second", 1, 300ms, 1s, 2s, 100, true),
                    kindOf("third", 2, 600ms, 1200ms, 2500ms, 240, true)},
                   {0.33, 0.33, 0.33}, load);
}

BOOST_AUTO_TEST_CASE(NonRepeatableKindMovedToABusyServiceIsServedNoLessOften)
{
    for (const double load : {0.7, 1.0, 1.3, 1.7, 2.5})
        checkRanks("moved",
                   {kindOf("hold", 1, 250ms, 1s, 1s, 78, false), kindOf("copy", 2, 400ms, 800ms, 1500ms, 150, true),
                    kindOf("cover", 2, 600ms, 1200ms, 2500ms, 240, true)},
                   {0.21, 0.47, 0.32}, load);
}

BOOST_AUTO_TEST_SUITE_END()

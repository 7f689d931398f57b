#include <support/QuotaFleet.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace sailpath::support::quotas;
using namespace std::chrono_literals;

////////////////////////////////////////////////////////////
/// \brief Return the most requests in any window while nodes are isolated, as a part of the tolerated ones
///
/// \param isolated Number of nodes that neither send nor receive reports
////////////////////////////////////////////////////////////
double worstWindowWhileIsolated(unsigned isolated, unsigned seed)
{
    Load load{107, 107, 327, 327};
    load.seed = seed;
    Fleet fleet(load);
    fleet.run(3s, 0.6 * load.perSecond);
    fleet.isolateNodes(isolated);
    fleet.run(2s, 0.6 * load.perSecond);
    const auto from = fleet.now();
    fleet.run(10s, 5 * load.perSecond);
    return static_cast<double>(fleet.maxInSpan(window, from)) / toleratedRequests(load.perSecond, load.burst);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OpenQuotasTest)

BOOST_DATA_TEST_CASE(TheQuotaIsKeptWithAnySeed, boost::unit_test::data::xrange(2, 12), seed)
{
    Load load{107, 107, 327, 327};
    load.seed = seed;
    load.overloadFactor = 20;
    BOOST_TEST(simulate(load).worstWindow <= 1.0);
    load.overloadFactor = 5;
    load.reportDelay = 500ms;
    BOOST_TEST(simulate(load).worstWindow <= 1.0);
    BOOST_TEST(worstWindowWhileIsolated(107 / 4, seed) <= 1.0);
    BOOST_TEST(worstWindowOfHalves(54, seed) <= 1.0);
}

BOOST_AUTO_TEST_CASE(ADemandOfTwentyTimesTheQuotaIsHeld)
{
    Load load{107, 107, 327, 327};
    load.overloadFactor = 20;
    BOOST_TEST(simulate(load).worstWindow <= 1.0);
}

BOOST_AUTO_TEST_CASE(NewsThatTakeHalfASecondKeepTheQuota)
{
    Load load{107, 107, 327, 327};
    load.reportDelay = 500ms;
    BOOST_TEST(simulate(load).worstWindow <= 1.0);
}

BOOST_AUTO_TEST_CASE(AFourthOfTheNodesCutOffKeepsTheQuota)
{
    BOOST_TEST(worstWindowWhileIsolated(107 / 4, 1) <= 1.0);
}

BOOST_AUTO_TEST_CASE(TwoHalvesOfAFleetThatIsCutKeepTheQuotaTogether)
{
    BOOST_TEST(worstWindowOfHalves(54, 1) <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

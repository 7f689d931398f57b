#include <support/QuotaFleet.hpp>

#include <boost/test/unit_test.hpp>

using namespace sailpath::support::quotas;

BOOST_AUTO_TEST_SUITE(UnheardNodesTest)

BOOST_AUTO_TEST_CASE(TwoHalvesThatMissAThirdOfTheMembersKeepTheQuotaTogether)
{
    BOOST_TEST(worstWindowOfHalves(18, 1) <= 1.0);
}

BOOST_AUTO_TEST_CASE(TwoHalvesThatNeverHeardOfEachOtherKeepTheQuotaTogether)
{
    BOOST_TEST(worstWindowOfHalves(0, 1) <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/paths/DownVerdict.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using sailpath::paths::DownVerdict;

} // namespace

BOOST_AUTO_TEST_SUITE(DownVerdictTest)

BOOST_AUTO_TEST_CASE(OneHelperDoesNotSuffice)
{
    DownVerdict verdict;
    BOOST_TEST(!verdict.isConclusive(false));
    verdict.record("dc-1", true);
    BOOST_TEST(!verdict.isConclusive(true));
    BOOST_TEST(!verdict.isConclusive(false));
}

BOOST_AUTO_TEST_CASE(TwoHelpersOfDifferentDataCentresSuffice)
{
    DownVerdict verdict;
    verdict.record("dc-1", false);
    verdict.record("dc-2", true);
    BOOST_TEST(verdict.isConclusive(true));
}

// Guards against a server that is taken for ended by the word of one helper, which may have lost its own path.
BOOST_AUTO_TEST_CASE(OnlyRefusalsOfAllHelpersShowThatAServerHasEnded)
{
    DownVerdict none;
    BOOST_TEST(!none.isRefusal());
    for (const bool first : {true, false})
    {
        for (const bool second : {true, false})
        {
            DownVerdict verdict;
            verdict.record("dc-1", first);
            verdict.record("dc-2", second);
            BOOST_TEST(verdict.isConclusive(true));
            BOOST_TEST(verdict.isRefusal() == (first && second));
        }
    }
}

BOOST_AUTO_TEST_CASE(HelpersOfOneDataCentreSufficeOnlyWhenThereIsNoOther)
{
    DownVerdict verdict;
    for (int i = 0; i < 3; ++i)
        verdict.record("dc-1", false);
    BOOST_TEST(!verdict.isConclusive(true));
    BOOST_TEST(verdict.isConclusive(false));
    BOOST_TEST(!verdict.isRefusal());
}

BOOST_AUTO_TEST_CASE(AllThatWereAskedSuffice)
{
    DownVerdict verdict;
    BOOST_TEST(!verdict.isUnanimous(0));
    verdict.record("dc-1", true);
    BOOST_TEST(verdict.isUnanimous(1));
    BOOST_TEST(!verdict.isUnanimous(2));
}

BOOST_AUTO_TEST_SUITE_END()

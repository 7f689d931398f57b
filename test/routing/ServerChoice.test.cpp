#include <sailpath/routing/ServerChoice.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using routing::Candidate;

const std::array<Candidate, 3> candidates{Candidate{0, 30.0, 2, 9.0}, Candidate{1, 10.0, 5, 1.0},
                                          Candidate{2, 20.0, 0, 5.0}};

////////////////////////////////////////////////////////////
std::array<int, 3> counts(std::string_view strategy)
{
    core::Random       random(1);
    const auto         choice = routing::makeServerChoice(strategy);
    std::array<int, 3> chosen{};
    for (int i = 0; i < 3000; ++i)
        ++chosen.at(choice->choose(candidates, random));
    return chosen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerChoice)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(estimatedFinishPrefersTheEarliestButNotAlways)
{
    const auto chosen = counts("estimated-finish");
    BOOST_TEST(chosen[1] > 2700);
    BOOST_TEST(chosen[1] < 3000);
    BOOST_TEST(chosen[0] < 30);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(baselinesDoWhatTheirNamesSay)
{
    BOOST_TEST(counts("least-own")[2] == 3000);
    BOOST_TEST(counts("round-robin")[0] == 1000);
    BOOST_TEST(counts("two-own")[1] < counts("two-own")[2]);
    BOOST_TEST(counts("two-reported")[1] > counts("two-reported")[0]);
    BOOST_TEST(counts("random")[0] > 800);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unknownStrategiesAreRefused)
{
    BOOST_TEST(!routing::makeServerChoice("best"));
}

BOOST_AUTO_TEST_SUITE_END()

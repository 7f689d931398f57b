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
std::array<int, 3> choicesOf(std::string_view strategy)
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
BOOST_AUTO_TEST_CASE(estimatedFinishMostlyChoosesTheEarliest)
{
    const auto chosen = choicesOf("estimated-finish");
    BOOST_TEST(chosen[1] > 2700);
    BOOST_TEST(chosen[1] < 3000);
    BOOST_TEST(chosen[0] < 30);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(baselinesFollowTheirStrategies)
{
    BOOST_TEST(choicesOf("least-own")[2] == 3000);
    BOOST_TEST(choicesOf("round-robin")[0] == 1000);
    BOOST_TEST(choicesOf("two-own")[1] < choicesOf("two-own")[2]);
    BOOST_TEST(choicesOf("two-reported")[1] > choicesOf("two-reported")[0]);
    BOOST_TEST(choicesOf("random")[0] > 800);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unknownStrategiesAreRejected)
{
    BOOST_TEST(!routing::makeServerChoice("best"));
}

BOOST_AUTO_TEST_SUITE_END()

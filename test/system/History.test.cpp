#include "History.hpp"

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::system;

////////////////////////////////////////////////////////////
History good()
{
    return {{{"op-1", "r-1", Ending::NotRun, "", true, false},
             {"op-1", "r-2", Ending::Answered, "r-2", true, false},
             {"op-2", "r-3", Ending::Unknown, "", true, false},
             {"op-3", "r-4", Ending::Broken, "", true, false}},
            {{"s-1", "r-2.1", "op-1"}, {"s-2", "r-3.1", "op-2"}}};
}

////////////////////////////////////////////////////////////
std::string brokenRule(const History& history)
{
    const auto violations = checkHistory(history);
    return violations.size() == 1 ? violations.front().rule : std::to_string(violations.size()) + " violations";
}

} // namespace

BOOST_AUTO_TEST_SUITE(HistoryCheck)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aGoodHistoryPasses)
{
    BOOST_TEST(checkHistory(good()).empty());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aDoubledExecutionIsCaught)
{
    History history = good();
    history.executions.push_back({"s-2", "r-3.2", "op-2"});
    BOOST_TEST(brokenRule(history) == "at-most-once");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aFalseNotRunIsCaught)
{
    History history = good();
    history.executions.push_back({"s-1", "r-1.1", ""});
    BOOST_TEST(brokenRule(history) == "not-run");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anotherCallersAnswerIsCaught)
{
    History history = good();
    history.sendings[1].answeredFor = "r-3";
    BOOST_TEST(brokenRule(history) == "own-answer");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anAnswerOutOfNothingOrAHalfOneIsCaught)
{
    History history = good();
    history.executions.erase(history.executions.begin());
    BOOST_TEST(brokenRule(history) == "own-answer");
    history = good();
    history.sendings[1].whole = false;
    BOOST_TEST(brokenRule(history) == "own-answer");
}

BOOST_AUTO_TEST_SUITE_END()

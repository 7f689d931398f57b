#include "../../src/sailpath/gateway/AnswerHead.hpp"

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using gateway::priv::classifyAnswer;
using gateway::priv::classifyProbe;
using gateway::priv::parseNotice;

////////////////////////////////////////////////////////////
gateway::Dialect dialectWithLoad()
{
    gateway::Dialect dialect = support::testDialect();
    dialect.parseLoad = [](std::string_view text) {
        return text.empty() ? std::nullopt : std::optional(balance::Load{7, 0, 8, 1});
    };
    return dialect;
}

////////////////////////////////////////////////////////////
http::Head headOf(unsigned status, std::vector<http::HeaderField> fields)
{
    http::Head head;
    head.status = status;
    head.fields = std::move(fields);
    return head;
}

const gateway::Dialect dialect = dialectWithLoad();

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerHeadTest)

BOOST_AUTO_TEST_CASE(ALoadCountsOnlyFromTheInstanceThatWasAsked)
{
    const http::HeaderField load{"X-Load", "7,0,8"};
    BOOST_TEST(classifyAnswer(headOf(200, {{"X-Id", "r"}, {"X-Mark", "m"}, load}), dialect).load.has_value());
    BOOST_TEST(classifyAnswer(headOf(503, {{"X-Id", "r"}, {"X-Not-Run", "full"}, load}), dialect).load.has_value());
    // A 421 means that another instance has the address; the load is that instance's.
    const auto misdirected = classifyAnswer(headOf(421, {{"X-Id", "r"}, {"X-Not-Run", "other"}, load}), dialect);
    BOOST_TEST(misdirected.misdirected);
    BOOST_TEST(!misdirected.load.has_value());
    BOOST_TEST(!classifyAnswer(headOf(500, {load}), dialect).load.has_value());
    BOOST_TEST(classifyProbe(headOf(200, {{"X-Who", "i-1"}, load}), "i-1", dialect).load.has_value());
    BOOST_TEST(!classifyProbe(headOf(200, {{"X-Who", "i-2"}, load}), "i-1", dialect).load.has_value());
}

BOOST_AUTO_TEST_CASE(TheLongestBackOffAppliesAndIsCappedAtOneHour)
{
    const auto backOff = [](std::vector<http::HeaderField> fields, unsigned status = 503)
    {
        fields.push_back({"X-Id", "r"});
        return parseNotice(headOf(status, std::move(fields)), false, "i-1", dialect).backOff;
    };
    BOOST_TEST((backOff({{"Retry-After", "1.5"}, {"Retry-After", "0.5"}}) == 1500ms));
    BOOST_TEST((backOff({{"Retry-After", "1e9"}}) == 1h));
    BOOST_TEST((backOff({{"Retry-After", "0"}}) == 0ms));
    BOOST_TEST((backOff({{"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"}}) == 0ms));
    BOOST_TEST((backOff({{"Retry-After", "2"}}, 200) == 0ms));
    BOOST_TEST((backOff({{"Retry-After", "2"}}, 429) == 0ms));
}

BOOST_AUTO_TEST_CASE(OneFieldOfSeveralIsEnoughToReportLeaving)
{
    const auto leaving = [](std::vector<http::HeaderField> fields)
    { return parseNotice(headOf(200, std::move(fields)), false, "i-1", dialect).leaving; };
    BOOST_TEST(leaving({{"X-Id", "r"}, {"X-Leaving", "no"}, {"leaving", "yes"}}));
    BOOST_TEST(!leaving({{"X-Id", "r"}, {"X-Leaving", "no"}}));
    BOOST_TEST(!leaving({{"X-Leaving", "yes"}}));
    BOOST_TEST(!leaving({{"X-Id", "r"}, {"X-Who", "i-2"}, {"X-Leaving", "yes"}}));
}

BOOST_AUTO_TEST_CASE(RetryAfterOfA503IsNotPassedOnToTheCaller)
{
    const auto comeBack = [](unsigned status)
    {
        return classifyAnswer(headOf(status, {{"X-Id", "r"}, {"X-Not-Run", "full"}, {"Retry-After", "2"}}), dialect)
            .retryAfter;
    };
    BOOST_TEST((comeBack(503) == 0ms));
    BOOST_TEST((comeBack(429) == 2s));
}

BOOST_AUTO_TEST_SUITE_END()

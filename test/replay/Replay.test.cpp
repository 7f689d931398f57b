#include <sailpath/replay/Replay.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;

constexpr std::string_view small = R"(// A small trace.
{"type":"setup","seed":3,"entries":2,"dataCentres":["a"],"workspaces":[{"workspace":"w","services":[{"name":"s","servers":3,"routes":[{"path":"/","methods":["GET"],"repeatable":true}]}]}]}
{"type":"load","fromMs":0,"untilMs":2000,"host":"s.w","path":"/x","rate":200,"workMs":5}
{"type":"arrival","atMs":10,"host":"s.w","method":"POST","path":"/y","workMs":1}
{"type":"server","atMs":500,"server":"s-1","event":"reject"}
{"type":"expect","metric":"goodShare","atLeast":0.99}
{"type":"expect","metric":"doubleRuns","atMost":0}
)";

} // namespace

BOOST_AUTO_TEST_SUITE(Replay)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(sameTraceSameReport)
{
    const auto read = replay::readTrace(small, "small");
    BOOST_REQUIRE_MESSAGE(read.findings.empty(), read.findings.text());
    const auto first = replay::replay(read.trace, {});
    const auto second = replay::replay(read.trace, {});
    BOOST_REQUIRE(first.requests.size() == second.requests.size());
    for (std::size_t i = 0; i < first.requests.size(); ++i)
        BOOST_TEST((first.requests[i].latency == second.requests[i].latency));
    BOOST_TEST(replay::check(read.trace, first).empty());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aMissedOutcomeIsSaid)
{
    auto read = replay::readTrace(small, "small");
    read.trace.expectations = {{"goodShare", "", "", {}, core::Timestamp::max(), 0.5, {}},
                               {"nonsense", "", "", {}, {}, 1.0, {}}};
    const auto misses = replay::check(read.trace, replay::replay(read.trace, {}));
    BOOST_REQUIRE(misses.size() == 2U);
    BOOST_TEST(replay::describe(misses.front()).find("goodShare is ") == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(badLinesAreReportedTogether)
{
    const auto read = replay::readTrace("{\"type\":\"load\"}\n{\n{\"type\":\"tide\"}\n"
                                        "{\"type\":\"server\",\"server\":\"s\",\"event\":\"sing\"}\n",
                                        "bad");
    BOOST_TEST(read.findings.all().size() == 4U);
    BOOST_TEST(read.findings.all().front().place == "bad:1");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(everyVariantRuns)
{
    const auto read = replay::readTrace(small, "small");
    for (const replay::Variant& variant : replay::knownVariants())
    {
        replay::Expectation good;
        good.metric = "goodShare";
        BOOST_TEST(replay::replay(read.trace, variant).metric(good) > 0.5, variant.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

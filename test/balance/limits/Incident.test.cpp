// Guards against servers that get more than the limit that they name in their answers for all nodes together.
//
// The limit was 2.9 requests per second for two of ten servers, which got 7.4 each. They went on getting 7.5 and 7.2,
// from ten and six of 18 nodes: 27 and 26 requests in 4 s where 22 are allowed. No node sent more than 13 of them, and no
// retry was among them. Nodes ignored the limit; but had each node kept to it alone, the sum would still have been many
// times the limit, as no node sees what a server gets from all. Such header fields come without the platform's prefix,
// as an event about an unknown field showed (server-field-unknown ... field=Cold-Ms value=2969).

#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

#include <iostream>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::KindOfRequest;
using support::ModelLimited;
using support::ModelServer;
using support::ModelSettings;
using support::ServiceModel;

constexpr double limit = 2.9;
constexpr auto   span = 4s;
constexpr auto   reactionTime = 1s;
constexpr double maxInSpan = 1.1 * limit * 4 + 5;
constexpr auto   graceTime = 3s; // After the first answer with the limit; spans that end earlier are not judged

////////////////////////////////////////////////////////////
/// \brief Return the requests in 4 s that a server bears if it names a limit, in requests per second
////////////////////////////////////////////////////////////
double maxBorneAt(double named)
{
    return 1.5 * named * 4 + 5;
}

////////////////////////////////////////////////////////////
ServiceModel modelOf(std::uint64_t seed)
{
    ModelSettings settings;
    settings.nodes = 18;
    settings.dataCentres = 4;
    settings.seed = seed;
    KindOfRequest kind;
    kind.name = "read";
    kind.target = 250ms;
    kind.timeout = 2s;
    kind.patience = 2s;
    kind.workMs = 90;
    kind.retries = 2;
    kind.perSecond = 73;
    std::vector<ModelServer> servers;
    for (unsigned i = 0; i < 10; ++i)
        servers.push_back({"s" + std::to_string(i), "portal", "dc" + std::to_string(i % 4)});
    return {settings, {kind}, servers};
}

////////////////////////////////////////////////////////////
/// \brief Return what two of ten servers got that named a limit 8 s after the start
////////////////////////////////////////////////////////////
std::vector<ModelLimited> simulate(std::uint64_t seed, double named, core::Duration time)
{
    ServiceModel model = modelOf(seed);
    model.run(8s);
    model.setLimit("s3", named);
    model.setLimit("s6", named);
    model.run(time);
    return {model.limited("s3"), model.limited("s6")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitIncidentTest)

BOOST_AUTO_TEST_CASE(ServerWithALimitGetsNoMoreFromAllNodesTogether)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
    {
        for (const ModelLimited& server : simulate(seed, limit, 12s))
        {
            BOOST_REQUIRE(server.limitReportedAt.has_value());
            const std::size_t most = server.maxInSpan(span, *server.limitReportedAt + reactionTime);
            std::cout << "limit " << limit << ", seed " << seed << ": most requests in 4 s " << most << '\n';
            BOOST_TEST(static_cast<double>(most) <= maxInSpan);
        }
    }
}

// Guards against nodes that start to limit a server as if nothing had been sent to it before. What the server got in the
// second before it named its limit is part of the 4 s that are judged three seconds later; 21 and 22 requests arrived in
// 4 s where 20.6 and 21.2 are allowed.
BOOST_AUTO_TEST_CASE(RequestsSentJustBeforeTheLimitWasNamedCount)
{
    std::size_t worst = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        for (const ModelLimited& server : simulate(seed, limit, 6s))
        {
            BOOST_REQUIRE(server.limitReportedAt.has_value());
            worst = std::max(worst, server.maxInSpan(span, *server.limitReportedAt + graceTime - span));
        }
    }
    std::cout << "limit " << limit << ": most in 4 s that end 3 s after the first answer with the limit or later "
              << worst << '\n';
    BOOST_TEST(static_cast<double>(worst) <= maxBorneAt(limit));
}

BOOST_AUTO_TEST_CASE(ServerGetsNoMoreThanItBearsFromNodesThatKnewTheLimit)
{
    for (const double named : {0.5, 1.0, 2.9, 3.7})
    {
        std::size_t worst = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            for (const ModelLimited& server : simulate(seed, named, 8s))
            {
                if (server.limitReportedAt)
                    worst =
                        std::max(worst, server.maxFromInformedNodes(span, 500ms, *server.limitReportedAt + graceTime));
            }
        }
        std::cout << "limit " << named << ": most in 4 s from nodes that knew " << worst << ", borne "
                  << maxBorneAt(named) << '\n';
        BOOST_TEST(static_cast<double>(worst) <= maxBorneAt(named));
    }
}

BOOST_AUTO_TEST_SUITE_END()

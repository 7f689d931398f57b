#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::ServiceModel;

constexpr unsigned servers = 40;
constexpr unsigned slots = 3;
constexpr double   workMs = 180;

////////////////////////////////////////////////////////////
/// \brief What callers of a service get whose servers reject a share of the requests
////////////////////////////////////////////////////////////
struct Result
{
    ServiceModel::Tally tally;
    double              triesPerRequest{0};    //!< Tries of callers
    double              arrivalsPerRequest{0}; //!< Requests that servers got, of each request of a caller
};

////////////////////////////////////////////////////////////
Result play(double rejectedShare, double load, std::uint64_t seed)
{
    support::ModelSettings settings;
    settings.nodes = 30;
    settings.seed = seed;
    support::KindOfRequest kind;
    kind.name = "read";
    kind.target = 600ms;
    kind.timeout = 2500ms;
    kind.patience = 4s;
    kind.workMs = workMs;
    kind.retries = 2;
    kind.perSecond = load * servers * slots * 1000 / workMs / 2.4;
    std::vector<support::ModelServer> list(servers);
    for (unsigned i = 0; i < servers; ++i)
    {
        list[i].id = "s" + std::to_string(i);
        list[i].dataCentre = "dc" + std::to_string(i % 3);
    }
    ServiceModel model(settings, {kind}, list);
    model.run(12s);
    for (const auto& server : list)
        model.setRejectedShare(server.id, rejectedShare);
    model.run(2s);
    model.beginCount();
    std::size_t before = 0;
    for (const auto& server : list)
        before += model.countArrivals(server.id);
    model.run(8s);
    Result result;
    result.tally = model.tally(0);
    const auto requests = static_cast<double>(result.tally.requests);
    result.triesPerRequest = static_cast<double>(model.tries().size()) / requests;
    std::size_t after = 0;
    for (const auto& server : list)
        after += model.countArrivals(server.id);
    result.arrivalsPerRequest = static_cast<double>(after - before) / requests;
    BOOST_TEST_MESSAGE("rejected " << rejectedShare << " load " << load << " seed " << seed << ": in target "
                                   << result.tally.targetShare() << " served " << result.tally.servedShare()
                                   << " tries " << result.triesPerRequest << " arrivals " << result.arrivalsPerRequest);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RejectingServersTest)

BOOST_AUTO_TEST_CASE(CallersOfServersThatRejectHalfOfTheRequestsAreServedInTime)
{
    // The share of a single seed scatters by more than its distance to the bound.
    constexpr unsigned seeds = 20;
    double             usual = 0;
    double             rejecting = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        usual += play(0, 0.5, seed).tally.targetShare() / seeds;
        const auto result = play(0.5, 0.5, seed);
        rejecting += result.tally.targetShare() / seeds;
        BOOST_TEST(result.arrivalsPerRequest < 2.2);
    }
    // A fresh send is accepted by every second server, so four tries of a caller leave one request in 16.
    BOOST_TEST(rejecting >= 0.9 * usual);
}

BOOST_AUTO_TEST_CASE(CallersOfServersThatRejectAFifthOfTheRequestsAreServedInTime)
{
    for (const std::uint64_t seed : {1U, 2U})
        BOOST_TEST(play(0.2, 0.5, seed).tally.targetShare() >= 0.95 * play(0, 0.5, seed).tally.targetShare());
}

BOOST_AUTO_TEST_SUITE_END()

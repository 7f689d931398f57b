#include <sailpath/balance/CallerElapsedEstimator.hpp>
#include <sailpath/core/Random.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::CallerElapsedEstimator;

////////////////////////////////////////////////////////////
/// \brief Draw the timeout of a caller: 4 s less up to `spread` of it
////////////////////////////////////////////////////////////
core::Duration drawTimeout(core::Random& random, double spread)
{
    return core::fromMilliseconds(4000 * (1 - spread * random.unit()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerPatienceTest)

BOOST_AUTO_TEST_CASE(WithEqualTimeoutsARetryIsRecognised)
{
    CallerElapsedEstimator estimator;
    for (int i = 0; i < 40; ++i)
        (void)estimator.observe(i % 3 == 0 ? 3982ms : 4000ms); // Some callers first had to connect
    BOOST_TEST(estimator.timeoutsAreUniform());
    BOOST_TEST((estimator.observe(4000ms) == 0ms));
    BOOST_TEST((estimator.observe(3700ms) == 300ms));
}

BOOST_AUTO_TEST_CASE(WithDifferentTimeoutsFewCallersAreTakenForRetries)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        core::Random           random(seed);
        CallerElapsedEstimator estimator;
        unsigned               misjudged = 0;
        for (int i = 0; i < 500; ++i)
            misjudged += estimator.observe(drawTimeout(random, 0.16)) > 100ms ? 1 : 0;
        BOOST_TEST(misjudged <= 25U, "seed " << seed << ": " << misjudged);
    }
}

BOOST_AUTO_TEST_CASE(DuringAnOverloadWithManyRetriesTheEstimateContinues)
{
    unsigned lost = 0;
    unsigned all = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        core::Random           random(seed);
        CallerElapsedEstimator estimator;
        for (int i = 0; i < 60; ++i)
            (void)estimator.observe(4000ms);
        for (int i = 0; i < 500; ++i)
        {
            // Each request is rejected up to twice and retried after 100 to 300 ms.
            const auto delay = core::fromMilliseconds(100 + 200 * random.unit());
            const auto attempts = random.below(3);
            (void)estimator.observe(4000ms - attempts * delay);
            lost += estimator.timeoutsAreUniform() ? 0 : 1;
            ++all;
        }
    }
    BOOST_TEST(lost * 20 <= all, lost << " of " << all);
}

BOOST_AUTO_TEST_CASE(ASingleLongerTimeoutMakesNoOtherCallerLate)
{
    CallerElapsedEstimator estimator;
    for (int i = 0; i < 40; ++i)
        (void)estimator.observe(4000ms);
    (void)estimator.observe(60s);
    BOOST_TEST((estimator.observe(4000ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(TheFirstRequestsGetNoEstimate)
{
    CallerElapsedEstimator estimator;
    for (int i = 0; i < 4; ++i)
        BOOST_TEST((estimator.observe(4000ms - i * 100ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

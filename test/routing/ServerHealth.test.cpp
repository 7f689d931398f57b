#include <sailpath/routing/ServerHealth.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using routing::Availability;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
void failThrice(routing::ServerHealth& health, core::Timestamp at)
{
    (void)health.recordFailure(at, true);
    (void)health.recordFailure(at, true);
    BOOST_TEST(health.recordFailure(at, true));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerHealth)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(failuresInARowEjectAndOneSuccessfulTrialReturns)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    BOOST_TEST((health.availability(start + 499ms) == Availability::Ejected));
    BOOST_TEST((health.availability(start + 500ms) == Availability::Trial));
    health.recordTrialSent();
    BOOST_TEST((health.availability(start + 501ms) == Availability::Ejected));
    health.recordSuccess(start + 510ms);
    BOOST_TEST((health.availability(start + 511ms) == Availability::Ramping));
    BOOST_TEST(health.share(start + 511ms) < 0.2);
    BOOST_TEST((health.availability(start + 2511ms) == Availability::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(eachFailedTrialDoublesTheEjection)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    core::Timestamp now = start + 500ms;
    health.recordTrialSent();
    BOOST_TEST(health.recordFailure(now, true));
    BOOST_TEST((health.availability(now + 999ms) == Availability::Ejected));
    BOOST_TEST((health.availability(now + 1000ms) == Availability::Trial));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aSuccessBetweenFailuresPreventsEjection)
{
    routing::ServerHealth health({});
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(!health.recordFailure(start, true));
        BOOST_TEST(!health.recordFailure(start, true));
        health.recordSuccess(start);
    }
    BOOST_TEST((health.availability(start) == Availability::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anAbandonedTrialAllowsAnotherTrial)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    health.recordTrialSent();
    health.recordTrialAbandoned();
    BOOST_TEST((health.availability(start + 600ms) == Availability::Trial));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(olderNoticesDoNotOverrideDraining)
{
    routing::ServerHealth health({});
    BOOST_TEST(health.recordDraining(true, start));
    BOOST_TEST(!health.recordDraining(false, start - 1ms));
    BOOST_TEST((health.availability(start + 5min) == Availability::Draining));
    BOOST_TEST(!health.recordDraining(true, start + 1ms));
    BOOST_TEST(!health.recordDraining(false, start + 2ms));
    BOOST_TEST((health.availability(start + 3ms) == Availability::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aDrainedServerThatClosedIsTriedAgain)
{
    routing::ServerHealth health({});
    health.recordClosed(start);
    BOOST_TEST((health.availability(start) == Availability::Healthy));
    (void)health.recordDraining(true, start);
    health.recordClosed(start + 1s);
    BOOST_TEST((health.availability(start + 1s) == Availability::Ejected));
    BOOST_TEST((health.availability(start + 2s) == Availability::Trial));
}

BOOST_AUTO_TEST_SUITE_END()

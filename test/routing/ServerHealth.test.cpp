#include <sailpath/routing/ServerHealth.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using routing::Standing;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
void failThrice(routing::ServerHealth& health, core::Timestamp at)
{
    (void)health.failed(at, true);
    (void)health.failed(at, true);
    BOOST_TEST(health.failed(at, true));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerHealth)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(failuresInARowEjectAndOneTrialDecides)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    BOOST_TEST((health.standing(start + 499ms) == Standing::Ejected));
    BOOST_TEST((health.standing(start + 500ms) == Standing::Trial));
    health.trialSent();
    BOOST_TEST((health.standing(start + 501ms) == Standing::Ejected));
    health.succeeded(start + 510ms);
    BOOST_TEST((health.standing(start + 511ms) == Standing::Ramping));
    BOOST_TEST(health.share(start + 511ms) < 0.2);
    BOOST_TEST((health.standing(start + 2511ms) == Standing::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(eachFailedTrialDoublesTheEjection)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    core::Timestamp now = start + 500ms;
    health.trialSent();
    BOOST_TEST(health.failed(now, true));
    BOOST_TEST((health.standing(now + 999ms) == Standing::Ejected));
    BOOST_TEST((health.standing(now + 1000ms) == Standing::Trial));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aSuccessBetweenFailuresKeepsItIn)
{
    routing::ServerHealth health({});
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(!health.failed(start, true));
        BOOST_TEST(!health.failed(start, true));
        health.succeeded(start);
    }
    BOOST_TEST((health.standing(start) == Standing::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anAbandonedTrialLetsAnotherTry)
{
    routing::ServerHealth health({});
    failThrice(health, start);
    health.trialSent();
    health.trialAbandoned();
    BOOST_TEST((health.standing(start + 600ms) == Standing::Trial));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(olderNewsDoesNotUndoThatItLeaves)
{
    routing::ServerHealth health({});
    BOOST_TEST(health.draining(true, start));
    BOOST_TEST(!health.draining(false, start - 1ms));
    BOOST_TEST((health.standing(start + 5min) == Standing::Draining));
    BOOST_TEST(!health.draining(true, start + 1ms));
    BOOST_TEST(!health.draining(false, start + 2ms));
    BOOST_TEST((health.standing(start + 3ms) == Standing::Healthy));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aServerThatIsGoneIsTriedAgain)
{
    routing::ServerHealth health({});
    health.gone(start);
    BOOST_TEST((health.standing(start) == Standing::Healthy));
    (void)health.draining(true, start);
    health.gone(start + 1s);
    BOOST_TEST((health.standing(start + 1s) == Standing::Ejected));
    BOOST_TEST((health.standing(start + 2s) == Standing::Trial));
}

BOOST_AUTO_TEST_SUITE_END()

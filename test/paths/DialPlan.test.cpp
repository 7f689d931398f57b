#include <sailpath/paths/DialPlan.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using paths::DialPlan;
using paths::DialStep;
using paths::DialWays;
using paths::PathState;

const core::Timestamp start{std::chrono::seconds{100}};

////////////////////////////////////////////////////////////
DialPlan plan(PathState state, DialWays ways = DialWays::Any, bool hasHelper = true)
{
    return {{}, state, ways, hasHelper};
}

} // namespace

BOOST_AUTO_TEST_SUITE(DialPlanTest)

BOOST_AUTO_TEST_CASE(ADirectConnectionThatComesUpAsksNobody)
{
    auto dial = plan(PathState::Direct);
    BOOST_CHECK(dial.start(start) == DialStep::ConnectDirect);
    BOOST_CHECK(dial.processDue(start + 70ms) == DialStep::Wait);
}

BOOST_AUTO_TEST_CASE(AConnectionThatHangsIsTriedThroughAHelper)
{
    auto dial = plan(PathState::Direct);
    (void)dial.start(start);
    BOOST_CHECK(dial.processDue(start + 80ms) == DialStep::OpenTunnel);
    BOOST_TEST(!dial.directExpired(start + 299ms));
    BOOST_TEST(dial.directExpired(start + 300ms));
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsTriedThroughAHelperAtOnce)
{
    auto dial = plan(PathState::Direct);
    (void)dial.start(start);
    BOOST_CHECK(dial.directFailed(start + 1ms) == DialStep::OpenTunnel);
}

BOOST_AUTO_TEST_CASE(WhileThePathIsLostHelpersComeFirst)
{
    auto dial = plan(PathState::Lost);
    BOOST_CHECK(dial.start(start) == DialStep::OpenTunnel);
    for (unsigned asked = 1; asked < paths::DialSettings{}.maxHelpers; ++asked)
        BOOST_CHECK(dial.tunnelFailed(start + 1ms) == DialStep::OpenTunnel);
    BOOST_CHECK(dial.tunnelFailed(start + 3ms) == DialStep::ConnectDirect);
    BOOST_CHECK(dial.directFailed(start + 4ms) == DialStep::Fail);
}

BOOST_AUTO_TEST_CASE(ASilentHelperIsNotWaitedFor)
{
    auto dial = plan(PathState::Lost);
    (void)dial.start(start);
    BOOST_CHECK(dial.processDue(start + 80ms) == DialStep::OpenTunnel);
    BOOST_CHECK(dial.processDue(start + 100ms) == DialStep::Wait);
    BOOST_CHECK(dial.processDue(start + 160ms) == DialStep::OpenTunnel);
    BOOST_CHECK(dial.tunnelFailed(start + 170ms) == DialStep::Wait);
}

BOOST_AUTO_TEST_CASE(AServerThatIsDownIsAskedForOnce)
{
    auto dial = plan(PathState::Direct);
    (void)dial.start(start);
    BOOST_CHECK(dial.directFailed(start + 1ms) == DialStep::OpenTunnel);
    BOOST_CHECK(dial.serverDown(start + 5ms) == DialStep::Fail);
}

BOOST_AUTO_TEST_CASE(WithoutHelpersThereIsTheDirectWayOnly)
{
    auto dial = plan(PathState::Lost, DialWays::Any, false);
    BOOST_CHECK(dial.start(start) == DialStep::ConnectDirect);
    BOOST_CHECK(dial.directFailed(start + 1ms) == DialStep::Fail);
    auto tunnel = plan(PathState::Lost, DialWays::TunnelOnly, false);
    BOOST_CHECK(tunnel.start(start) == DialStep::Fail);
}

BOOST_AUTO_TEST_CASE(ATrialOfOneWayUsesNoOther)
{
    auto direct = plan(PathState::Lost, DialWays::DirectOnly);
    BOOST_CHECK(direct.start(start) == DialStep::ConnectDirect);
    BOOST_CHECK(direct.directFailed(start + 1ms) == DialStep::Fail);
    auto tunnel = plan(PathState::Direct, DialWays::TunnelOnly);
    BOOST_CHECK(tunnel.start(start) == DialStep::OpenTunnel);
    for (unsigned asked = 1; asked < paths::DialSettings{}.maxHelpers; ++asked)
        BOOST_CHECK(tunnel.tunnelFailed(start) == DialStep::OpenTunnel);
    BOOST_CHECK(tunnel.tunnelFailed(start) == DialStep::Fail);
}

BOOST_AUTO_TEST_SUITE_END()

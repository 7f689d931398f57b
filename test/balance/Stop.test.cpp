// Guards against requests that are sent to a server late in a planned stop and cut without an answer when the process ends,
// and against refusals of those that could be answered.

#include <sailpath/balance/AnswerTimes.hpp>

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace sailpath::balance;
using namespace std::chrono_literals;

constexpr core::Duration timeout = 8s;
constexpr core::Duration grace = 5400ms;

////////////////////////////////////////////////////////////
/// \brief A node that has a planned stop behind or before it
////////////////////////////////////////////////////////////
struct StopFixture : support::OneRouteFixture
{
    explicit StopFixture(const std::string& healthPath = {}) :
    OneRouteFixture(timeout, 2, 3)
    {
        if (!healthPath.empty())
        {
            auto deployment = std::make_shared<deployment::Deployment>(*declared.deployment);
            deployment->services = {{"portal", healthPath, 200}};
            declared.deployment = deployment;
        }
        balancer.configure(declared, now);
    }

    std::vector<Step> admit(Ticket ticket, std::optional<core::Duration> timeLeft = std::nullopt)
    {
        Arrival arrival;
        arrival.host = "a.example";
        arrival.target = "/read/1";
        arrival.firstByteAt = now;
        arrival.timeLeft = timeLeft;
        balancer.admit(ticket, arrival, now);
        return steps();
    }

    std::vector<Step> end(Ticket ticket, AttemptEnd how)
    {
        Outcome outcome;
        outcome.end = how;
        outcome.status = how == AttemptEnd::Answered ? 200 : 0;
        balancer.attemptEnded(ticket, 1, outcome, now);
        return steps();
    }

    /// \brief Let requests be answered after a time
    void learn(core::Duration took, unsigned requests = 20)
    {
        for (unsigned i = 0; i < requests; ++i)
        {
            const Ticket ticket = m_learning++;
            BOOST_REQUIRE(count(admit(ticket), StepKind::Forward) == 1);
            now += took;
            BOOST_REQUIRE(count(end(ticket, AttemptEnd::Answered), StepKind::Answer) == 1);
        }
    }

    void stop()
    {
        stopsAt = now + grace;
        balancer.beginStop(stopsAt);
    }

    /// \brief Whether the only step refuses the request as not run and sends its caller to another node at once
    static bool refusesForStop(const std::vector<Step>& steps)
    {
        const Step* refuse = find(steps, StepKind::Refuse);
        return steps.size() == 1 && refuse != nullptr && refuse->refusal.reason == RefusalReason::Stopping &&
               !refuse->refusal.mayHaveRun && refuse->refusal.retryAtOnce && refuse->refusal.retryAfter.count() == 0;
    }

    core::Timestamp stopsAt{};

private:
    Ticket m_learning{1000};
};

} // namespace

BOOST_AUTO_TEST_SUITE(StopTest)

BOOST_AUTO_TEST_CASE(WithoutAStopNoRequestIsTooLate)
{
    StopFixture node;
    BOOST_TEST(StopFixture::count(node.admit(1), StepKind::Forward) == 1U);
}

BOOST_AUTO_TEST_CASE(ARouteOfWhichNothingIsKnownMayTakeItsTimeout)
{
    StopFixture node;
    node.stop();
    BOOST_TEST(StopFixture::refusesForStop(node.admit(1)));
    // Whatever its server does, this one is answered when its caller stops waiting.
    BOOST_TEST(StopFixture::count(node.admit(2, 1s), StepKind::Forward) == 1U);
    node.now = node.stopsAt - 500ms;
    BOOST_TEST(StopFixture::refusesForStop(node.admit(3, 1s)));
}

BOOST_AUTO_TEST_CASE(AQuickRouteIsServedUntilLateInTheStop)
{
    StopFixture node;
    node.learn(20ms);
    node.stop();
    for (const core::Duration left :
         {core::Duration(grace), core::Duration(2s), core::Duration(500ms), core::Duration(60ms)})
    {
        node.now = node.stopsAt - left;
        const Ticket ticket = static_cast<Ticket>(left.count());
        BOOST_TEST(StopFixture::count(node.admit(ticket), StepKind::Forward) == 1U);
        (void)node.end(ticket, AttemptEnd::Answered);
    }
    node.now = node.stopsAt - 30ms;
    BOOST_TEST(StopFixture::refusesForStop(node.admit(9)));
}

BOOST_AUTO_TEST_CASE(OneSlowAnswerIsEnoughToRefuseLateRequests)
{
    StopFixture node;
    node.learn(1500ms, 1);
    node.learn(20ms);
    node.stop();
    node.now = node.stopsAt - 3200ms;
    BOOST_TEST(StopFixture::count(node.admit(1), StepKind::Forward) == 1U);
    node.now = node.stopsAt - 2900ms;
    BOOST_TEST(StopFixture::refusesForStop(node.admit(2)));
}

BOOST_AUTO_TEST_CASE(ARequestThatTimedOutWasASlowOne)
{
    StopFixture node;
    node.learn(20ms);
    BOOST_TEST(StopFixture::count(node.admit(1, 2s), StepKind::Forward) == 1U);
    node.now += 2s;
    node.balancer.processDue(node.now);
    (void)node.steps();
    node.stop();
    node.now = node.stopsAt - 3s;
    BOOST_TEST(StopFixture::refusesForStop(node.admit(2)));
}

BOOST_AUTO_TEST_CASE(ARequestThatWaitsForAServerIsRefusedWhenItsTimeIsUp)
{
    StopFixture node("/health");
    BOOST_TEST(StopFixture::count(node.admit(1, 3s), StepKind::Probe) > 0U);
    node.balancer.beginStop(node.now + 2s);
    std::vector<Step> last;
    for (int i = 0; i < 100 && !StopFixture::find(last, StepKind::Refuse); ++i)
    {
        node.now += 15ms;
        node.balancer.processDue(node.now);
        last = node.steps();
        BOOST_TEST(StopFixture::count(last, StepKind::Forward) == 0U);
    }
    BOOST_TEST(StopFixture::refusesForStop(last));
}

BOOST_AUTO_TEST_CASE(NoFurtherAttemptBeginsThatCannotBeAnswered)
{
    StopFixture node;
    node.learn(500ms);
    for (const auto& [how, ticket] :
         {std::pair(AttemptEnd::Lost, Ticket{1}), std::pair(AttemptEnd::NotSent, Ticket{2})})
    {
        node.stop();
        node.now = node.stopsAt - 1500ms;
        BOOST_TEST(StopFixture::count(node.admit(ticket), StepKind::Forward) == 1U);
        node.now = node.stopsAt - 800ms;
        const auto steps = node.end(ticket, how);
        BOOST_TEST(StopFixture::count(steps, StepKind::Forward) == 0U);
        if (how == AttemptEnd::NotSent)
            BOOST_TEST(StopFixture::refusesForStop(steps));
        else
            BOOST_TEST(StopFixture::find(steps, StepKind::Refuse)->refusal.mayHaveRun);
    }
}

BOOST_AUTO_TEST_CASE(AFurtherAttemptBeginsWhileThereIsTime)
{
    StopFixture node;
    node.learn(50ms);
    node.stop();
    BOOST_TEST(StopFixture::count(node.admit(1), StepKind::Forward) == 1U);
    node.now = node.stopsAt - 800ms;
    BOOST_TEST(StopFixture::count(node.end(1, AttemptEnd::NotSent), StepKind::Forward) == 1U);
}

BOOST_AUTO_TEST_CASE(LongTimesAreKnownForAMinuteAndForgottenAfterTwo)
{
    AnswerTimes     times;
    core::Timestamp now{1h};
    BOOST_TEST(!times.longest("a", now).has_value());
    times.record("a", 5s, now);
    for (int second = 1; second <= 180; ++second)
    {
        now += 1s;
        times.record("a", 1s, now);
        const auto longest = times.longest("a", now);
        if (second <= 60)
            BOOST_TEST((longest == core::Duration(5s)), second << " s");
        if (second >= 122)
            BOOST_TEST((longest == core::Duration(1s)), second << " s");
    }
    times.keepOnly({"b"});
    BOOST_TEST(!times.longest("a", now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

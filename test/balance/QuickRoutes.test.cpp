// Routes that are answered in less time than can be told apart from none, with requests that servers never answer.

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <limits>
#include <map>
#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::Step;
using balance::StepKind;

constexpr unsigned longestTestS = 60;

////////////////////////////////////////////////////////////
/// \brief One route on 13 servers; time is virtual
////////////////////////////////////////////////////////////
struct QuickRoute : support::OneRouteFixture
{
    QuickRoute() :
    OneRouteFixture(2s, 2, 13)
    {
    }

    void start(core::Duration targetLatency)
    {
        auto deployment = std::make_shared<deployment::Deployment>(*declared.deployment);
        deployment->routes.front().targetLatency = targetLatency;
        declared.deployment = deployment;
        balancer.configure(declared, now);
    }

    void admit()
    {
        balancer.admit(++last, {"a.example", "/read/1", now, 4s}, now);
    }

    /// \brief Answer all attempts of the steps decided since the last call after `latency`
    void answerAll(core::Duration latency)
    {
        balance::Outcome outcome;
        outcome.end = balance::AttemptEnd::Answered;
        outcome.status = 200;
        const auto decided = steps();
        now += latency;
        for (const Step& step : decided)
        {
            if (step.kind == StepKind::Forward)
                balancer.attemptEnded(step.ticket, step.attempt, outcome, now);
        }
        (void)steps();
    }

    /// \brief Let requests be answered at once, one after the other
    void answerQuickly(unsigned requests, core::Duration latency, core::Duration pause)
    {
        for (unsigned i = 0; i < requests; ++i)
        {
            admit();
            answerAll(latency);
            now += pause;
        }
    }

    /// \brief Let servers stay silent about requests until all have a final answer
    ///
    /// \return Tickets that were refused
    std::set<balance::Ticket> leaveUnanswered(unsigned requests)
    {
        std::set<balance::Ticket> refused;
        for (unsigned i = 0; i < requests; ++i)
            admit();
        while (balancer.unfinished() > 0)
        {
            for (const Step& step : steps())
            {
                if (step.kind == StepKind::Refuse)
                    refused.insert(step.ticket);
            }
            const auto due = balancer.nextDue();
            BOOST_REQUIRE(due.has_value());
            // A timeout that has already expired makes the event loop of the process spin.
            BOOST_REQUIRE(*due > now);
            now = *due;
            balancer.processDue(now);
        }
        for (const Step& step : steps())
        {
            if (step.kind == StepKind::Refuse)
                refused.insert(step.ticket);
        }
        return refused;
    }

    balance::Ticket last{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuickRoutesTest, QuickRoute)

// Guards against an endless loop in processDue: the learned time fell to 0, and a hedge was put off by 3 times 0.
BOOST_AUTO_TEST_CASE(UnansweredRequestsOfAQuickRouteEndWithTheirTimeout, *boost::unit_test::timeout(longestTestS))
{
    start(600ms);
    for (const auto latency : {300us, 100us, 10us, 0us})
    {
        answerQuickly(3000, latency, 2ms);
        const auto begun = now;
        BOOST_TEST(leaveUnanswered(900).size() == 900U);
        BOOST_TEST((now - begun <= 2s));
    }
}

// Guards against the same loop by way of a search that finds no further server.
BOOST_AUTO_TEST_CASE(UnansweredRequestsWithoutAnotherServerEndWithTheirTimeout,
                     *boost::unit_test::timeout(longestTestS))
{
    declared.instances.resize(1);
    declared.instances.front().slots = 1000;
    start(600ms);
    answerQuickly(3000, 100us, 2ms);
    BOOST_TEST(leaveUnanswered(300).size() == 300U);
}

// Guards against a decision on a further send every few microseconds: a timer each 10 ms is enough.
BOOST_AUTO_TEST_CASE(FurtherSendsOfAnUnansweredRequestAreDecidedAtIntervals, *boost::unit_test::timeout(longestTestS))
{
    declared.instances.resize(1);
    start(600ms);
    answerQuickly(3000, 100us, 2ms);
    admit();
    unsigned wakes = 0;
    for (; balancer.unfinished() > 0 && wakes < 100'000; ++wakes)
    {
        now = *balancer.nextDue();
        balancer.processDue(now);
    }
    BOOST_TEST(wakes <= 2s / 10ms + 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkEstimatorBoundsTest)

// Guards against a learned time that falls to 0, or grows beyond what a duration can hold, by a series of equal ratios.
BOOST_AUTO_TEST_CASE(AProcessingTimeStaysWithinItsBoundsWhateverIsAnswered)
{
    for (const double latencyMs : {0.0, 0.01, 0.3, 1e9})
    {
        balance::WorkEstimator work(100ms);
        work.setInitialEstimate("r", 210);
        for (unsigned i = 0; i < 100'000; ++i)
            work.learn("r", {latencyMs, work.ms("r") + 4, work.ms("r"), 0, 1, false}, core::Timestamp{1h});
        BOOST_TEST(work.ms("r") >= 1);
        BOOST_TEST(work.ms("r") <= 600'000);
        BOOST_TEST(work.baseline().workMs >= 1);
        // The time is found again once answers take long.
        for (unsigned i = 0; i < 1000; ++i)
            work.learn("r", {300, work.ms("r"), work.ms("r"), 0, 1, false}, core::Timestamp{1h});
        BOOST_TEST(work.ms("r") > 200);
        BOOST_TEST(work.ms("r") < 400);
    }
}

BOOST_AUTO_TEST_CASE(AnInitialTimeIsBoundedAsALearnedOneIs)
{
    balance::WorkEstimator work(0ms);
    BOOST_TEST(work.ms("other") >= 1);
    work.setInitialEstimate("zero", 0);
    BOOST_TEST(work.ms("zero") >= 1);
    work.startFrom(snapshot::LearnedRoute{"service", "tiny", 1e-9, 0});
    BOOST_TEST(work.ms("tiny") >= 1);
    work.startFrom(snapshot::LearnedRoute{"service", "nan", std::numeric_limits<double>::quiet_NaN(), 0});
    BOOST_TEST(work.ms("nan") >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

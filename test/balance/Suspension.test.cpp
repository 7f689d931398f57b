// Suspension of a VM for seconds: the clock jumps, and no timeout or event was processed meanwhile.

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;

////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(900ms, 3, 4)
    {
        balancer.configure(declared, now);
        balancer.setConfigurationConfirmedAt(now);
        now += 20s;
    }

    std::vector<Step> admit(balance::Ticket ticket, const char* target = "/read/1")
    {
        balancer.admit(ticket, {"a.example", target, now, 800ms, {}}, now);
        return steps();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SuspensionTest, Fixture)

BOOST_AUTO_TEST_CASE(ExpiredTimeoutsAreProcessedFirstAndNothingIsSentAfterTheDeadline)
{
    balance::Ticket ticket = 0;
    for (const core::Duration gap : {core::Duration(1s), core::Duration(5s), core::Duration(60s)})
    {
        const auto sent = admit(++ticket);
        BOOST_REQUIRE_EQUAL(count(sent, StepKind::Forward), 1U);
        now += gap;
        balancer.processDue(now);
        const auto after = steps();
        BOOST_TEST(count(after, StepKind::Forward) == 0U);
        BOOST_REQUIRE_EQUAL(count(after, StepKind::Refuse), 1U);
        BOOST_TEST((after.back().refusal.reason == RefusalReason::TimedOut));
        // An outcome that arrived during the suspension is processed afterwards and has no effect.
        balance::Outcome lost;
        lost.end = AttemptEnd::Lost;
        balancer.attemptEnded(ticket, 1, lost, now);
        BOOST_TEST(steps().empty());
    }
}

BOOST_AUTO_TEST_CASE(RetryBudgetDoesNotAccumulateDuringASuspension)
{
    const auto retries = [&](balance::Ticket first)
    {
        std::size_t further = 0;
        for (balance::Ticket ticket = first; ticket < first + 60; ++ticket)
        {
            auto sent = admit(ticket);
            while (!sent.empty() && sent.back().kind == StepKind::Forward)
            {
                balance::Outcome lost;
                lost.end = AttemptEnd::Lost;
                balancer.attemptEnded(ticket, sent.back().attempt, lost, now);
                sent = steps();
                further += count(sent, StepKind::Forward);
            }
            now += 1ms;
        }
        return further;
    };
    const std::size_t before = retries(1);
    now += 60s;
    balancer.processDue(now);
    BOOST_TEST(retries(1000) <= before + 1);
}

BOOST_AUTO_TEST_CASE(OldConfigurationDeniesNoRequest)
{
    BOOST_TEST((admit(1, "/unknown/").back().refusal.reason == RefusalReason::NoRoute));
    now += 60s;
    BOOST_TEST((admit(2, "/unknown/").back().refusal.reason == RefusalReason::OldRoutes));
}

BOOST_AUTO_TEST_SUITE_END()

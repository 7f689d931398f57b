// Checks how a node treats requests under which servers have ended.

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::CheckResult;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;
using balance::Ticket;

////////////////////////////////////////////////////////////
deployment::RequestIdentity requestOf(std::string_view text, std::uint32_t caller = 1)
{
    return {core::contentHash(std::array<std::string_view, 1>{text}), caller};
}

////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(2s, 4, 8)
    {
    }

    std::vector<Step> admit(Ticket ticket, const deployment::RequestIdentity& identity)
    {
        balancer.admit(ticket, {"a.example", "/read/1", now, 1800ms, identity}, now);
        return steps();
    }

    /// \brief End the server of an attempt under its request, and return the steps that follow
    ///
    /// \param result Result of the check whether the server still accepts connections
    std::vector<Step> endServer(const Step& sent, const deployment::RequestIdentity& identity,
                                CheckResult result = CheckResult::Refuses)
    {
        now += 50ms;
        balance::Outcome lost;
        lost.end = AttemptEnd::Lost;
        lost.loss = balance::LossCause::ResetByServer;
        lost.identity = identity;
        balancer.attemptEnded(sent.ticket, sent.attempt, lost, now);
        auto all = steps();
        now += 1ms;
        balancer.checkEnded(*sent.instance, result, now);
        for (Step& step : steps())
            all.push_back(std::move(step));
        return all;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantinedTest, Fixture)

BOOST_AUTO_TEST_CASE(RequestFromBeforeTheFirstConfigurationIsRefusedOnceConfigured)
{
    BOOST_TEST(balancer.needsRequestIdentity());
    BOOST_TEST(admit(1, requestOf("culprit")).empty());
    deployment::Quarantine quarantine;
    quarantine.content = requestOf("culprit").content;
    quarantine.servers = 3;
    quarantine.until = now + 10min;
    quarantine.stored = true;
    declared.quarantines = {quarantine};
    balancer.configure(declared, now);
    const auto taken = steps();
    BOOST_REQUIRE_EQUAL(taken.size(), 1U);
    BOOST_TEST((taken[0].refusal.reason == RefusalReason::EndsServers));
    BOOST_TEST(!taken[0].refusal.mayHaveRun);
    BOOST_TEST((taken[0].refusal.retryAfter > 9min));
    BOOST_TEST(find(admit(2, requestOf("other")), StepKind::Forward) != nullptr);
}

BOOST_AUTO_TEST_CASE(RequestIsQuarantinedAfterItsAttemptsEndedThreeServers)
{
    balancer.configure(declared, now);
    now += 20s;
    const auto culprit = requestOf("culprit");
    auto       taken = admit(1, culprit);
    BOOST_REQUIRE(find(taken, StepKind::Forward) != nullptr);
    taken = endServer(*find(taken, StepKind::Forward), culprit);
    BOOST_REQUIRE(find(taken, StepKind::Forward) != nullptr);
    taken = endServer(*find(taken, StepKind::Forward), culprit);
    // The third attempt was sent before the second end was known; it is the last one.
    while (const Step* sent = find(taken, StepKind::Forward))
        taken = endServer(*sent, culprit);
    BOOST_REQUIRE(find(taken, StepKind::Refuse) != nullptr);
    BOOST_TEST(find(taken, StepKind::Refuse)->refusal.mayHaveRun);
    const auto changed = balancer.takeNewQuarantines();
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(changed[0].servers == 3U);
    BOOST_TEST(balancer.takeCrashNews().ends.size() == 3U);
    taken = admit(2, culprit);
    BOOST_REQUIRE(find(taken, StepKind::Refuse) != nullptr);
    BOOST_TEST((find(taken, StepKind::Refuse)->refusal.reason == RefusalReason::EndsServers));
}

BOOST_AUTO_TEST_CASE(ServerThatStillAcceptsConnectionsHasNotEnded)
{
    balancer.configure(declared, now);
    now += 20s;
    for (Ticket ticket = 1; ticket <= 6; ++ticket)
    {
        auto taken = admit(ticket, requestOf("unlucky"));
        while (const Step* sent = find(taken, StepKind::Forward))
            taken = endServer(*sent, requestOf("unlucky"), CheckResult::Accepts);
        now += 1s;
    }
    BOOST_TEST(balancer.takeNewQuarantines().empty());
    BOOST_TEST(balancer.takeCrashNews().empty());
}

BOOST_AUTO_TEST_CASE(RequestWithTwoEndsIsSentOnceAtATime)
{
    balancer.configure(declared, now);
    now += 20s;
    const auto                    culprit = requestOf("culprit");
    const deployment::CrashReport news{{{5, 71, culprit, 80ms, 1ms}}, {}};
    balancer.receiveCrashNews(news, now);
    now += 1s;
    balancer.receiveCrashNews({{{6, 72, culprit, 80ms, 1ms}}, {}}, now);
    now += 1s;
    BOOST_REQUIRE(find(admit(1, culprit), StepKind::Forward) != nullptr);
    const auto second = admit(2, culprit);
    BOOST_REQUIRE(find(second, StepKind::Refuse) != nullptr);
    BOOST_TEST((find(second, StepKind::Refuse)->refusal.reason == RefusalReason::MayEndServers));
    // The answer clears the request on this node and, by a report, on the others.
    balance::Outcome good;
    good.end = AttemptEnd::Answered;
    good.status = 200;
    good.identity = culprit;
    balancer.attemptEnded(1, 1, good, now);
    (void)steps();
    BOOST_TEST(balancer.takeCrashNews().served.size() == 1U);
    BOOST_TEST(find(admit(3, culprit), StepKind::Forward) != nullptr);
    BOOST_TEST(find(admit(4, culprit), StepKind::Forward) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

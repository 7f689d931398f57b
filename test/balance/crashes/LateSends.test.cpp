// Guards against ends of servers that are no evidence because the request had timed out. In one case, a payment that ends
// its server half a second after its time reached servers eleven times later than three seconds after the third end.

#include <sailpath/balance/LateSends.hpp>

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::CheckResult;
using balance::LateSends;
using balance::LossCause;
using balance::Outcome;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;

constexpr auto timeout = 2500ms;
constexpr auto endsAfter = 3s; // From the send to the end of the server

////////////////////////////////////////////////////////////
deployment::RequestIdentity identityOf(std::uint64_t number)
{
    const std::string                     name = std::to_string(number);
    const std::array<std::string_view, 1> content{name};
    return {core::contentHash(content), 7};
}

////////////////////////////////////////////////////////////
/// \brief A node with a route whose requests may run once, and servers that end after the route's time
////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(timeout, 2, 12)
    {
        auto deployment = std::make_shared<deployment::Deployment>(*declared.deployment);
        deployment->routes[0].repeatable = false;
        declared.deployment = deployment;
        balancer.configure(declared, now);
    }

    /// \brief Admit a request and return its send; the refusal if it is not sent
    Step admit(std::uint64_t content)
    {
        balance::Arrival arrival{"a.example", "/read/1", now, 10s};
        arrival.identity = identityOf(content);
        balancer.admit(++ticket, arrival, now);
        return steps().at(0);
    }

    /// \brief Let a request time out while its send goes on
    void timeOut(const Step& sent, std::uint64_t content)
    {
        now += timeout;
        balancer.processDue(now);
        const auto all = steps();
        BOOST_REQUIRE(find(all, StepKind::Abandon) != nullptr);
        BOOST_REQUIRE(find(all, StepKind::Refuse) != nullptr);
        balancer.identifyLateSend(sent.ticket, sent.attempt, identityOf(content));
    }

    /// \brief End a send that was left running; returns whether its server is to be checked
    bool endLate(const Step& sent, const Outcome& outcome)
    {
        now += endsAfter - timeout;
        balancer.attemptEnded(sent.ticket, sent.attempt, outcome, now);
        const auto all = steps();
        return find(all, StepKind::Check) != nullptr;
    }

    static Outcome lost(LossCause cause)
    {
        Outcome outcome;
        outcome.end = AttemptEnd::Lost;
        outcome.loss = cause;
        return outcome;
    }

    balance::Ticket ticket{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LateSendsTest, Fixture)

BOOST_AUTO_TEST_CASE(ThreeEndsAfterTheTimeOfTheRequestQuarantineIt)
{
    for (const LossCause cause : {LossCause::ClosedByServer, LossCause::ResetByServer, LossCause::ClosedByServer})
    {
        const Step sent = admit(1);
        BOOST_REQUIRE((sent.kind == StepKind::Forward));
        timeOut(sent, 1);
        BOOST_REQUIRE(endLate(sent, lost(cause)));
        balancer.checkEnded(*sent.instance, CheckResult::Refuses, now);
        (void)steps();
        now += 500ms;
    }
    const Step refused = admit(1);
    BOOST_REQUIRE((refused.kind == StepKind::Refuse));
    BOOST_TEST((refused.refusal.reason == RefusalReason::EndsServers));
    BOOST_TEST((admit(2).kind == StepKind::Forward));
    BOOST_TEST(!balancer.takeCrashNews().ends.empty());
}

BOOST_AUTO_TEST_CASE(ServersThatLiveAndPathsThatBreakAreNoEvidence)
{
    for (int i = 0; i < 4; ++i)
    {
        const Step broken = admit(1);
        timeOut(broken, 1);
        BOOST_TEST(!endLate(broken, lost(LossCause::PathBroken)));
        const Step reset = admit(1);
        BOOST_REQUIRE((reset.kind == StepKind::Forward));
        timeOut(reset, 1);
        BOOST_TEST(endLate(reset, lost(LossCause::ResetByServer)));
        balancer.checkEnded(*reset.instance, CheckResult::Accepts, now);
        (void)steps();
    }
    BOOST_TEST((admit(1).kind == StepKind::Forward));
}

BOOST_AUTO_TEST_CASE(ALateAnswerClearsTheRequest)
{
    for (int i = 0; i < 6; ++i)
    {
        const Step sent = admit(1);
        BOOST_REQUIRE((sent.kind == StepKind::Forward));
        timeOut(sent, 1);
        Outcome outcome = lost(LossCause::ClosedByServer);
        if (i % 2 == 1)
        {
            outcome.end = AttemptEnd::Answered;
            outcome.loss = LossCause::None;
            outcome.status = 200;
        }
        if (endLate(sent, outcome))
            balancer.checkEnded(*sent.instance, CheckResult::Refuses, now);
        (void)steps();
        now += 500ms;
    }
    BOOST_TEST((admit(1).kind == StepKind::Forward));
}

BOOST_AUTO_TEST_CASE(SendsThatNeverEndAreBounded)
{
    LateSends  sends;
    const auto instance = std::make_shared<const deployment::Instance>(declared.instances[0]);
    for (balance::Ticket number = 1; number <= 5000; ++number)
        sends.add(number, 1, {instance, now, now, identityOf(number)});
    BOOST_TEST(sends.size() == 1024U);
    BOOST_TEST(!sends.take(1, 1, now).has_value());
    BOOST_TEST(sends.take(5000, 1, now).has_value());
    BOOST_TEST(!sends.take(4999, 1, now + 11min).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/node/Dispatcher.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using node::Outcome;
using node::RefusalReason;
using node::Step;
using node::Verdict;
using retries::AttemptResult;
using retries::Ran;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
config::Workspace workspaceOf(unsigned servers, unsigned queue = 64)
{
    config::Service service;
    service.name = "portal";
    service.queue = queue;
    service.routes = {{"/status", {"GET"}, true, config::Priority::Interactive},
                      {"/batch", {"GET"}, true, config::Priority::Batch}};
    for (unsigned i = 0; i < servers; ++i)
        service.servers.push_back(
            {"s" + std::to_string(i), "10.0.0.1", static_cast<std::uint16_t>(100 + i), "dc", 3, 6});
    return {"admissa", 0, {service}};
}

////////////////////////////////////////////////////////////
struct Fixture
{
    Fixture()
    {
        dispatcher.configure(workspaceOf(4), now);
    }

    Step admit(const char* method = "GET", const char* path = "/status")
    {
        return dispatcher.admit({"portal.admissa", method, path, {}}, now);
    }

    Step finish(const Step& step, AttemptResult result)
    {
        Outcome outcome;
        outcome.result = result;
        return dispatcher.finishAttempt(step.ticket, outcome, now);
    }

    std::vector<Step> released()
    {
        std::vector<Step> steps;
        dispatcher.takeReleased(steps);
        return steps;
    }

    core::Timestamp  now{start};
    node::Dispatcher dispatcher{{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Dispatcher, Fixture)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(withoutConfigurationRequestsAreRefused)
{
    node::Dispatcher empty{{}};
    const Step       step = empty.admit({"portal.admissa", "GET", "/", {}}, now);
    BOOST_TEST((step.verdict == Verdict::Refuse));
    BOOST_TEST((step.refusal.reason == RefusalReason::NotConfigured));
    BOOST_TEST((step.refusal.ran == Ran::No));
    BOOST_TEST(step.refusal.retryAfter.count() > 0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unknownHostsAreRefused)
{
    for (const char* host : {"portal.quetzal", "ledger.admissa", "portal", ""})
    {
        const Step step = dispatcher.admit({host, "GET", "/status", {}}, now);
        BOOST_TEST((step.refusal.reason == RefusalReason::UnknownService));
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aRequestIsForwardedAndAnswered)
{
    const Step step = admit();
    BOOST_REQUIRE((step.verdict == Verdict::Forward));
    BOOST_TEST(step.target->service == "portal");
    BOOST_TEST(dispatcher.unfinished() == 1U);
    now += 5ms;
    BOOST_TEST((finish(step, AttemptResult::Answered).verdict == Verdict::Answer));
    BOOST_TEST(dispatcher.unfinished() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(nonRepeatableRequestsAreNotRetriedOnceTheyMayHaveArrived)
{
    for (const AttemptResult result : {AttemptResult::Unknown, AttemptResult::Shed, AttemptResult::Abandoned})
    {
        const Step step = admit("POST", "/fees");
        BOOST_TEST(!step.repeatable);
        BOOST_TEST((finish(step, result).verdict == Verdict::Refuse));
    }
    const Step failed = admit("POST", "/fees");
    BOOST_TEST((finish(failed, AttemptResult::Failed).verdict == Verdict::Answer));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aRefusalSaysNotRunOnlyWhenThatIsCertain)
{
    BOOST_TEST((finish(admit("POST", "/fees"), AttemptResult::Unknown).refusal.ran == Ran::Unknown));
    BOOST_TEST((finish(admit("POST", "/fees"), AttemptResult::Shed).refusal.ran == Ran::No));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aRequestThatWasNotSentGoesToAnotherServer)
{
    const Step first = admit("POST", "/fees");
    const Step second = finish(first, AttemptResult::NotSent);
    BOOST_REQUIRE((second.verdict == Verdict::Forward));
    BOOST_TEST(second.target->server != first.target->server);
    BOOST_TEST(second.attempt == 2U);
    const Step third = finish(second, AttemptResult::NotSent);
    BOOST_TEST((third.refusal.reason == RefusalReason::NotSent));
    BOOST_TEST((third.refusal.ran == Ran::No));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(repeatableRequestsAreSentAgainElsewhere)
{
    const Step first = admit();
    const Step second = finish(first, AttemptResult::Failed);
    BOOST_REQUIRE((second.verdict == Verdict::Forward));
    BOOST_TEST(second.target->server != first.target->server);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(noRetryAfterAnAnswerThatForbidsIt)
{
    Outcome outcome;
    outcome.result = AttemptResult::Failed;
    outcome.retryForbidden = true;
    BOOST_TEST((dispatcher.finishAttempt(admit().ticket, outcome, now).verdict == Verdict::Answer));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(fullServersMakeRequestsWaitAndAnAnswerReleasesOne)
{
    std::vector<Step> sent;
    Step              step = admit();
    for (; step.verdict == Verdict::Forward; step = admit())
        sent.push_back(step);
    BOOST_TEST(sent.size() == 12U); // Four servers, each with a limit of three
    BOOST_REQUIRE((step.verdict == Verdict::Hold));
    BOOST_TEST(released().empty());
    now += 5ms;
    (void)finish(sent.front(), AttemptResult::Answered);
    const auto steps = released();
    BOOST_REQUIRE(steps.size() == 1U);
    BOOST_TEST((steps.front().verdict == Verdict::Forward));
    BOOST_TEST(steps.front().ticket == step.ticket);
    BOOST_TEST(dispatcher.held() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aHeldRequestExpiresAndCanBeCancelled)
{
    while (admit().verdict == Verdict::Forward)
    {
    }
    const Step second = admit();
    BOOST_REQUIRE((second.verdict == Verdict::Hold));
    BOOST_TEST(dispatcher.held() == 2U);
    BOOST_TEST(dispatcher.cancelHeld(second.ticket, now));
    BOOST_TEST(!dispatcher.cancelHeld(second.ticket, now));
    dispatcher.tick(now + 249ms);
    BOOST_TEST(released().empty());
    dispatcher.tick(now + 250ms);
    const auto steps = released();
    BOOST_REQUIRE(steps.size() == 1U);
    BOOST_TEST((steps.front().refusal.reason == RefusalReason::WaitTooLong));
    BOOST_TEST((steps.front().refusal.ran == Ran::No));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aRequestThatCannotBeServedInTimeIsRefusedAtOnce)
{
    while (admit().verdict == Verdict::Forward)
    {
    }
    const Step hurried = dispatcher.admit({"portal.admissa", "GET", "/status", 3ms}, now);
    BOOST_TEST((hurried.refusal.reason == RefusalReason::WaitTooLong));
    const Step late = dispatcher.admit({"portal.admissa", "GET", "/status", 0ms}, now);
    BOOST_TEST((late.refusal.reason == RefusalReason::DeadlinePassed));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(ejectionLeavesHalfThePool)
{
    for (int i = 0; i < 200; ++i)
    {
        const Step step = admit("POST", "/fees");
        if (step.verdict == Verdict::Forward)
            (void)finish(step, AttemptResult::Failed);
    }
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
    {
        const Step step = admit("POST", "/fees");
        BOOST_REQUIRE((step.verdict == Verdict::Forward));
        used.insert(step.target->server);
        (void)finish(step, AttemptResult::Abandoned);
    }
    BOOST_TEST(used.size() == 2U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(drainingServersGetNoRequestsAndAreReportedOnce)
{
    Outcome outcome;
    outcome.result = AttemptResult::Answered;
    outcome.draining = true;
    const Step step = admit();
    (void)dispatcher.finishAttempt(step.ticket, outcome, now);
    std::vector<node::ServerReport> reports;
    dispatcher.takeDrainingReports(reports);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().server == step.target->server);
    for (int i = 0; i < 100; ++i)
    {
        const Step next = admit();
        BOOST_TEST(next.target->server != step.target->server);
        (void)finish(next, AttemptResult::Answered);
    }
    dispatcher.takeDrainingReports(reports);
    BOOST_TEST(reports.empty());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aServerThatShedsGetsNoRequestsBeforeItsRetryAfter)
{
    const Step shed = admit();
    Outcome    outcome;
    outcome.result = AttemptResult::Shed;
    outcome.retryAfter = 3s;
    const Step again = dispatcher.finishAttempt(shed.ticket, outcome, now);
    BOOST_REQUIRE((again.verdict == Verdict::Forward));
    BOOST_TEST((finish(again, AttemptResult::Answered).verdict == Verdict::Answer));
    std::set<std::string> used;
    const auto            serveFor = [&](core::Duration time)
    {
        for (const core::Timestamp until = now + time; now < until; now += 20ms)
        {
            const Step step = admit();
            BOOST_REQUIRE((step.verdict == Verdict::Forward));
            used.insert(step.target->server);
            (void)finish(step, AttemptResult::Answered);
        }
    };
    serveFor(2900ms);
    BOOST_TEST(!used.contains(shed.target->server));
    // The server is used again while the others are busy, once its ramp has raised its share.
    now += 3s;
    for (int i = 0; i < 9; ++i)
    {
        if (const Step step = admit(); step.verdict == Verdict::Forward)
            used.insert(step.target->server);
    }
    BOOST_TEST(used.contains(shed.target->server));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhileAllServersShed)
{
    Outcome outcome;
    outcome.result = AttemptResult::Shed;
    outcome.retryAfter = 3s;
    for (int i = 0; i < 4; ++i)
    {
        const Step step = admit("POST", "/fees");
        if (step.verdict == Verdict::Forward)
            (void)dispatcher.finishAttempt(step.ticket, outcome, now);
    }
    const Step step = admit();
    BOOST_REQUIRE((step.verdict == Verdict::Refuse));
    BOOST_TEST((step.refusal.ran == Ran::No));
    BOOST_TEST(step.refusal.retryAfter.count() > 0);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aNewConfigurationKeepsRequestsInFlight)
{
    const Step        step = admit();
    config::Workspace changed = workspaceOf(4);
    std::erase_if(changed.services.front().servers,
                  [&](const auto& server) { return server.name == step.target->server; });
    dispatcher.configure(changed, now);
    for (int i = 0; i < 50; ++i)
    {
        const Step next = admit();
        BOOST_TEST(next.target->server != step.target->server);
        (void)finish(next, AttemptResult::Answered);
    }
    BOOST_TEST((finish(step, AttemptResult::Answered).verdict == Verdict::Answer));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(replacedServersLeaveNoEntriesBehind)
{
    for (int i = 0; i < 500; ++i)
    {
        config::Workspace changed = workspaceOf(4);
        changed.services.front().servers.front().port = static_cast<std::uint16_t>(1000 + i);
        dispatcher.configure(changed, now);
    }
    std::size_t servers = 0;
    dispatcher.visitServers(now, [&](const auto&, routing::Availability) { ++servers; });
    BOOST_TEST(servers == 4U);
    BOOST_TEST(dispatcher.serverEntries() == 4U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aDeletedWorkspaceRefusesHeldRequests)
{
    while (admit().verdict == Verdict::Forward)
    {
    }
    dispatcher.removeWorkspace("admissa", now);
    const auto steps = released();
    BOOST_REQUIRE(steps.size() == 1U);
    BOOST_TEST((steps.front().refusal.reason == RefusalReason::NoServer));
    BOOST_TEST((admit().refusal.reason == RefusalReason::UnknownService));
    BOOST_TEST(dispatcher.held() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(sameSeedSameChoices)
{
    node::Dispatcher left{{}};
    node::Dispatcher right{{}};
    left.configure(workspaceOf(9), now);
    right.configure(workspaceOf(9), now);
    for (int i = 0; i < 20; ++i)
    {
        const node::Request request{"portal.admissa", "GET", "/status", {}};
        BOOST_TEST(left.admit(request, now).target->server == right.admit(request, now).target->server);
    }
}

BOOST_AUTO_TEST_SUITE_END()

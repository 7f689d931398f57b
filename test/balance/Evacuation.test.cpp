#include <sailpath/balance/Balancer.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::Balancer;
using balance::Load;
using balance::Outcome;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;
using balance::Ticket;

////////////////////////////////////////////////////////////
/// \brief A balancer with two servers in each of two data centres
////////////////////////////////////////////////////////////
struct Fixture
{
    Fixture()
    {
        deployment::HostRoute route;
        route.name = "read";
        route.host = "a.example";
        route.pathPrefix = "/read/";
        route.repeatable = true;
        route.timeout = 2s;
        route.targetLatency = 400ms;
        route.attempts = 2;
        route.parts = {{"portal", 1}};
        auto deployment = std::make_shared<deployment::Deployment>();
        deployment->version = 1;
        deployment->routes = {route};
        deployment->services = {{"portal", "/health", 200, 3s, 2.5}};
        declared.deployment = deployment;
        for (const char* dataCentre : {"dc-1", "dc-2"})
        {
            for (const char* server : {"a", "b"})
                declared.instances.push_back(
                    {std::string(dataCentre) + server, "portal", "10.0.0.1", 80, dataCentre, 3, false, {}});
        }
        declared.nodes = 1;
        declared.members = {settingsOf().self};
        configure();
        now += 20s;
    }

    static balance::Settings settingsOf()
    {
        balance::Settings settings;
        settings.dataCentre = "dc-1";
        settings.retryRatio = 0.2;
        settings.retryExtra = 50;
        settings.self = 7;
        settings.probeRate = 1000; // Many requests arrive at the same time
        return settings;
    }

    void configure()
    {
        balancer.configure(declared, now);
    }

    std::vector<Step> steps()
    {
        std::vector<Step> taken;
        balancer.takeSteps(taken);
        for (const Step& step : taken)
        {
            if (step.kind == StepKind::Probe || step.kind == StepKind::Forward)
                asked.push_back(step);
        }
        return taken;
    }

    std::vector<Step> admit()
    {
        balancer.admit(++ticket, {"a.example", "/read/1", now, 4s}, now);
        return steps();
    }

    std::vector<Step> answerProbe(const Step& step, core::Duration warmUp = {}, Load load = {0, 0, 3, 1})
    {
        Outcome outcome;
        outcome.end = AttemptEnd::Answered;
        outcome.status = 200;
        outcome.load = load;
        outcome.warmUp = warmUp;
        balancer.probeEnded(step.ticket, step.attempt, outcome, now);
        return steps();
    }

    std::vector<Step> advance(core::Duration time)
    {
        std::vector<Step>     all;
        const core::Timestamp until = now + time;
        for (auto due = balancer.nextDue(); due && *due <= until; due = balancer.nextDue())
        {
            now = std::max(now, *due);
            balancer.processDue(now);
            for (Step& step : steps())
                all.push_back(std::move(step));
        }
        now = until;
        return all;
    }

    /// \brief Count the requests and probes sent to a data centre since the last call
    std::size_t takeAsked(const std::string& dataCentre)
    {
        const auto count = std::count_if(asked.begin(), asked.end(),
                                         [&](const Step& step) { return step.instance->dataCentre == dataCentre; });
        asked.clear();
        return static_cast<std::size_t>(count);
    }

    /// \brief Admit and answer requests; servers of a data centre report `warmUp`. Count the requests sent there.
    std::size_t sentTo(const std::string& dataCentre, int requests, core::Duration warmUp)
    {
        std::size_t sent = 0;
        for (int i = 0; i < requests; ++i)
        {
            std::vector<Step> todo = admit();
            while (!todo.empty())
            {
                const Step step = todo.back();
                todo.pop_back();
                const bool        there = step.instance && step.instance->dataCentre == dataCentre;
                std::vector<Step> next;
                if (step.kind == StepKind::Probe)
                    next = answerProbe(step, there ? warmUp : core::Duration{}, {there ? 0U : 3U, 0, 3, 1});
                else if (step.kind == StepKind::Forward)
                {
                    sent += there ? 1 : 0;
                    Outcome outcome;
                    outcome.end = AttemptEnd::Answered;
                    outcome.status = 200;
                    balancer.attemptEnded(step.ticket, step.attempt, outcome, now);
                    next = steps();
                }
                todo.insert(todo.end(), next.begin(), next.end());
            }
        }
        return sent;
    }

    deployment::DeclaredState declared;
    core::Timestamp           now{1h};
    Ticket                    ticket{0};
    std::vector<Step>         asked;
    Balancer                  balancer{settingsOf(), now};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationTest, Fixture)

BOOST_AUTO_TEST_CASE(EvacuatedDataCentreGetsNoRequestsAndNoProbes)
{
    BOOST_TEST(sentTo("dc-1", 20, 0ms) > 0U);
    (void)takeAsked("dc-1");
    declared.evacuated = {"dc-1", "unheard of"};
    configure();
    BOOST_TEST(sentTo("dc-1", 50, 0ms) == 0U);
    BOOST_TEST(takeAsked("dc-1") == 0U);
}

BOOST_AUTO_TEST_CASE(SearchInProgressDoesNotChooseAnEvacuatedServer)
{
    const auto probes = admit();
    BOOST_REQUIRE(!probes.empty());
    BOOST_REQUIRE((probes[0].kind == StepKind::Probe && probes[0].instance->dataCentre == "dc-1"));
    (void)takeAsked("dc-1");
    declared.evacuated = {"dc-1"};
    configure();
    // A server that was probed before the evacuation answers, and it would be the best choice.
    (void)answerProbe(probes[0]);
    (void)advance(200ms);
    BOOST_TEST(takeAsked("dc-1") == 0U);
}

BOOST_AUTO_TEST_CASE(RetryAvoidsAnEvacuatedServerAndTheFirstAttemptIsNotCancelled)
{
    auto sent = admit();
    while (!sent.empty() && sent[0].kind == StepKind::Probe)
        sent = answerProbe(sent[0]);
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_REQUIRE((sent[0].kind == StepKind::Forward));
    BOOST_TEST(sent[0].instance->dataCentre == "dc-1");
    (void)takeAsked("dc-1");
    declared.evacuated = {"dc-1"};
    configure();
    for (const Step& step : advance(100ms))
        BOOST_TEST((step.kind != StepKind::Abandon));
    Outcome lost;
    lost.end = AttemptEnd::NotRun;
    lost.status = 503;
    balancer.attemptEnded(sent[0].ticket, sent[0].attempt, lost, now);
    (void)steps();
    (void)advance(300ms);
    BOOST_TEST(takeAsked("dc-1") == 0U);
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceWhenAllServersAreEvacuated)
{
    declared.evacuated = {"dc-1", "dc-2"};
    configure();
    const auto steps = admit();
    BOOST_REQUIRE(steps.size() == 1);
    BOOST_TEST((steps[0].kind == StepKind::Refuse));
    BOOST_TEST((steps[0].refusal.reason == RefusalReason::Evacuated));
    BOOST_TEST(!steps[0].refusal.mayHaveRun);
    BOOST_TEST(steps[0].refusal.retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(ReturnedColdServersGetFewRequestsUntilTheyAreWarm)
{
    declared.evacuated = {"dc-1"};
    configure();
    declared.evacuated = {};
    configure();
    BOOST_TEST(sentTo("dc-1", 60, 3s) <= 2U);
    now += 3s;
    BOOST_TEST(sentTo("dc-1", 60, 0ms) > 20U);
}

BOOST_AUTO_TEST_CASE(ReturnedWarmServersGetAsManyRequestsAsBefore)
{
    declared.evacuated = {"dc-1"};
    declared.members = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}; // Other nodes share the limit of cold servers
    configure();
    declared.evacuated = {};
    configure();
    BOOST_TEST(sentTo("dc-1", 60, 0ms) > 20U);
}

BOOST_AUTO_TEST_CASE(ServerMayReportAtAnyTimeThatItIsColdAgain)
{
    BOOST_TEST(sentTo("dc-1", 20, 0ms) > 5U);
    now += 1s;
    BOOST_TEST(sentTo("dc-1", 60, 2500ms) <= 4U);
    BOOST_TEST(!balancer.takeWarmUpChanges().empty());
    now += 3s;
    BOOST_TEST(sentTo("dc-1", 20, 0ms) > 5U);
}

// Guards against servers that stay out for good because their service was heard of first during the evacuation.
BOOST_AUTO_TEST_CASE(ServersOfAServiceThatIsNewDuringAnEvacuationAreUsedAfterIt)
{
    deployment::DeclaredState change;
    change.deployment = declared.deployment;
    change.whole = false;
    change.instances = declared.instances;
    change.evacuated = {"dc-1", "dc-2"};
    Balancer fresh(settingsOf(), now);
    fresh.configure(change, now);
    now += 1s;
    change.instances.clear();
    change.evacuated.clear();
    fresh.configure(change, now);
    now += 20s;
    fresh.admit(++ticket, {"a.example", "/read/1", now, 4s}, now);
    std::vector<Step> taken;
    fresh.takeSteps(taken);
    BOOST_REQUIRE(!taken.empty());
    BOOST_TEST((taken[0].kind == StepKind::Probe || taken[0].kind == StepKind::Forward));
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/OneRouteFixture.hpp>
#include <support/ServiceModel.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::NoticeSource;
using balance::Outcome;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;

constexpr double maxExtension = 1.25; // Largest random extension of a back-off, as a multiple of the length asked for

////////////////////////////////////////////////////////////
/// \brief A node with two servers that may ask for a back-off
////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(4s, 2, 2)
    {
        balancer.configure(declared, now);
    }

    void recordBackOff(std::size_t server, core::Duration length, NoticeSource source = NoticeSource::Answer)
    {
        const auto instance = std::make_shared<const deployment::Instance>(declared.instances[server]);
        balancer.recordNotice(instance, {false, length}, source, now);
    }

    /// \brief Admit a request now and return the first step
    Step arrive()
    {
        balancer.admit(++ticket, {"a.example", "/read/1", now, 2s, {}}, now);
        return steps().at(0);
    }

    std::vector<Step> end(balance::Ticket endedTicket, AttemptEnd how, unsigned status)
    {
        Outcome outcome;
        outcome.end = how;
        outcome.status = status;
        balancer.attemptEnded(endedTicket, 1, outcome, now);
        return steps();
    }

    /// \brief Admit a request now, answer it if it is sent to a server, and return whether it was
    bool isServed()
    {
        const Step step = arrive();
        if (step.kind != StepKind::Forward)
            return false;
        (void)end(ticket, AttemptEnd::Answered, 200);
        return true;
    }

    balance::Ticket ticket{0};
};

////////////////////////////////////////////////////////////
/// \brief Five nodes with ten servers and short requests
////////////////////////////////////////////////////////////
support::ServiceModel busyModel(std::uint64_t seed, double perSecond)
{
    support::ModelSettings settings;
    settings.nodes = 5;
    settings.seed = seed;
    support::KindOfRequest kind;
    kind.name = "read";
    kind.target = 250ms;
    kind.timeout = 2s;
    kind.patience = 2s;
    kind.workMs = 15;
    kind.retries = 2;
    kind.perSecond = perSecond;
    std::vector<support::ModelServer> servers;
    for (unsigned i = 0; i < 10; ++i)
        servers.push_back({"s" + std::to_string(i), "portal", "dc" + std::to_string(i % 3)});
    return {settings, {kind}, servers};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(BackOffTest, Fixture)

BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceWithATimeToRetryWhenAllServersBackOff)
{
    recordBackOff(0, 3s);
    recordBackOff(1, 5s);
    now += 1s;
    std::set<core::Duration> comeBacks;
    for (int i = 0; i < 20; ++i)
    {
        const Step step = arrive();
        BOOST_REQUIRE((step.kind == StepKind::Refuse));
        BOOST_TEST((step.refusal.reason == RefusalReason::AllBackOff));
        BOOST_TEST(!step.refusal.mayHaveRun);
        BOOST_TEST(step.refusal.retryAfter >= 2s);
        BOOST_TEST(step.refusal.retryAfter <= core::fromMilliseconds(1.5 * (maxExtension * 3000 - 1000)));
        comeBacks.insert(step.refusal.retryAfter);
    }
    BOOST_TEST(comeBacks.size() > 10U);
}

BOOST_AUTO_TEST_CASE(AfterABackOffAServerGetsOneTrialAtATimeUntilItAcceptsOne)
{
    recordBackOff(0, 1s);
    recordBackOff(1, 60s);
    now += core::fromMilliseconds(maxExtension * 1000);
    const Step trial = arrive();
    BOOST_REQUIRE((trial.kind == StepKind::Forward));
    BOOST_TEST(trial.instance->id == "s0");
    const auto first = ticket;
    const Step second = arrive();
    BOOST_REQUIRE((second.kind == StepKind::Refuse));
    BOOST_TEST((second.refusal.reason == RefusalReason::AllBackOff));
    BOOST_TEST(second.refusal.retryAfter <= 1s);
    now += 50ms;
    (void)end(first, AttemptEnd::Answered, 200);
    BOOST_TEST((arrive().kind == StepKind::Forward));
    BOOST_TEST((arrive().kind == StepKind::Forward));
}

BOOST_AUTO_TEST_CASE(LongRequestFromBeforeABackOffDoesNotBlockTheTrial)
{
    std::map<std::string, balance::Ticket> older;
    for (int i = 0; i < 4; ++i)
    {
        const Step step = arrive();
        older[step.instance->id] = ticket;
    }
    BOOST_REQUIRE_EQUAL(older.size(), 2U);
    recordBackOff(0, 1s);
    recordBackOff(1, 1s);
    now += core::fromMilliseconds(maxExtension * 1000);
    BOOST_TEST((arrive().kind == StepKind::Forward));
}

BOOST_AUTO_TEST_CASE(TrialThatIsNotRejectedAtOnceIsFollowedByAnother)
{
    recordBackOff(0, 1s);
    recordBackOff(1, 60s);
    now += core::fromMilliseconds(maxExtension * 1000);
    BOOST_TEST((arrive().kind == StepKind::Forward));
    now += 200ms;
    BOOST_TEST((arrive().kind == StepKind::Refuse));
    now += 100ms;
    BOOST_TEST((arrive().kind == StepKind::Forward));
    BOOST_TEST((arrive().kind == StepKind::Refuse));
}

BOOST_AUTO_TEST_CASE(NeitherAShorterBackOffNorAnOlderAnswerEndsABackOff)
{
    const Step older = arrive();
    const auto first = ticket;
    recordBackOff(0, 3s);
    recordBackOff(1, 3s);
    now += 1s;
    recordBackOff(0, 100ms);
    recordBackOff(1, 100ms, NoticeSource::HealthAnswer);
    (void)end(first, AttemptEnd::Answered, 200);
    now += 1900ms;
    BOOST_TEST(!isServed());
    // A request that was answered before the back-off ended does not replace the trial after it.
    now += 1s;
    (void)arrive();
    (void)arrive();
    BOOST_TEST((arrive().kind == StepKind::Refuse));
    BOOST_TEST((older.kind == StepKind::Forward));
}

BOOST_AUTO_TEST_CASE(LongerBackOffOfALaterAnswerHolds)
{
    recordBackOff(0, 1s);
    recordBackOff(1, 1s);
    now += 500ms;
    recordBackOff(0, 4s);
    recordBackOff(1, 4s);
    now += 3900ms;
    BOOST_TEST(!isServed());
    now += 1200ms;
    BOOST_TEST(isServed());
}

BOOST_AUTO_TEST_CASE(CallerRejectedByOneServerIsNotToldToWaitForItsBackOff)
{
    const Step step = arrive();
    const auto which = static_cast<std::size_t>(step.instance->id == "s0" ? 0 : 1);
    recordBackOff(which, 30s);
    // A newly started node has no retry budget, so the caller is told to come back; the other server may accept it then.
    const auto next = end(ticket, AttemptEnd::NotRun, 503);
    BOOST_REQUIRE((next.at(0).kind == StepKind::Refuse));
    BOOST_TEST(next[0].refusal.retryAfter <= 2s);
    BOOST_TEST(isServed());
}

BOOST_AUTO_TEST_CASE(BackOffEndsWithANewLifeButNotWithARestoredEntry)
{
    recordBackOff(0, 10s);
    recordBackOff(1, 10s);
    deployment::DeclaredState without = declared;
    without.instances.clear();
    balancer.configure(without, now);
    balancer.configure(declared, now);
    BOOST_TEST(!isServed());
    declared.instances[1].born = 9;
    balancer.configure(declared, now);
    BOOST_TEST(isServed());
}

BOOST_AUTO_TEST_CASE(CallersWaitForServersThatBackOffWhenTheOthersLeave)
{
    const auto instance = std::make_shared<const deployment::Instance>(declared.instances[0]);
    balancer.recordNotice(instance, {true, {}}, NoticeSource::Answer, now);
    now += 5s;
    recordBackOff(1, 3s);
    const Step step = arrive();
    BOOST_REQUIRE((step.kind == StepKind::Refuse));
    BOOST_TEST((step.refusal.reason == RefusalReason::AllBackOff));
    BOOST_TEST(step.refusal.retryAfter >= 3s);
}

// The address of a server may pass to another server before the old entry is removed; the new server rejects the
// requests with status 421.
BOOST_AUTO_TEST_CASE(ServerWhoseAddressPassedToAnotherGetsNoRequestsForAWhile)
{
    const Step step = arrive();
    Outcome    outcome;
    outcome.end = AttemptEnd::NotRun;
    outcome.status = 421;
    outcome.misdirected = true;
    balancer.attemptEnded(ticket, 1, outcome, now);
    (void)steps();
    for (const core::Timestamp until = now + 1900ms; now < until; now += 50ms)
    {
        const Step other = arrive();
        BOOST_REQUIRE((other.kind == StepKind::Forward));
        BOOST_TEST(other.instance->id != step.instance->id);
        (void)end(ticket, AttemptEnd::Answered, 200);
    }
    const auto changes = balancer.takeNoticeChanges();
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0].source == NoticeSource::Misdirected));
}

// All servers of a service ask five busy nodes for a back-off of three seconds, and accept requests again after half a
// second.
BOOST_AUTO_TEST_CASE(NodesDoNotAllRetryInTheSameInstant)
{
    constexpr double perSecond = 600;
    constexpr auto   first = 50ms; // After the first request that follows the back-off
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        support::ServiceModel model = busyModel(seed, perSecond);
        model.run(4s);
        for (const std::string& id : model.runningServers())
            model.setBackOff(id, 3s);
        model.run(500ms);
        for (const std::string& id : model.runningServers())
            model.setBackOff(id, 0s);
        const core::Timestamp measureFrom = model.now() + 1s; // No earlier request is under way any more
        model.run(5s);
        std::vector<core::Timestamp> arrivals;
        for (const std::string& id : model.runningServers())
        {
            BOOST_TEST(model.noticed(id).maxInBackOff(500ms) == 0U);
            for (const auto& [node, at] : model.noticed(id).arrivals)
            {
                if (at > measureFrom)
                    arrivals.push_back(at);
            }
        }
        BOOST_REQUIRE(!arrivals.empty());
        const core::Timestamp begin = *std::min_element(arrivals.begin(), arrivals.end());
        const auto            atOnce =
            std::count_if(arrivals.begin(), arrivals.end(), [&](core::Timestamp at) { return at < begin + first; });
        std::cout << "seed " << seed << ": " << atOnce << " requests in the first 50 ms after a back-off of all\n";
        // No more requests than at any other time.
        BOOST_TEST(static_cast<double>(atOnce) <= perSecond * core::toSeconds(first));
        model.beginCount();
        model.run(3s);
        model.setRate(0, 0.001); // Lets the requests under way end
        model.run(3s);
        BOOST_TEST(model.tally(0).servedShare() >= 0.99);
    }
}

BOOST_AUTO_TEST_SUITE_END()

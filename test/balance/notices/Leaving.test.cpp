#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::NoticeSource;
using balance::Outcome;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;

////////////////////////////////////////////////////////////
/// \brief A node with two servers that may say that they leave
////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(4s, 2, 2)
    {
        declared.instances[0].born = 7;
        balancer.configure(declared, now);
    }

    /// \brief Record the notice of a server that it leaves
    void recordLeaving(std::size_t server, NoticeSource source = NoticeSource::Answer)
    {
        const auto instance = std::make_shared<const deployment::Instance>(declared.instances[server]);
        balancer.recordNotice(instance, {true, {}}, source, now);
    }

    /// \brief Admit a request now, answer it after 50 ms if it is sent to a server, and return the first step
    Step arrive()
    {
        balancer.admit(++ticket, {"a.example", "/read/1", now, 2s, {}}, now);
        Step step = steps().at(0);
        if (step.kind != StepKind::Forward)
            return step;
        Outcome outcome;
        outcome.end = balance::AttemptEnd::Answered;
        outcome.status = 200;
        balancer.attemptEnded(ticket, 1, outcome, now + 50ms);
        (void)steps();
        return step;
    }

    /// \brief Admit twenty requests and return how many each server got
    std::map<std::string, unsigned> spreadRequests()
    {
        std::map<std::string, unsigned> got;
        for (int i = 0; i < 20; ++i)
        {
            const Step step = arrive();
            if (step.kind == StepKind::Forward)
                ++got[step.instance->id];
            now += 60ms;
        }
        return got;
    }

    balance::Ticket ticket{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingServersTest, Fixture)

BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewRequests)
{
    recordLeaving(0);
    BOOST_TEST(spreadRequests()["s0"] == 0U);
    recordLeaving(1, NoticeSource::HealthAnswer);
    now += 2s;
    BOOST_TEST(spreadRequests().empty());
    BOOST_TEST(balancer.takeNoticeChanges().size() == 2U);
    BOOST_TEST(balancer.notices(now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(RetryIsNotSentToALeavingServer)
{
    balancer.admit(++ticket, {"a.example", "/read/1", now, 2s, {}}, now);
    const auto first = steps().at(0);
    recordLeaving(first.instance->id == "s0" ? 1 : 0);
    Outcome outcome;
    outcome.end = balance::AttemptEnd::NotRun;
    outcome.status = 503;
    now += 2s;
    balancer.attemptEnded(ticket, 1, outcome, now);
    BOOST_TEST((steps().at(0).kind == StepKind::Refuse));
}

BOOST_AUTO_TEST_CASE(RestoredEntryDoesNotEndTheNotice)
{
    recordLeaving(0);
    deployment::DeclaredState without = declared;
    without.instances.erase(without.instances.begin());
    balancer.configure(without, now);
    balancer.configure(declared, now + 1s);
    now += 1s;
    BOOST_TEST(spreadRequests()["s0"] == 0U);
    // The same by incremental configuration changes.
    deployment::DeclaredState change;
    change.deployment = declared.deployment;
    change.whole = false;
    change.gone = {declared.instances[0]};
    balancer.configure(change, now);
    change.gone.clear();
    change.instances = {declared.instances[0]};
    balancer.configure(change, now);
    BOOST_TEST(spreadRequests()["s0"] == 0U);
}

BOOST_AUTO_TEST_CASE(NewLifeUnderTheSameIdStartsWithoutTheNotice)
{
    recordLeaving(0);
    const auto earlier = std::make_shared<const deployment::Instance>(declared.instances[0]);
    declared.instances[0].born = 8;
    balancer.configure(declared, now);
    recordLeaving(1);
    BOOST_TEST(spreadRequests()["s0"] == 20U);
    // A notice of the earlier life arrives late.
    balancer.recordNotice(earlier, {true, {}}, NoticeSource::Answer, now);
    now += 2s;
    BOOST_TEST(spreadRequests()["s0"] == 20U);
}

BOOST_AUTO_TEST_CASE(WhenAllServersLeaveTheyServeForAWhileAndThenCallersAreRefused)
{
    recordLeaving(0);
    recordLeaving(1);
    BOOST_TEST((arrive().kind == StepKind::Forward));
    now += 900ms;
    BOOST_TEST((arrive().kind == StepKind::Forward));
    now += 200ms;
    const Step step = arrive();
    BOOST_REQUIRE((step.kind == StepKind::Refuse));
    BOOST_TEST((step.refusal.reason == RefusalReason::AllLeaving));
    BOOST_TEST(!step.refusal.mayHaveRun);
    BOOST_TEST(step.refusal.retryAfter > 0ms);
}

BOOST_AUTO_TEST_CASE(JoiningServerIsUsedAtOnceWhenAllOthersLeave)
{
    recordLeaving(0);
    recordLeaving(1);
    declared.instances.push_back(declared.instances[1]);
    declared.instances.back().id = "s2";
    balancer.configure(declared, now);
    BOOST_TEST(spreadRequests()["s2"] == 20U);
}

BOOST_AUTO_TEST_CASE(NoticesOfRemovedServersAreBounded)
{
    const deployment::Instance like = declared.instances[1];
    deployment::DeclaredState  change;
    change.deployment = declared.deployment;
    change.whole = false;
    for (int i = 0; i < 2000; ++i)
    {
        deployment::Instance one = like;
        one.id = "gone-" + std::to_string(i);
        change.gone.clear();
        change.instances = {one};
        balancer.configure(change, now);
        balancer.recordNotice(std::make_shared<const deployment::Instance>(one), {true, {}}, NoticeSource::Answer, now);
        change.instances.clear();
        change.gone = {one};
        balancer.configure(change, now);
    }
    (void)balancer.takeNoticeChanges();
    // The notice of the newest removed server is still in force; that of the oldest was dropped.
    change.gone.clear();
    change.instances = {like, like};
    change.instances[0].id = "gone-0";
    change.instances[1].id = "gone-1999";
    balancer.configure(change, now);
    const auto known = balancer.notices(now);
    BOOST_REQUIRE_EQUAL(known.size(), 1U);
    BOOST_TEST(known[0].instance->id == "gone-1999");
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::NoticeSource;
using balance::Outcome;
using balance::Step;
using balance::StepKind;

////////////////////////////////////////////////////////////
/// \brief A node with two servers, whose entries may lapse and return
////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(4s, 2, 2)
    {
        declared.instances[0].born = 7;
        listed = declared.instances;
        balancer.configure(declared, now);
    }

    /// \brief Tell the node a whole list of entries, or what has changed since the last one
    void list(std::vector<deployment::Instance> instances, bool whole)
    {
        deployment::DeclaredState state;
        state.deployment = declared.deployment;
        state.whole = whole;
        if (whole)
            state.instances = instances;
        else
        {
            for (const deployment::Instance& known : declared.instances)
                addIfMissing(known, instances, state.gone);
            for (const deployment::Instance& instance : instances)
                addIfMissing(instance, declared.instances, state.instances);
        }
        declared.instances = std::move(instances);
        balancer.configure(state, now);
    }

    static void addIfMissing(const deployment::Instance& instance, const std::vector<deployment::Instance>& from,
                             std::vector<deployment::Instance>& to)
    {
        if (std::find(from.begin(), from.end(), instance) == from.end())
            to.push_back(instance);
    }

    void record(balance::ServerNotice notice, NoticeSource source = NoticeSource::Answer)
    {
        balancer.recordNotice(std::make_shared<const deployment::Instance>(listed[0]), notice, source, now);
    }

    /// \brief Send requests beside each other until the first server got one, which stays under way
    Step sendToFirst()
    {
        std::vector<Step> sent;
        do
            sent.push_back(admit());
        while (sent.back().kind == StepKind::Forward && sent.back().instance->id != "s0");
        BOOST_REQUIRE((sent.back().kind == StepKind::Forward));
        for (std::size_t i = 0; i + 1 < sent.size(); ++i)
            end(sent[i]);
        return sent.back();
    }

    Step admit()
    {
        balancer.admit(++ticket, {"a.example", "/read/1", now, 4s, {}}, now);
        return steps().at(0);
    }

    void end(const Step& step, const Outcome& outcome = answered())
    {
        balancer.attemptEnded(step.ticket, step.attempt, outcome, now + 1ms);
        (void)steps();
    }

    static Outcome answered()
    {
        Outcome outcome;
        outcome.end = balance::AttemptEnd::Answered;
        outcome.status = 200;
        return outcome;
    }

    /// \brief Requests, of twenty in groups of four, that the first server got
    unsigned sentToFirst()
    {
        unsigned got = 0;
        for (int group = 0; group < 5; ++group)
        {
            std::array<Step, 4> sent;
            for (Step& step : sent)
                step = admit();
            for (const Step& step : sent)
            {
                got += step.kind == StepKind::Forward && step.instance->id == "s0" ? 1 : 0;
                if (step.kind == StepKind::Forward)
                    end(step);
            }
            now += 60ms;
        }
        return got;
    }

    std::vector<deployment::Instance> listed; //!< Both servers
    balance::Ticket                   ticket{0};
};

} // namespace

// Guards against words of a server that are lost because no entry lists it at that moment.
BOOST_FIXTURE_TEST_SUITE(LapsedEntriesTest, Fixture)

BOOST_AUTO_TEST_CASE(AServerThatLeavesWhileItsEntryIsGoneGetsNothingWhenTheEntryReturns)
{
    for (const NoticeSource source : {NoticeSource::Answer, NoticeSource::HealthAnswer})
    {
        for (const bool whole : {true, false})
        {
            ++listed[0].born;
            list(listed, whole);
            BOOST_TEST(sentToFirst() > 0U);
            list({listed[1]}, whole);
            record({true, {}}, source);
            now += 5s;
            list(listed, whole);
            BOOST_TEST(sentToFirst() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(TheNoticeIsReportedWithWhetherAnEntryListedTheServer)
{
    list({listed[1]}, true);
    record({true, {}});
    const auto changes = balancer.takeNoticeChanges();
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(!changes[0].listed);
}

BOOST_AUTO_TEST_CASE(ANewLifeBeginsWithoutWhatTheEarlierOneSaidWhileItsEntryWasGone)
{
    list({listed[1]}, true);
    record({true, {}});
    auto next = listed;
    ++next[0].born;
    list(next, true);
    BOOST_TEST(sentToFirst() > 0U);
}

BOOST_AUTO_TEST_CASE(ABackOffThatIsAskedForWhileTheEntryIsGoneHolds)
{
    for (const bool whole : {true, false})
    {
        ++listed[0].born;
        list({listed[1]}, whole);
        record({false, 3s});
        list(listed, whole);
        BOOST_TEST(sentToFirst() == 0U);
        now += 4s;
    }
}

BOOST_AUTO_TEST_CASE(ALimitHoldsAcrossALapseOfTheEntry)
{
    const Step sent = sendToFirst();
    list({listed[1]}, true);
    Outcome outcome = answered();
    outcome.limit = 0.5;
    end(sent, outcome);
    list(listed, true);
    BOOST_TEST(balancer.limits(now).size() == 1U);
    BOOST_TEST(sentToFirst() < 4U);
}

BOOST_AUTO_TEST_CASE(ALimitThatWasNamedBeforeTheEntryLapsedHoldsWhenItReturns)
{
    Outcome outcome = answered();
    outcome.limit = 0.5;
    end(sendToFirst(), outcome);
    list({listed[1]}, false);
    now += 5s;
    list(listed, false);
    BOOST_TEST(balancer.limits(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AServerThatSaidItIsColdIsColdWhenItsEntryReturns)
{
    const Step sent = sendToFirst();
    list({listed[1]}, true);
    Outcome outcome = answered();
    outcome.warmUp = 5s;
    end(sent, outcome);
    list({listed[0]}, true);
    outcome.warmUp = 0s;
    (void)balancer.takeWarmUpChanges();
    end(sendToFirst(), outcome);
    BOOST_TEST(balancer.takeWarmUpChanges().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordsOfServersThatAreNotListedAreBoundedAndEnd)
{
    for (int i = 0; i < 20'000; ++i)
    {
        deployment::Instance instance = listed[0];
        instance.id = "gone-" + std::to_string(i);
        balancer.recordNotice(std::make_shared<const deployment::Instance>(instance), {true, {}}, NoticeSource::Answer,
                              now);
    }
    list(listed, true);
    BOOST_TEST(balancer.lives().size() <= 1024U + listed.size());
    now += 11min;
    list(listed, true);
    BOOST_TEST(balancer.lives().size() == listed.size());
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::StepKind;

////////////////////////////////////////////////////////////
/// \brief Three servers that were told whole, and what changes of them
////////////////////////////////////////////////////////////
struct ChangesFixture : support::OneRouteFixture
{
    ChangesFixture() :
    OneRouteFixture(2s, 2, 3)
    {
        balancer.configure(declared, now);
    }

    static deployment::Instance instanceOf(const std::string& id, bool draining = false)
    {
        return {id, "portal", "10.0.0.1", 80, "dc", 3, draining, {}};
    }

    void change(std::vector<deployment::Instance> present, std::vector<deployment::Instance> gone,
                std::set<std::string> evacuated = {})
    {
        deployment::DeclaredState told = declared;
        told.whole = false;
        told.instances = std::move(present);
        told.gone = std::move(gone);
        told.evacuated = std::move(evacuated);
        balancer.configure(told, now);
    }

    /// \brief Servers that requests are sent to
    std::set<std::string> used()
    {
        std::set<std::string> ids;
        for (int i = 0; i < 60; ++i)
        {
            balancer.admit(++ticket, {"a.example", "/read/x", now, 2s}, now);
            for (const auto& step : steps())
            {
                if (step.kind == StepKind::Forward)
                    ids.insert(step.instance->id);
            }
            if (i % 3 == 2)
                finish();
        }
        finish();
        return ids;
    }

    /// \brief Answers come after the work that is expected, so that no server looks quicker than others
    void finish()
    {
        now += 175ms;
        for (; done < ticket; ++done)
            balancer.attemptEnded(done + 1, 1, {balance::AttemptEnd::Answered, 200}, now);
        (void)steps();
    }

    balance::Ticket ticket{0};
    balance::Ticket done{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangesTest, ChangesFixture)

BOOST_AUTO_TEST_CASE(WhatIsNotToldStaysAsItWas)
{
    change({}, {});
    BOOST_TEST((used() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(OneThatIsGoneOrDrainsGetsNothingMoreAndANewOneIsUsed)
{
    change({instanceOf("s1", true), instanceOf("s3")}, {instanceOf("s0")});
    BOOST_TEST((used() == std::set<std::string>{"s2", "s3"}));
}

BOOST_AUTO_TEST_CASE(AServerThatComesBackUnderAnotherServiceLeavesTheFormer)
{
    deployment::Instance moved = instanceOf("s0");
    moved.service = "other";
    change({moved}, {instanceOf("s0")});
    BOOST_TEST((used() == std::set<std::string>{"s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(AnEvacuatedDataCentreIsLeftAndTakenBack)
{
    change({}, {}, {"dc"});
    BOOST_TEST(used().empty());
    change({}, {});
    now += 10s;
    BOOST_TEST((used() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(AServerThatStartedAgainIsMetAsANewOne)
{
    deployment::Instance again = instanceOf("s0");
    again.born = 7;
    change({again}, {});
    BOOST_TEST((used() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::StepKind;

////////////////////////////////////////////////////////////
/// \brief A balancer with three servers from a full configuration, and helpers to apply changes to it
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
        deployment::DeclaredState changes = declared;
        changes.whole = false;
        changes.instances = std::move(present);
        changes.gone = std::move(gone);
        changes.evacuated = std::move(evacuated);
        balancer.configure(changes, now);
    }

    /// \brief Send 60 requests and return the servers that got any
    std::set<std::string> usedServers()
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
                answerAll();
        }
        answerAll();
        return ids;
    }

    /// \brief Answer all requests after the expected time, so that no server looks faster than the others
    void answerAll()
    {
        now += 175ms;
        for (; answered < ticket; ++answered)
            balancer.attemptEnded(answered + 1, 1, {balance::AttemptEnd::Answered, 200}, now);
        (void)steps();
    }

    balance::Ticket ticket{0};
    balance::Ticket answered{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangesTest, ChangesFixture)

BOOST_AUTO_TEST_CASE(AnEmptyChangeKeepsAllServers)
{
    change({}, {});
    BOOST_TEST((usedServers() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(ARemovedOrDrainingServerGetsNoRequestsAndANewOneIsUsed)
{
    change({instanceOf("s1", true), instanceOf("s3")}, {instanceOf("s0")});
    BOOST_TEST((usedServers() == std::set<std::string>{"s2", "s3"}));
}

BOOST_AUTO_TEST_CASE(AServerThatMovesToAnotherServiceLeavesTheFormer)
{
    deployment::Instance moved = instanceOf("s0");
    moved.service = "other";
    change({moved}, {instanceOf("s0")});
    BOOST_TEST((usedServers() == std::set<std::string>{"s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(AnEvacuatedDataCentreGetsNoRequestsUntilItIsReinstated)
{
    change({}, {}, {"dc"});
    BOOST_TEST(usedServers().empty());
    change({}, {});
    now += 10s;
    BOOST_TEST((usedServers() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_CASE(ARestartedServerIsTreatedAsANewOne)
{
    deployment::Instance restarted = instanceOf("s0");
    restarted.born = 7;
    change({restarted}, {});
    BOOST_TEST((usedServers() == std::set<std::string>{"s0", "s1", "s2"}));
}

BOOST_AUTO_TEST_SUITE_END()

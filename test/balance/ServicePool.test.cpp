#include <sailpath/balance/ServicePool.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::Load;
using balance::SelectionCriteria;
using balance::ServicePool;

constexpr core::Timestamp start{1h};
constexpr double          workMs = 100;
constexpr unsigned        slots = 3;

struct Fixture
{
    Fixture()
    {
        settings.dataCentre = "dc";
        pool.setInstances({{"full", "portal", "10.0.0.1", 80, "dc", slots, false, {}},
                           {"empty", "portal", "10.0.0.2", 80, "dc", slots, false, {}}},
                          start);
        for (const char* id : {"full", "empty"})
            pool.find(id)->setIdleConnections(1);
    }

    /// \brief Report the load of both servers and choose one
    [[nodiscard]] balance::Choice chooseWith(unsigned onFull, unsigned onEmpty, double paceOfEmpty = 1)
    {
        pool.find("full")->recordReport(Load{onFull, 0, slots, 1}, start);
        pool.find("empty")->recordReport(Load{onEmpty, 0, slots, paceOfEmpty}, start);
        return pool.choose(SelectionCriteria{"read", false, {}}, start, random);
    }

    /// \brief Learn from answers of an idle and of a full server
    void learn(double slowdown, int answers)
    {
        for (int i = 0; i < answers; ++i)
        {
            const double assumedMs = pool.work().ms("read");
            const double crowdedSlowdown = pool.work().baseline().crowdedSlowdown;
            pool.work().learn("read", {workMs, workMs, workMs, 0, crowdedSlowdown, false}, start);
            pool.work().learn("read",
                              {slowdown * workMs, pool.find("full")->finishMs(workMs, baseline(), start), assumedMs, 1,
                               crowdedSlowdown, false},
                              start);
        }
    }

    /// \brief Return the slowdown assumed by the pool, derived from its estimate for a full server
    [[nodiscard]] double slowdown()
    {
        pool.find("full")->recordReport(Load{slots - 1, 0, slots, 1}, start);
        pool.find("empty")->recordReport(Load{slots + 9, 0, slots, 9}, start);
        return pool.choose(SelectionCriteria{"read", false, {}}, start, random).finishMs / pool.work().ms("read");
    }

    [[nodiscard]] balance::Baseline baseline()
    {
        return {workMs, 0, 1, slowdown()};
    }

    balance::Settings settings;
    ServicePool       pool{"portal", settings, std::make_shared<balance::ServerLives>(), start};
    core::Random      random{1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServicePoolTest, Fixture)

BOOST_AUTO_TEST_CASE(TheSlowdownOfFullServersIsLearned)
{
    BOOST_TEST(slowdown() > 1.35); // Assumed until answers arrive
    BOOST_TEST(slowdown() < 1.45);
    learn(1.7, 400);
    BOOST_TEST(slowdown() > 1.5);
    BOOST_TEST(slowdown() < 1.9);
}

BOOST_AUTO_TEST_CASE(WithoutASlowdownNoneIsLearned)
{
    learn(1.0, 400);
    BOOST_TEST(slowdown() < 1.05);
}

BOOST_AUTO_TEST_CASE(AnEmptierServerIsPreferredIfFullOnesAreSlower)
{
    learn(1.7, 400);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(chooseWith(slots - 1, 0, 1.4).server->instance()->id == "empty");
}

BOOST_AUTO_TEST_CASE(AnIdleServerIsExpectedToTakeItsUsualTime)
{
    learn(1.7, 400);
    const auto choice = chooseWith(slots, 0);
    BOOST_TEST(choice.server->instance()->id == "empty");
    BOOST_TEST(choice.crowding == 0.0);
    BOOST_TEST(choice.finishMs < 1.1 * pool.work().ms("read"));
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/balance/RetryWindow.hpp>
#include <sailpath/core/Random.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::RetryWindow;

constexpr core::Duration window = 10s;
constexpr double         ratio = 0.2;
constexpr double         extra = 56;

////////////////////////////////////////////////////////////
std::size_t within(const std::vector<core::Timestamp>& times, core::Timestamp from, core::Timestamp to)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](core::Timestamp time) { return time >= from && time < to; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryWindowTest)

BOOST_AUTO_TEST_CASE(AStartingNodeHasNoExtraRetries)
{
    RetryWindow budget(window, ratio, core::Timestamp{1h});
    BOOST_TEST(!budget.take(10, core::Timestamp{1h} + 5s));
    BOOST_TEST(budget.take(10, core::Timestamp{1h} + 11s));
}

BOOST_AUTO_TEST_CASE(TheRatioAppliesToTheRequestsOfTheWindow)
{
    core::Timestamp now{1h};
    RetryWindow     budget(window, ratio, now);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest(now);
    int taken = 0;
    while (budget.take(0, now))
        ++taken;
    BOOST_TEST(taken == 18);
    BOOST_TEST(!budget.take(0, now + 11s));
}

BOOST_AUTO_TEST_CASE(TheSumOverNodesKeepsTheBudgetInEveryWindowDespiteRestartsAndBursts)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        constexpr std::size_t                     nodes = 13;
        core::Random                              random(seed);
        core::Timestamp                           now{1h};
        std::vector<core::Timestamp>              requests;
        std::vector<core::Timestamp>              retries;
        std::vector<std::unique_ptr<RetryWindow>> budgets(nodes);
        for (auto& budget : budgets)
            budget = std::make_unique<RetryWindow>(window, ratio, now);
        for (int step = 0; step < 6000; ++step)
        {
            now += 10ms;
            const bool burst = (step / 500) % 3 == 1;
            for (auto& budget : budgets)
            {
                if (random.unit() < 0.0005)
                    budget = std::make_unique<RetryWindow>(window, ratio, now);
                if (random.unit() < (burst ? 0.4 : 0.02))
                {
                    budget->recordRequest(now);
                    requests.push_back(now);
                }
                // All requests fail, so every allowed retry is sent.
                if (budget->take(0.6 * extra / nodes, now))
                    retries.push_back(now);
            }
        }
        for (core::Timestamp from{1h}; from < now; from += 250ms)
        {
            const std::size_t counted =
                std::max({within(requests, from, from + window), within(requests, from - window, from),
                          within(requests, from - window / 2, from + window / 2)});
            const auto allowed = ratio * static_cast<double>(counted) + extra;
            BOOST_TEST(static_cast<double>(within(retries, from, from + window)) <= allowed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

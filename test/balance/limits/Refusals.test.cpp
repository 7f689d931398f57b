#include <support/OneRouteFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::Outcome;
using balance::RefusalReason;
using balance::Step;
using balance::StepKind;

////////////////////////////////////////////////////////////
/// \brief A node with two servers that name a limit in each answer
////////////////////////////////////////////////////////////
struct Fixture : support::OneRouteFixture
{
    Fixture() :
    OneRouteFixture(4s, 2, 2)
    {
        declared.nodes = 1;
        balancer.configure(declared, now);
    }

    /// \brief Admit a request now, answer it after 50 ms if it is sent to a server, and return the first step
    Step arrive()
    {
        balancer.admit(++ticket, {"a.example", "/read/1", now, 2s, {}}, now);
        Step step = steps().at(0);
        if (step.kind != StepKind::Forward)
            return step;
        ++sent[step.instance->id];
        Outcome outcome;
        outcome.end = balance::AttemptEnd::Answered;
        outcome.status = 200;
        outcome.limit = limit;
        balancer.attemptEnded(ticket, 1, outcome, now + 50ms);
        (void)steps();
        return step;
    }

    double                          limit{1};
    balance::Ticket                 ticket{0};
    std::map<std::string, unsigned> sent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitedRefusalsTest, Fixture)

BOOST_AUTO_TEST_CASE(RequestsBeyondTheLimitsAreRefusedAtOnceAsNotRun)
{
    unsigned refused = 0;
    for (unsigned i = 0; i < 200; ++i)
    {
        const Step step = arrive();
        now += 60ms;
        if (step.kind == StepKind::Forward)
            continue;
        ++refused;
        BOOST_TEST((step.refusal.reason == RefusalReason::AllLimited));
        BOOST_TEST(!step.refusal.mayHaveRun);
        BOOST_TEST(step.refusal.retryAfter >= 50ms);
        BOOST_TEST(step.refusal.retryAfter <= 2s);
    }
    // In 12 s two servers accept one request per second each, and what is admitted before the limits are known.
    BOOST_TEST(refused >= 200U - 2 * 12U - 6U);
    BOOST_TEST(refused <= 200U - 2 * 10U);
    for (const auto& [server, count] : sent)
        BOOST_TEST(count <= 16U, server << " " << count);
}

BOOST_AUTO_TEST_CASE(LimitsAndSentRequestsAreReportedToOtherNodes)
{
    (void)arrive();
    now += 60ms;
    const auto first = balancer.takeLimitNews();
    BOOST_REQUIRE_EQUAL(first.size(), 1U);
    BOOST_TEST(first[0].perSecond == 1.0);
    BOOST_TEST(first[0].sent > 0.8); // A request that was sent before the limit was known
    while (arrive().kind != StepKind::Forward)
        now += 60ms;
    double sent = 0;
    for (const auto& news : balancer.takeLimitNews())
        sent += news.sent;
    BOOST_TEST(sent >= 1.0);
    BOOST_TEST(!balancer.takeLimitChanges().empty());
    BOOST_TEST(!balancer.limits(now).empty());
}

BOOST_AUTO_TEST_CASE(RequestsOfOtherNodesUseUpALimitHereToo)
{
    std::vector<deployment::LimitReport> news;
    for (const deployment::Instance& instance : declared.instances)
        news.push_back({9, deployment::instanceHash(instance), 1, 0ms, 1, -8});
    balancer.receiveLimitNews(news, now);
    BOOST_TEST((arrive().refusal.reason == RefusalReason::AllLimited));
    // Reports about unknown servers are dropped.
    balancer.receiveLimitNews(std::vector<deployment::LimitReport>{{9, 77, 1, 0ms, 1, -8}}, now);
    BOOST_TEST(balancer.limits(now).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

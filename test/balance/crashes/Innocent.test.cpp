// Servers ended under copies of one request that many callers sent at once, and a request of another caller that was at
// three of them was quarantined beside it, for ten minutes: of copies under way together only one counts as evidence, and
// only the servers of counted ends were taken back from other requests once the true one was known. Its third end was
// concluded 88 ms after the true one was known to the fleet.

#include <sailpath/balance/CrashLedger.hpp>
#include <sailpath/core/Random.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::CrashLedger;
using deployment::RequestIdentity;
using deployment::ServerCrash;

constexpr core::Timestamp start{1h};

////////////////////////////////////////////////////////////
RequestIdentity requestOf(const std::string& text, std::uint32_t caller)
{
    const std::array<std::string_view, 1> content{text};
    return {core::contentHash(content), caller};
}

////////////////////////////////////////////////////////////
/// \brief An end as it happened, and when a node hears of it
////////////////////////////////////////////////////////////
struct News
{
    core::Timestamp happened;
    core::Timestamp heard;
    ServerCrash     end;
};

////////////////////////////////////////////////////////////
/// \brief Servers that end under copies of one request from many callers; another request is at three of them in turn
////////////////////////////////////////////////////////////
std::vector<News> draw(core::Random& random)
{
    std::vector<News> all;
    const auto        add = [&](core::Timestamp at, std::uint32_t server, const RequestIdentity& request)
    {
        const auto node = static_cast<std::uint32_t>(1 + random.below(20));
        const auto way = core::fromMilliseconds(10 + 90 * random.unit());
        all.push_back({at, at + way, {node, server, request, core::fromMilliseconds(40 + 60 * random.unit()), {}}});
    };
    core::Timestamp     at = start;
    const std::uint32_t servers = 9;
    for (std::uint32_t server = 1; server <= servers; ++server)
    {
        at += core::fromMilliseconds(100 + 200 * random.unit());
        add(at, server, requestOf("culprit", 100 + server));
        if (server % 3 == 0)
            add(at, server, requestOf("innocent", 7));
        add(at, server, requestOf("other " + std::to_string(server), server));
    }
    std::sort(all.begin(), all.end(), [](const News& left, const News& right) { return left.heard < right.heard; });
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InnocentTest)

BOOST_AUTO_TEST_CASE(WhateverTheOrderOfTheNewsOnlyTheCulpritIsQuarantined)
{
    unsigned innocent = 0;
    unsigned missed = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        core::Random random(seed);
        CrashLedger  ledger;
        const auto   news = draw(random);
        for (const News& one : news)
        {
            ServerCrash end = one.end;
            end.ago = one.heard - one.happened;
            ledger.ended(end, one.heard);
        }
        const core::Timestamp last = news.back().heard;
        innocent += ledger.find(requestOf("innocent", 7), last) != nullptr ? 1 : 0;
        missed += ledger.find(requestOf("culprit", 101), last) == nullptr ? 1 : 0;
    }
    BOOST_TEST(innocent == 0U);
    BOOST_TEST(missed == 0U);
}

BOOST_AUTO_TEST_CASE(AVerdictThatComesBeforeTheTrueOneIsTakenBack)
{
    CrashLedger     ledger;
    core::Timestamp now = start;
    const auto      innocent = requestOf("innocent", 7);
    const auto      culprit = requestOf("culprit", 1);
    const auto      end = [&](std::uint32_t server, const RequestIdentity& request) {
        ledger.ended({3, server, request, 50ms, {}}, now);
    };
    for (std::uint32_t server = 1; server <= 3; ++server)
    {
        end(server, innocent);
        now += 500ms;
    }
    BOOST_TEST(ledger.find(innocent, now) != nullptr);
    BOOST_TEST(ledger.takeConcluded().size() == 1U);
    // News of the culprit at the same servers come late; then it goes on by itself.
    for (std::uint32_t server = 1; server <= 6; ++server)
    {
        end(server, culprit);
        now += 500ms;
    }
    BOOST_TEST(ledger.find(culprit, now) != nullptr);
    BOOST_TEST(ledger.find(innocent, now) == nullptr);
    const auto told = ledger.takeConcluded();
    BOOST_TEST(std::any_of(told.begin(), told.end(),
                           [&](const auto& item) { return item.content == innocent.content && item.until <= now; }));
    // Its copy in the store is believed no more, until it is gone there.
    deployment::Quarantine stored;
    stored.content = innocent.content;
    stored.servers = 3;
    stored.until = now + 10min;
    stored.stored = true;
    ledger.declare(std::vector<deployment::Quarantine>{stored}, now);
    BOOST_TEST(ledger.find(innocent, now) == nullptr);
}

BOOST_AUTO_TEST_CASE(AVerdictOfTheStoreThatRestsOnWhatWasNotSeenHereStays)
{
    CrashLedger            ledger;
    core::Timestamp        now = start;
    const auto             known = requestOf("known", 7);
    const auto             culprit = requestOf("culprit", 1);
    deployment::Quarantine stored;
    stored.content = known.content;
    stored.servers = 3;
    stored.until = now + 10min;
    stored.stored = true;
    ledger.declare(std::vector<deployment::Quarantine>{stored}, now);
    ledger.ended({3, 1, known, 50ms, {}}, now);
    for (std::uint32_t server = 1; server <= 6; ++server)
    {
        ledger.ended({3, server, culprit, 50ms, {}}, now);
        now += 500ms;
    }
    BOOST_TEST(ledger.find(culprit, now) != nullptr);
    BOOST_TEST(ledger.find(known, now) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

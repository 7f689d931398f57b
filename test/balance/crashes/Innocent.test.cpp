// Guards against the quarantine of a harmless request for ten minutes. Many callers send copies of a request that ends
// servers; another caller's request is at three of these servers. Of copies under way together only one end counts as
// evidence. If, once the culprit is known, only the servers of its counted ends are removed from the evidence against
// other requests, the harmless request can still reach three ends, as once 88 ms after the fleet knew the culprit.

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
/// \brief A server's end, and when the report of it arrives
////////////////////////////////////////////////////////////
struct Report
{
    core::Timestamp endedAt;
    core::Timestamp arrivedAt;
    ServerCrash     end;
};

////////////////////////////////////////////////////////////
/// \brief Draw reports of servers that end under copies of one request from many callers
///
/// Another request is at each third server.
////////////////////////////////////////////////////////////
std::vector<Report> drawReports(core::Random& random)
{
    std::vector<Report> all;
    const auto          add = [&](core::Timestamp at, std::uint32_t server, const RequestIdentity& request)
    {
        const auto node = static_cast<std::uint32_t>(1 + random.below(20));
        const auto delay = core::fromMilliseconds(10 + 90 * random.unit());
        all.push_back({at, at + delay, {node, server, request, core::fromMilliseconds(40 + 60 * random.unit()), {}}});
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
    std::sort(all.begin(), all.end(),
              [](const Report& left, const Report& right) { return left.arrivedAt < right.arrivedAt; });
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InnocentTest)

BOOST_AUTO_TEST_CASE(OnlyTheCulpritIsQuarantinedForAnyOrderOfReports)
{
    unsigned innocent = 0;
    unsigned missed = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        core::Random random(seed);
        CrashLedger  ledger;
        const auto   reports = drawReports(random);
        for (const Report& report : reports)
        {
            ServerCrash end = report.end;
            end.ago = report.arrivedAt - report.endedAt;
            ledger.recordEnd(end, report.arrivedAt);
        }
        const core::Timestamp last = reports.back().arrivedAt;
        innocent += ledger.findQuarantine(requestOf("innocent", 7), last) != nullptr ? 1 : 0;
        missed += ledger.findQuarantine(requestOf("culprit", 101), last) == nullptr ? 1 : 0;
    }
    BOOST_TEST(innocent == 0U);
    BOOST_TEST(missed == 0U);
}

BOOST_AUTO_TEST_CASE(WrongQuarantineIsWithdrawnOnceTheCulpritIsKnown)
{
    CrashLedger     ledger;
    core::Timestamp now = start;
    const auto      innocent = requestOf("innocent", 7);
    const auto      culprit = requestOf("culprit", 1);
    const auto      end = [&](std::uint32_t server, const RequestIdentity& request) {
        ledger.recordEnd({3, server, request, 50ms, {}}, now);
    };
    for (std::uint32_t server = 1; server <= 3; ++server)
    {
        end(server, innocent);
        now += 500ms;
    }
    BOOST_TEST(ledger.findQuarantine(innocent, now) != nullptr);
    BOOST_TEST(ledger.takeChanged().size() == 1U);
    // Reports of the culprit at the same three servers arrive late; it then ends three more servers.
    for (std::uint32_t server = 1; server <= 6; ++server)
    {
        end(server, culprit);
        now += 500ms;
    }
    BOOST_TEST(ledger.findQuarantine(culprit, now) != nullptr);
    BOOST_TEST(ledger.findQuarantine(innocent, now) == nullptr);
    const auto changed = ledger.takeChanged();
    BOOST_TEST(std::any_of(changed.begin(), changed.end(),
                           [&](const auto& item) { return item.content == innocent.content && item.until <= now; }));
    // The withdrawn quarantine's copy in the store is ignored until it is removed there.
    deployment::Quarantine stored;
    stored.content = innocent.content;
    stored.servers = 3;
    stored.until = now + 10min;
    stored.stored = true;
    ledger.applyStored(std::vector<deployment::Quarantine>{stored}, now);
    BOOST_TEST(ledger.findQuarantine(innocent, now) == nullptr);
}

BOOST_AUTO_TEST_CASE(StoredQuarantineWithEndsUnknownHereIsKept)
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
    ledger.applyStored(std::vector<deployment::Quarantine>{stored}, now);
    ledger.recordEnd({3, 1, known, 50ms, {}}, now);
    for (std::uint32_t server = 1; server <= 6; ++server)
    {
        ledger.recordEnd({3, server, culprit, 50ms, {}}, now);
        now += 500ms;
    }
    BOOST_TEST(ledger.findQuarantine(culprit, now) != nullptr);
    BOOST_TEST(ledger.findQuarantine(known, now) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

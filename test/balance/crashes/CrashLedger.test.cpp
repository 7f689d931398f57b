#include <sailpath/balance/CrashLedger.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::CrashLedger;
using deployment::RequestIdentity;
using deployment::ServerCrash;

////////////////////////////////////////////////////////////
RequestIdentity requestOf(const std::string& text, std::uint32_t caller = 1)
{
    const std::array<std::string_view, 1> content{text};
    return {core::contentHash(content), caller};
}

////////////////////////////////////////////////////////////
struct Fixture
{
    /// \brief Record a server's end under a request that ran for 80 ms
    void end(std::uint32_t server, const RequestIdentity& request, std::uint32_t node = 0)
    {
        ledger.recordEnd({node, server, request, 80ms, 1ms}, now);
    }

    void endInTurn(std::uint32_t first, std::uint32_t last, const RequestIdentity& request)
    {
        for (std::uint32_t server = first; server <= last; ++server)
        {
            end(server, request);
            now += 500ms;
        }
    }

    [[nodiscard]] bool isQuarantined(const RequestIdentity& request) const
    {
        return ledger.findQuarantine(request, now) != nullptr;
    }

    CrashLedger           ledger;
    core::Timestamp       now{1h};
    const RequestIdentity culprit{requestOf("culprit")};
    const RequestIdentity other{requestOf("other", 2)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(RequestIsQuarantinedAfterThreeServersEndedOneAfterTheOther)
{
    endInTurn(1, 2, culprit);
    BOOST_TEST(!isQuarantined(culprit));
    end(3, culprit);
    BOOST_TEST(isQuarantined(culprit));
    const auto changed = ledger.takeChanged();
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(changed[0].source == "here");
    BOOST_TEST(changed[0].servers == 3U);
    BOOST_TEST(ledger.takeChanged().empty());
}

BOOST_AUTO_TEST_CASE(RepeatedAndSimultaneousEndsCountOnce)
{
    for (int i = 0; i < 5; ++i)
        end(1, culprit);
    for (std::uint32_t server = 2; server < 9; ++server)
        end(server, culprit);
    BOOST_TEST(!isQuarantined(culprit));
}

BOOST_AUTO_TEST_CASE(PopularRequestOfManyCallersIsNotQuarantinedWhenServersEndTogether)
{
    for (std::uint32_t server = 1; server < 30; ++server)
    {
        ledger.recordEnd({server % 5, server, requestOf("popular", server), 60ms, core::Duration(server * 2ms)}, now);
        now += 10ms;
    }
    BOOST_TEST(!isQuarantined(requestOf("popular", 3)));
}

BOOST_AUTO_TEST_CASE(AnswerClearsTheRequest)
{
    endInTurn(1, 2, culprit);
    ledger.recordServed(culprit.content);
    endInTurn(3, 4, culprit);
    BOOST_TEST(!isQuarantined(culprit));
    BOOST_TEST(ledger.countEnds(culprit.content, now) == 2U);
}

BOOST_AUTO_TEST_CASE(EndUnderAQuarantinedRequestCountsAgainstNoOther)
{
    end(1, other);
    endInTurn(1, 3, culprit);
    BOOST_TEST(isQuarantined(culprit));
    end(3, other);
    end(4, other);
    BOOST_TEST(!isQuarantined(other));
    BOOST_TEST(ledger.countEnds(other.content, now) == 1U);
}

BOOST_AUTO_TEST_CASE(FourthEndDistinguishesTwoRequestsThatWereAtTheSameServers)
{
    for (std::uint32_t server = 1; server <= 3; ++server)
    {
        end(server, other);
        end(server, culprit);
        now += 500ms;
    }
    end(4, culprit);
    BOOST_TEST(isQuarantined(culprit));
    now += 500ms;
    end(5, other);
    BOOST_TEST(!isQuarantined(other));
}

BOOST_AUTO_TEST_CASE(QuarantineHoldsForOneCallerUntilAServerEndsUnderAnother)
{
    endInTurn(1, 3, culprit);
    const RequestIdentity elsewhere{culprit.content, 9};
    BOOST_TEST(!isQuarantined(elsewhere));
    (void)ledger.takeChanged();
    end(4, elsewhere);
    BOOST_TEST(isQuarantined(elsewhere));
    BOOST_TEST(isQuarantined(requestOf("culprit", 77)));
    BOOST_TEST(ledger.takeChanged().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnswerOfAServerRefutesItsReportedEnd)
{
    // Node 8 reports ends that did not happen.
    for (std::uint32_t server = 1; server <= 6; ++server)
    {
        end(server, other, 8);
        now += 200ms;
        ledger.recordContact(server, now);
        now += 300ms;
    }
    BOOST_TEST(!isQuarantined(other));
}

BOOST_AUTO_TEST_CASE(QuarantineExpiresAndIsLiftedWithItsEntryInTheStore)
{
    endInTurn(1, 3, culprit);
    now += 10min;
    BOOST_TEST(!isQuarantined(culprit));
    endInTurn(4, 6, culprit);
    auto stored = ledger.takeChanged().back();
    stored.stored = true;
    ledger.applyStored(std::vector{stored}, now);
    BOOST_TEST(isQuarantined(culprit));
    ledger.applyStored({}, now);
    BOOST_TEST(!isQuarantined(culprit));
    BOOST_TEST(ledger.empty());
}

BOOST_AUTO_TEST_CASE(QuarantineExpiresInTimeForASuspendedNode)
{
    for (const core::Duration gap : {core::Duration(1s), core::Duration(5s), core::Duration(60s)})
    {
        CrashLedger           fresh;
        const core::Timestamp begin{2h};
        for (std::uint32_t server = 1; server <= 3; ++server)
            fresh.recordEnd({0, server, culprit, 80ms, 1ms}, begin + server * 500ms);
        const auto* known = fresh.findQuarantine(culprit, begin + 2s + gap);
        BOOST_REQUIRE(known != nullptr);
        BOOST_TEST((known->until - (begin + 2s + gap) < 10min - gap));
        BOOST_TEST(fresh.findQuarantine(culprit, begin + 2s + 10min) == nullptr);
    }
}

BOOST_AUTO_TEST_CASE(CallerOfManyNewRequestsEvictsOnlyEvidenceAgainstItsOwn)
{
    endInTurn(1, 2, other);
    for (int i = 0; i < 5000; ++i)
    {
        end(static_cast<std::uint32_t>(100 + i), requestOf("new " + std::to_string(i), 66));
        now += 1ms;
    }
    BOOST_TEST(ledger.countEnds(other.content, now) == 2U);
    end(3, other);
    BOOST_TEST(isQuarantined(other));
}

BOOST_AUTO_TEST_SUITE_END()

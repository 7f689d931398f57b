#include <sailpath/fleet/QuarantineKeeper.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using deployment::Quarantine;
using fleet::Moment;
using fleet::QuarantineKeeper;
using replication::Item;
using replication::WriteStatus;

constexpr std::int64_t noon = 1'785'542'400'000;

////////////////////////////////////////////////////////////
Moment at(core::Duration time)
{
    return {core::Timestamp{1h} + time, noon + std::chrono::duration_cast<std::chrono::milliseconds>(time).count()};
}

////////////////////////////////////////////////////////////
Quarantine concludedBy(const std::string& source, std::optional<std::uint32_t> caller = 7)
{
    const std::array<std::string_view, 1> content{"culprit"};
    Quarantine                            quarantine;
    quarantine.content = core::contentHash(content);
    quarantine.caller = caller;
    quarantine.servers = 3;
    quarantine.since = at(0s).now;
    quarantine.until = at(10min).now;
    quarantine.source = source;
    return quarantine;
}

////////////////////////////////////////////////////////////
/// \brief Get the first write within a time, polling every 10 ms; null when none is due
////////////////////////////////////////////////////////////
std::optional<Item> firstWrite(QuarantineKeeper& keeper, core::Duration within)
{
    for (core::Duration time{}; time <= within; time += 10ms)
    {
        if (auto item = keeper.nextWrite(at(time)))
            return item;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineKeeperTest)

BOOST_AUTO_TEST_CASE(AWithdrawnQuarantineIsNotWrittenAndIsRemovedFromTheStore)
{
    Quarantine       wrong = concludedBy("here");
    QuarantineKeeper unwritten("first", 1);
    unwritten.addConclusion(wrong, at(0s));
    wrong.until = at(1ms).now;
    unwritten.addConclusion(wrong, at(1ms));
    BOOST_TEST(!firstWrite(unwritten, 10s));

    QuarantineKeeper writer("first", 1);
    writer.addConclusion(concludedBy("here"), at(0s));
    Item item = *firstWrite(writer, 10ms);
    writer.finishWrite(WriteStatus::Done);
    item.revision = 7;
    BOOST_TEST(writer.applyEntry(item, at(20ms)));
    writer.addConclusion(wrong, at(30ms));
    const auto removal = firstWrite(writer, 3s);
    BOOST_REQUIRE(removal);
    BOOST_TEST(removal->gone);
    BOOST_TEST(removal->key == item.key);
}

BOOST_AUTO_TEST_CASE(TheNodeThatSawTheLastEndWritesAtOnceAndTheOthersOnlyIfItDoesNot)
{
    QuarantineKeeper first("first", 1);
    QuarantineKeeper second("second", 2);
    first.addConclusion(concludedBy("here"), at(0s));
    second.addConclusion(concludedBy("peers"), at(0s));
    auto item = first.nextWrite(at(0s));
    BOOST_REQUIRE(item);
    BOOST_TEST(item->revision == 0U);
    BOOST_TEST(!second.nextWrite(at(1s)));
    item->revision = 40;
    BOOST_TEST(second.applyEntry(*item, at(100ms)));
    BOOST_TEST(!firstWrite(second, 1min));
    BOOST_REQUIRE_EQUAL(second.list().size(), 1U);
    BOOST_TEST(second.list()[0].stored);
    BOOST_TEST(second.list()[0].source == "first");
    BOOST_TEST((second.list()[0].caller == std::optional<std::uint32_t>(7)));
    BOOST_TEST((second.list()[0].until == at(10min).now));
}

BOOST_AUTO_TEST_CASE(AWriteIsRepeatedUntilTheStoreHasTheEntry)
{
    QuarantineKeeper keeper("node", 1);
    keeper.addConclusion(concludedBy("here"), at(0s));
    BOOST_REQUIRE(keeper.nextWrite(at(0s)));
    BOOST_TEST(!keeper.nextWrite(at(5s)));
    keeper.finishWrite(WriteStatus::Unknown);
    const auto again = firstWrite(keeper, 2s);
    BOOST_REQUIRE(again);
    keeper.finishWrite(WriteStatus::Done);
    auto item = *again;
    item.revision = 41;
    BOOST_TEST(keeper.applyEntry(item, at(2s)));
    BOOST_TEST(!firstWrite(keeper, 1min));
}

BOOST_AUTO_TEST_CASE(AWiderQuarantineReplacesTheEntry)
{
    QuarantineKeeper keeper("node", 1);
    keeper.addConclusion(concludedBy("here"), at(0s));
    auto item = *keeper.nextWrite(at(0s));
    keeper.finishWrite(WriteStatus::Done);
    item.revision = 42;
    (void)keeper.applyEntry(item, at(0s));
    keeper.addConclusion(concludedBy("here", std::nullopt), at(1s));
    const auto wider = keeper.nextWrite(at(1s));
    BOOST_REQUIRE(wider);
    BOOST_TEST(wider->revision == 42U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatOperatorsRemoveIsNotWrittenAgain)
{
    QuarantineKeeper keeper("node", 1);
    keeper.addConclusion(concludedBy("here"), at(0s));
    auto item = *keeper.nextWrite(at(0s));
    keeper.finishWrite(WriteStatus::Done);
    item.revision = 43;
    (void)keeper.applyEntry(item, at(0s));
    item.gone = true;
    item.revision = 44;
    BOOST_TEST(keeper.applyEntry(item, at(1s)));
    BOOST_TEST(keeper.list().empty());
    BOOST_TEST(!firstWrite(keeper, 1min));
}

BOOST_AUTO_TEST_CASE(AnExpiredEntryIsRemoved)
{
    QuarantineKeeper keeper("node", 1);
    keeper.addConclusion(concludedBy("here"), at(0s));
    auto item = *keeper.nextWrite(at(0s));
    keeper.finishWrite(WriteStatus::Done);
    item.revision = 45;
    (void)keeper.applyEntry(item, at(0s));
    BOOST_TEST(!keeper.nextWrite(at(10min)));
    const auto removal = keeper.nextWrite(at(10min + 66s));
    BOOST_REQUIRE(removal);
    BOOST_TEST(removal->gone);
    BOOST_TEST(removal->revision == 45U);
}

BOOST_AUTO_TEST_CASE(UnreadableEntriesOfOtherWritersAreIgnored)
{
    QuarantineKeeper  keeper("node", 1);
    const std::string key = "sailpath/quarantine/" + concludedBy("here").content.text();
    for (const char* value :
         {"", "caller=x servers=3 untilMs=1 by=n", "caller=7 servers=-1 untilMs=5", "caller=7 servers=3",
          "caller=7 servers=3 untilMs=99999999999999999999999", "{\"caller\":7}"})
        BOOST_TEST(!keeper.applyEntry({key, value, 5, false}, at(0s)), value);
    BOOST_TEST(!keeper.applyEntry({key, std::string(100'000, 'x'), 5, false}, at(0s)));
    BOOST_TEST(!keeper.applyEntry({"sailpath/quarantine/none", "caller=7 servers=3 untilMs=5 by=n", 5, false}, at(0s)));
    BOOST_TEST(keeper.list().empty());
    // An entry of another writer lasts no longer than this node's own, however late its end is.
    BOOST_TEST(keeper.applyEntry({key, "caller=7 servers=3 untilMs=9000000000000000000 by=n", 5, false}, at(0s)));
    BOOST_TEST((keeper.list()[0].until <= at(10min).now));
}

BOOST_AUTO_TEST_SUITE_END()

#include "StoreStandIn.hpp"

#include <support/DeclaredState.hpp>

#include <platform/JsonTranslator.hpp>
#include <platform/KvSource.hpp>
#include <platform/Names.hpp>

#include <sailpath/core/Random.hpp>
#include <sailpath/fleet/FleetThread.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <optional>
#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using replication::ReadResult;
using replication::ReadStatus;
using standins::StoreFault;
using standins::StoreStandIn;

constexpr std::string_view configuration = R"({"Version":7,"Other":{"x":1},
 "Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutS":0.8,"TargetLatencyS":0.2,
            "Priority":2,"Split":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":2,"New":[]},
           {"Name":"r2","Host":"b.example","PathPrefix":"/y/","RouteType":"unsafe","TimeoutS":1,"Service":"s1","MaxAttempts":1}],
 "Services":[{"Name":"s1","HealthPath":"/health","MaxConns":220,"Protocol":"h1"},{"Name":"s2"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}})";

////////////////////////////////////////////////////////////
class NullLog : public ports::EventLog
{
public:
    [[nodiscard]] bool writes(ports::Level) const override
    {
        return false;
    }

    void write(ports::Level, std::string_view, std::initializer_list<ports::Field>) override
    {
    }
};

////////////////////////////////////////////////////////////
/// \brief Makes calls to a store stand-in with pages of 3 items, and runs the event loop until each result
////////////////////////////////////////////////////////////
struct SourceFixture
{
    ReadResult read(replication::ReadMode how = replication::ReadMode::Latest)
    {
        return run([this, how](auto answered) { source.read(how, answered); });
    }

    ReadResult watch(std::uint64_t after, core::Duration wait)
    {
        return run([&](auto answered) { source.watch(after, wait, answered); });
    }

    template <typename Call>
    ReadResult run(Call call)
    {
        std::optional<ReadResult> result;
        call([&](ReadResult answer) { result = std::move(answer); });
        context.restart();
        while (!result && context.run_one() > 0)
        {
        }
        BOOST_REQUIRE(result);
        return *result;
    }

    StoreStandIn       store{3};
    asio::io_context   context;
    platform::KvSource source{context, {"127.0.0.1", store.port()}};
};

////////////////////////////////////////////////////////////
/// \brief Returns a server's entry with all required fields
///
/// \param more Further fields in JSON, each with a leading comma
////////////////////////////////////////////////////////////
std::string serverEntry(const std::string& address, const std::string& state, int sequence,
                        const std::string& more = {})
{
    return R"({"Service":"s1","Address":")" + address +
           R"(","Zone":"z","Version":"v1","Slots":3,"WarmupLeftS":0,"State":")" + state + R"(","Seq":)" +
           std::to_string(sequence) + more + "}";
}

////////////////////////////////////////////////////////////
/// \brief Runs a fleet thread on a store stand-in and records the declared states that the thread publishes
////////////////////////////////////////////////////////////
struct FleetFixture
{
    static std::string entry(const std::string& state, int sequence)
    {
        return serverEntry("10.1.2.3:80", state, sequence);
    }

    static fleet::FleetSettings fleetSettings()
    {
        fleet::FleetSettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.replica.self = {"127.0.0.1:1", "dc", 0, 0};
        settings.replica.watchTimeout = 100ms;
        settings.retention = {200ms, 300ms, 300ms};
        return settings;
    }

    /// \brief Waits at most 10 s until the last published state meets a condition
    bool waitUntil(const std::function<bool(const deployment::DeclaredState&)>& condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, 10s, [&] { return condition(last); });
    }

    /// \brief Returns whether a declared state has an instance that is not draining
    static bool isAvailable(const deployment::DeclaredState& declared, const std::string& id)
    {
        return std::any_of(declared.instances.begin(), declared.instances.end(),
                           [&](const deployment::Instance& instance)
                           { return instance.id == id && !instance.draining; });
    }

    StoreStandIn                           store;
    platform::JsonTranslator               translator;
    NullLog                                log;
    std::mutex                             mutex;
    deployment::DeclaredState              last;
    std::vector<deployment::DeclaredState> published;
    std::condition_variable                changed;
    fleet::FleetThread                     thread{
        fleetSettings(),
        [this](asio::io_context& loop) {
            return std::make_unique<platform::KvSource>(loop, adapters::settings::Endpoint{"127.0.0.1", store.port()});
        },
        translator,
        [this](const deployment::DeclaredState& declared)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            last = support::merged(last, declared);
            published.push_back(last);
            changed.notify_all();
        },
        log};
};

} // namespace

BOOST_AUTO_TEST_SUITE(JsonTranslatorTest)

BOOST_AUTO_TEST_CASE(AConfigurationIsReadAndUnknownFieldsAreSkipped)
{
    core::Findings findings;
    const auto     read = platform::JsonTranslator().deployment(configuration, findings);
    BOOST_REQUIRE_MESSAGE(read, findings.text());
    BOOST_TEST(read->version == 7U);
    BOOST_REQUIRE_EQUAL(read->routes.size(), 2U);
    BOOST_TEST(read->routes[0].repeatable);
    BOOST_TEST((read->routes[0].timeout == 800ms));
    BOOST_TEST((read->routes[0].targetLatency == 200ms));
    BOOST_TEST(read->routes[0].parts.size() == 2U);
    BOOST_TEST(!read->routes[1].repeatable);
    BOOST_TEST((read->routes[1].targetLatency == 1s));
    BOOST_TEST(read->services[0].connections == 220U);
    BOOST_TEST((read->limits.idleTime == 15s));
}

BOOST_AUTO_TEST_CASE(EachInvalidFieldIsReportedWithItsPath)
{
    std::string bad(configuration);
    bad.replace(bad.find("\"safe\""), 6, "false");
    bad.replace(bad.find("\"/y/\""), 5, "\"/y\"");
    bad.replace(bad.find("\"MaxAttempts\":1"), 15, "\"MaxAttempts\":0");
    bad.replace(bad.find("{\"Name\":\"s2\"}"), 13, "{\"Name\":\"s3\"}");
    core::Findings findings;
    BOOST_TEST(!platform::JsonTranslator().deployment(bad, findings));
    const std::string text = findings.text();
    for (const char* place :
         {"Routes[0].RouteType", "Routes[1].PathPrefix", "Routes[1].MaxAttempts", "unknown service s2"})
        BOOST_TEST(text.find(place) != std::string::npos, place);
}

BOOST_AUTO_TEST_CASE(AnUnknownRouteTypeIsNotRepeatableAndRejectsNoRoute)
{
    for (const auto& [kind, repeatable, known] : {std::tuple("download", true, true), std::tuple("upload", false, true),
                                                  std::tuple("some-new-kind", false, false)})
    {
        std::string text(configuration);
        text.replace(text.find("\"safe\""), 6, std::string("\"") + kind + "\"");
        core::Findings findings;
        const auto     read = platform::JsonTranslator().deployment(text, findings);
        BOOST_REQUIRE_MESSAGE(read, findings.text());
        BOOST_REQUIRE_EQUAL(read->routes.size(), 2U);
        BOOST_TEST(read->routes[0].repeatable == repeatable);
        BOOST_TEST(read->unknownKeywords.empty() == known);
    }
}

BOOST_AUTO_TEST_CASE(WorkspacesAreReadWithTheirKeysAndQuotas)
{
    const auto withTenants = [](std::string_view tenants)
    {
        std::string text(configuration);
        text.insert(text.rfind('}'), ",\"Tenants\":" + std::string(tenants));
        return text.replace(text.find("\"New\":[]"), 8, "\"Anonymous\":true");
    };
    core::Findings findings;
    const auto     read = platform::JsonTranslator().deployment(
            withTenants(R"([{"Name":"t1","ApiKeys":["a","b"],"Priority":1,"RatePerS":327,"Burst":12.5},
                        {"Name":"t2","ApiKeys":[]}])"),
            findings);
    BOOST_REQUIRE_MESSAGE(read, findings.text());
    BOOST_REQUIRE_EQUAL(read->workspaces.size(), 2U);
    BOOST_TEST(read->workspaces[0].keys.size() == 2U);
    BOOST_TEST(read->workspaces[0].priority.value() == 1U);
    BOOST_TEST(read->workspaces[0].requestsPerSecond == 327);
    BOOST_TEST(read->workspaces[0].burst == 12.5);
    BOOST_TEST(!read->workspaces[1].priority);
    BOOST_TEST(read->workspaces[1].requestsPerSecond == 0);
    BOOST_TEST(read->routes[0].anonymous);
    BOOST_TEST(!read->routes[1].anonymous);
    for (const char* bad :
         {R"([{"Name":"t1","ApiKeys":["a"]},{"Name":"t2","ApiKeys":["a"]}])", R"([{"Name":"t\r\n1","ApiKeys":[]}])",
          R"([{"Name":"t1","ApiKeys":[5]}])", R"([{"Name":"t1"}])", R"([{"Name":"t1","ApiKeys":[],"RatePerS":-1}])"})
    {
        core::Findings wrong;
        BOOST_TEST(!platform::JsonTranslator().deployment(withTenants(bad), wrong), bad);
        BOOST_TEST(wrong.text().find("Tenants") != std::string::npos, bad);
    }
}

BOOST_AUTO_TEST_CASE(ATruncatedConfigurationIsRejected)
{
    for (std::size_t size = 0; size < configuration.size() - 1; size += 7)
    {
        core::Findings findings;
        BOOST_TEST(!platform::JsonTranslator().deployment(configuration.substr(0, size), findings));
        BOOST_TEST(!findings.empty());
    }
}

BOOST_AUTO_TEST_CASE(AConfigurationWithNullMissingOrUnknownFieldsIsAccepted)
{
    const auto replaced = [](std::string_view from, std::string_view to)
    {
        std::string text(configuration);
        const auto  at = text.find(from);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    };
    for (const std::string& text :
         {replaced("\"Weight\":90", "\"Weight\":0"), replaced("\"Weight\":90", "\"Weight\":0.25"),
          replaced("\"Weight\":90", "\"Weight\":1e12"), replaced("\"Priority\":2", "\"Priority\":null"),
          replaced("\"Priority\":2", "\"Priority\":2.0"), replaced("\"Version\":7", "\"Version\":900000000000000"),
          replaced("\"TargetLatencyS\":0.2", "\"TargetLatencyS\":null"),
          replaced("\"TimeoutS\":0.8", "\"TimeoutS\":3600"), replaced("\"MaxConns\":220", "\"MaxConns\":null"),
          replaced("\"HealthPath\":\"/health\"", "\"HealthPath\":null"),
          replaced("\"TimeoutS\":1,\"Service\"", "\"TimeoutS\":1,\"Split\":null,\"Service\""),
          replaced("\"PathPrefix\":\"/y/\"", "\"PathPrefix\":\"/\""), replaced("\"MaxHeaderBytes\":16384,", ""),
          replaced("\"Limits\":{", "\"Limits\":{\"MaxTrailers\":[],")})
    {
        core::Findings findings;
        BOOST_TEST(platform::JsonTranslator().deployment(text, findings).has_value(), findings.text());
    }
}

BOOST_AUTO_TEST_CASE(ValuesAboveTheLimitsAreAccepted)
{
    for (const auto& [from, to] :
         {std::pair("\"Priority\":2", "\"Priority\":5000"), std::pair("\"MaxAttempts\":2", "\"MaxAttempts\":1000"),
          std::pair("\"TimeoutS\":0.8", "\"TimeoutS\":100000"),
          std::pair("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":604800"),
          std::pair("\"MaxConns\":220", "\"MaxConns\":10000000"),
          std::pair("\"MaxHeaderBytes\":16384", "\"MaxHeaderBytes\":1000000000")})
    {
        std::string text(configuration);
        text.replace(text.find(from), std::string_view(from).size(), to);
        core::Findings findings;
        BOOST_TEST(platform::JsonTranslator().deployment(text, findings).has_value(), to);
    }
}

BOOST_AUTO_TEST_CASE(AnAnnouncementIsRead)
{
    constexpr std::string_view value =
        R"({"Service":"s1","Address":"10.1.2.3:80","Zone":"z","Version":"v1","Slots":3,"State":"draining","WarmupLeftS":1.5,"Seq":4})";
    core::Findings findings;
    const auto     read = platform::JsonTranslator().announcement("servers/i-1", value, findings);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->instance.id == "i-1");
    BOOST_TEST(read->instance.port == 80);
    BOOST_TEST(read->instance.draining);
    BOOST_TEST((read->instance.warmUp == 1500ms));
    BOOST_TEST(read->sequence == 4U);
    BOOST_TEST(
        !platform::JsonTranslator().announcement("servers/i-1", R"({"Service":"s1","Address":"nowhere"})", findings));
    BOOST_TEST(!findings.empty());
}

BOOST_AUTO_TEST_CASE(EveryFieldOfAnEntryIsRead)
{
    constexpr std::string_view value =
        R"({"Service":"s1","Address":"10.1.2.3:8080","Zone":"z-1","Version":"2.4.1","Slots":7,"State":"ready","WarmupLeftS":0,"Seq":12,"New":{"x":[1]}})";
    core::Findings findings;
    const auto     read = platform::JsonTranslator().announcement("servers/i-1", value, findings);
    BOOST_REQUIRE_MESSAGE(read, findings.text());
    BOOST_TEST(read->instance.service == "s1");
    BOOST_TEST(read->instance.address == "10.1.2.3");
    BOOST_TEST(read->instance.port == 8080);
    BOOST_TEST(read->instance.dataCentre == "z-1");
    BOOST_TEST(read->instance.slots == 7U);
    BOOST_TEST(!read->instance.draining);
    BOOST_TEST((read->instance.warmUp == 0ms));
    BOOST_TEST(read->sequence == 12U);
}

BOOST_AUTO_TEST_CASE(TheStartTimeOfAServerIsRead)
{
    core::Findings findings;
    const auto     read = platform::JsonTranslator().announcement(
            "servers/i-1", serverEntry("10.1.2.3:80", "ready", 1, R"(,"born":1785542400123)"), findings);
    BOOST_REQUIRE_MESSAGE(read, findings.text());
    BOOST_TEST(read->instance.born == 1785542400123U);
}

BOOST_AUTO_TEST_CASE(InvalidEntriesAreRejected)
{
    const std::string validEntry = serverEntry("10.1.2.3:80", "ready", 1, R"(,"born":5)");
    const auto        withReplaced = [&validEntry](const std::string& from, const std::string& to)
    {
        std::string text = validEntry;
        return text.replace(text.find(from), from.size(), to);
    };
    const auto isAccepted = [](const std::string& key, const std::string& value)
    {
        core::Findings findings;
        const bool     read = platform::JsonTranslator().announcement(key, value, findings).has_value();
        BOOST_TEST(read == findings.empty());
        return read;
    };
    BOOST_TEST(isAccepted("servers/i-1", validEntry));
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{R"("Service":"s1",)", ""},
                                                          {R"("s1")", "7"},
                                                          {R"("10.1.2.3:80")", R"("nowhere:80")"},
                                                          {R"("Zone":"z",)", ""},
                                                          {R"("Version":"v1",)", ""},
                                                          {R"("Slots":3)", R"("Slots":"3")"},
                                                          {R"("Slots":3)", R"("Slots":-1)"},
                                                          {R"("Slots":3)", R"("Slots":0)"},
                                                          {R"("Slots":3)", R"("Slots":2.5)"},
                                                          {R"("Seq":1)", R"("Seq":1.5)"},
                                                          {R"("born":5)", R"("born":null)"},
                                                          {R"("born":5)", R"("born":5.5)"},
                                                          {R"("born":5)", R"("born":-5)"},
                                                          {R"("ready")", R"("resting")"},
                                                          {R"("State":"ready",)", ""},
                                                          {R"("WarmupLeftS":0,)", ""},
                                                          {R"("Seq":1)", R"("Seq":{"x":1})"},
                                                          {R"("Seq":1,)", ""},
                                                          {R"("born":5)", R"("born":"5")"},
                                                          {R"("born":5)", R"("born":[5])"}})
    {
        BOOST_TEST_CONTEXT(from << " -> " << to)
        BOOST_TEST(!isAccepted("servers/i-1", withReplaced(from, to)));
    }
    for (const std::string& value : {std::string(), std::string("\xff\xfe\x00", 3), std::string("[]"), std::string("7"),
                                     std::string(100'000, '['), R"({"Service":")" + std::string(100'000, 'x') + "\"}"})
        BOOST_TEST(!isAccepted("servers/i-1", value));
    for (const char* key : {"servers/", "servers/a/b", "servers/i 1", "servers/i\r\nX: 1"})
        BOOST_TEST(!isAccepted(key, validEntry), key);
}

BOOST_AUTO_TEST_CASE(MutatedDocumentsAreReadOrRejected)
{
    // Mutates valid documents: replaces, removes, duplicates and inserts bytes. An exception from the translator would
    // end the gateway's process.
    core::Random                     random(20261203);
    const platform::JsonTranslator   translator;
    const std::array<std::string, 2> documents{serverEntry("10.1.2.3:80", "ready", 1, R"(,"born":5)"),
                                               std::string(configuration)};
    constexpr int                    rounds = 20'000;
    std::size_t                      read = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::string text = documents.at(static_cast<std::size_t>(round % 2));
        for (std::size_t change = 0; change <= random.below(4); ++change)
        {
            const std::size_t at = random.below(text.size());
            const std::size_t count = 1 + random.below(12);
            switch (random.below(4))
            {
            case 0:
                text[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                text.erase(at, count);
                break;
            case 2:
                text.insert(at, text.substr(at, count));
                break;
            default:
                text.insert(at,
                            std::array<const char*, 4>{"null", "[[[[", "-1e400", "\"\\u0000\""}.at(random.below(4)));
            }
        }
        core::Findings findings;
        const bool     accepted = round % 2 == 0 ? translator.announcement("servers/i-1", text, findings).has_value()
                                                 : translator.deployment(text, findings).has_value();
        BOOST_REQUIRE(accepted == findings.empty());
        read += accepted ? 1 : 0;
    }
    BOOST_TEST(read > 0U);
    BOOST_TEST(read < static_cast<std::size_t>(rounds));
}

BOOST_AUTO_TEST_CASE(TheWarmUpOfAServiceIsRead)
{
    std::string text(configuration);
    text.replace(text.find("\"MaxConns\":220"), 14, "\"MaxConns\":220,\"WarmupS\":3.0,\"WarmupPerS\":2.5");
    core::Findings findings;
    const auto     read = platform::JsonTranslator().deployment(text, findings);
    BOOST_REQUIRE_MESSAGE(read, findings.text());
    BOOST_TEST((read->services[0].warmUp == 3s));
    BOOST_TEST(read->services[0].warmUpRate == 2.5);
    BOOST_TEST(read->services[1].warmUpRate == 0);
    text.replace(text.find("\"WarmupPerS\":2.5"), 16, "\"WarmupPerS\":\"x\"");
    BOOST_TEST(!platform::JsonTranslator().deployment(text, findings));
    BOOST_TEST(findings.text().find("Services[0].WarmupPerS") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnEvacuationIsReadFromItsKey)
{
    const platform::JsonTranslator translator;
    BOOST_TEST(translator.evacuatedDataCentre("op/evacuate/dc-1") == "dc-1");
    for (const char* other : {"op/evacuate/", "op/config", "servers/op/evacuate/dc-1"})
        BOOST_TEST(translator.evacuatedDataCentre(other).empty(), other);
}

BOOST_AUTO_TEST_CASE(LoadReportsHaveThreeOrFourNumbers)
{
    const auto parse = platform::dialect().parseLoad;
    BOOST_TEST(parse("3,1,8")->waiting == 1U);
    BOOST_TEST(parse("3,1,8")->slowdown == 1.0);
    BOOST_TEST(parse("3,0,8,450")->slowdown == 4.5);
    for (const char* bad : {"", "3", "3,1", "a,b,c", "3,1,0", "3;1;8"})
        BOOST_TEST(!parse(bad), bad);
}

BOOST_AUTO_TEST_CASE(LimitsAreFiniteNumbersOfZeroOrMore)
{
    const auto parse = platform::dialect().parseLimit;
    BOOST_TEST(*parse("3.7") == 3.7);
    BOOST_TEST(*parse("0") == 0.0);
    BOOST_TEST(*parse("1e3") == 1000.0);
    for (const char* bad : {"", "-1", "nan", "inf", "1e999", "3.7/s", "3,7", "many"})
        BOOST_TEST(!parse(bad), bad);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(KvSourceTest, SourceFixture)

BOOST_AUTO_TEST_CASE(AReadOfManyPagesCompletes)
{
    for (int i = 0; i < 400; ++i)
        store.put("servers/" + std::to_string(1000 + i), "value");
    const ReadResult answer = read();
    BOOST_TEST((answer.status == ReadStatus::Ok));
    BOOST_TEST(answer.items.size() == 400U);
}

BOOST_AUTO_TEST_CASE(AReadReturnsAllPagesAndTheRevisionOfTheFirst)
{
    for (int i = 0; i < 8; ++i)
        store.put("servers/i " + std::to_string(i), "value " + std::to_string(i));
    const ReadResult answer = read();
    BOOST_TEST((answer.status == ReadStatus::Ok));
    BOOST_REQUIRE_EQUAL(answer.items.size(), 8U);
    BOOST_TEST(answer.items[7].value == "value 7");
    BOOST_TEST(answer.at == 9U);
    BOOST_TEST(answer.snapshot); // The store did not change between the pages
    BOOST_TEST(answer.upTo == 9U);
    BOOST_TEST(store.calls() == 3U);
}

BOOST_AUTO_TEST_CASE(OnePageIsASnapshotUnlessItMayBeStale)
{
    store.put("servers/i", "value");
    BOOST_TEST(read().snapshot);
    BOOST_TEST(!read(replication::ReadMode::MayBeStale).snapshot);
}

BOOST_AUTO_TEST_CASE(AStaleReadHasTheRevisionOfItsOldestPage)
{
    for (int i = 0; i < 8; ++i)
        store.put("servers/i " + std::to_string(i), "value " + std::to_string(i));
    store.remove("servers/i 7");
    const ReadResult answer = read(replication::ReadMode::MayBeStale);
    BOOST_TEST((answer.status == ReadStatus::Ok));
    BOOST_TEST(answer.items.size() == 7U);
    BOOST_TEST(answer.at == 4U); // The first page ends with the third item written
    BOOST_TEST(store.staleReads() == store.calls());
}

BOOST_AUTO_TEST_CASE(AWatchReturnsWritesAndRemovals)
{
    store.put("a", "1");
    store.remove("b");
    const ReadResult answer = watch(1, 5s);
    BOOST_TEST((answer.status == ReadStatus::Ok));
    BOOST_REQUIRE_EQUAL(answer.items.size(), 2U);
    BOOST_TEST(!answer.items[0].gone);
    BOOST_TEST(answer.items[1].gone);
    BOOST_TEST(answer.at == 3U);
}

BOOST_AUTO_TEST_CASE(AWatchWithoutChangesEndsAfterItsWait)
{
    const ReadResult answer = watch(1, 5ms);
    BOOST_TEST((answer.status == ReadStatus::Ok));
    BOOST_TEST(answer.items.empty());
    BOOST_TEST(answer.at == 1U);
}

BOOST_AUTO_TEST_CASE(LostHistoryIsReported)
{
    store.put("a", "1");
    store.discardHistory();
    BOOST_TEST((watch(1, 1s).status == ReadStatus::HistoryLost));
}

BOOST_AUTO_TEST_CASE(EveryStoreFaultFailsTheCallAndTheNextCallSucceeds)
{
    store.put("a", "1");
    for (const StoreFault fault : {StoreFault::Unavailable, StoreFault::TooManyRequests, StoreFault::NoResponse,
                                   StoreFault::LostResponse, StoreFault::MalformedBody})
    {
        store.setFault(fault);
        BOOST_TEST((read().status == ReadStatus::Failed));
        BOOST_TEST((watch(0, 1ms).status == ReadStatus::Failed));
        store.setFault(StoreFault::None);
        BOOST_TEST((read().status == ReadStatus::Ok));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FleetThreadTest)

BOOST_AUTO_TEST_CASE(DeclarationsReachTheDataPathAndAnInvalidConfigurationDoesNot)
{
    StoreStandIn                   store;
    const platform::JsonTranslator translator;
    NullLog                        log;
    std::mutex                     mutex;
    deployment::DeclaredState      last;
    std::condition_variable        changed;
    fleet::FleetSettings           settings;
    settings.listen = {"127.0.0.1", 0};
    settings.replica.self = {"127.0.0.1:1", "dc", 0, 0};
    const fleet::FleetThread fleet(
        settings,
        [&](asio::io_context& loop) {
            return std::make_unique<platform::KvSource>(loop, adapters::settings::Endpoint{"127.0.0.1", store.port()});
        },
        translator,
        [&](deployment::DeclaredState declared)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            last = support::merged(last, std::move(declared));
            changed.notify_all();
        },
        log);
    const auto waitUntil = [&](const std::function<bool()>& condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, 10s, condition);
    };
    store.put("op/config", std::string(configuration));
    store.put("servers/i-1", serverEntry("10.1.2.3:80", "ready", 1));
    BOOST_TEST(waitUntil([&] { return last.deployment && last.instances.size() == 1; }));
    store.put("op/config", "{\"Version\":8}");
    store.put("servers/i-1", serverEntry("10.1.2.3:80", "draining", 2));
    BOOST_TEST(waitUntil([&] { return !last.instances.empty() && last.instances[0].draining; }));
    // A configuration that is removed leaves the last valid one in force.
    store.remove("op/config");
    store.put("servers/i-2", serverEntry("10.1.2.3:81", "ready", 1));
    BOOST_TEST(waitUntil([&] { return last.instances.size() == 2; }));
    const std::lock_guard<std::mutex> lock(mutex);
    BOOST_TEST(last.deployment->version == 7U);
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatChangesOnlyItsSequenceLeavesTheInstanceUnchanged, FleetFixture)
{
    store.put("op/config", std::string(configuration));
    store.put("servers/i-1", entry("ready", 1));
    BOOST_REQUIRE(waitUntil([](const auto& declared) { return declared.instances.size() == 1; }));
    const auto before = last.instances;
    store.put("servers/i-1", entry("ready", 2));
    store.put("servers/i-2", entry("ready", 1));
    BOOST_REQUIRE(waitUntil([](const auto& declared) { return declared.instances.size() == 2; }));
    const std::lock_guard<std::mutex> lock(mutex);
    BOOST_TEST((last.instances[0] == before[0]));
}

BOOST_FIXTURE_TEST_CASE(ADrainingServerIsNeverReportedReadyDespiteStoreFaults, FleetFixture)
{
    store.put("op/config", std::string(configuration));
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
        store.put(std::string("servers/") + id, entry("ready", 5));
    store.put("servers/i-1", entry("draining", 6));
    BOOST_REQUIRE(waitUntil([](const auto& declared)
                            { return declared.instances.size() == 4 && !isAvailable(declared, "i-1"); }));
    std::size_t from = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        from = published.size();
    }
    int servers = 5;
    for (const StoreFault fault :
         {StoreFault::Unavailable, StoreFault::LostResponse, StoreFault::MalformedBody, StoreFault::TooManyRequests})
    {
        store.setFault(fault);
        std::this_thread::sleep_for(400ms);
        // The store loses the draining server's entry and another one. An older entry of the draining server
        // appears afterwards.
        for (const char* id : {"i-1", "i-2"})
            store.remove(std::string("servers/") + id);
        store.discardHistory();
        store.setFault(StoreFault::None);
        std::this_thread::sleep_for(50ms);
        store.put("servers/i-1", entry("ready", 4));
        store.put("servers/i-2", entry("ready", 5));
        store.put("servers/i-" + std::to_string(servers), entry("ready", 1));
        const std::string added = "i-" + std::to_string(servers++);
        BOOST_REQUIRE(waitUntil([&](const auto& declared)
                                { return isAvailable(declared, added) && isAvailable(declared, "i-2"); }));
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (std::size_t i = from; i < published.size(); ++i)
        BOOST_TEST(!isAvailable(published[i], "i-1"));
}

BOOST_FIXTURE_TEST_CASE(EvacuationsBeginAndEndWithAnyValueAndDespiteStoreFaults, FleetFixture)
{
    using Names = std::set<std::string>;
    store.put("op/config", std::string(configuration));
    store.put("servers/i-1", entry("ready", 5));
    // This evacuation is in the store before the fleet thread's first complete read.
    store.put("op/evacuate/dc-0", "{}");
    BOOST_REQUIRE(waitUntil([](const auto& declared) { return declared.evacuated == Names{"dc-0"}; }));
    store.put("op/evacuate/dc-1", "");
    store.put("op/evacuate/dc-2", "{no JSON");
    store.put("op/evacuate/unheard of", "[]");
    BOOST_TEST(waitUntil(
        [](const auto& declared) {
            return declared.evacuated == Names{"dc-0", "dc-1", "dc-2", "unheard of"};
        }));
    store.remove("op/evacuate/dc-1");
    BOOST_TEST(waitUntil(
        [](const auto& declared) {
            return declared.evacuated == Names{"dc-0", "dc-2", "unheard of"};
        }));
    // An evacuation that begins and ends at once does not affect the evacuation written after it.
    store.put("op/evacuate/dc-1", "{}");
    store.remove("op/evacuate/dc-1");
    store.put("op/evacuate/dc-3", "{}");
    BOOST_TEST(waitUntil(
        [](const auto& declared) {
            return declared.evacuated == Names{"dc-0", "dc-2", "dc-3", "unheard of"};
        }));
    // Evacuations stay in force through a store outage and a lost history; one that ended meanwhile is lifted
    // after the outage.
    store.setFault(StoreFault::Unavailable);
    store.remove("op/evacuate/dc-2");
    std::this_thread::sleep_for(300ms);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        BOOST_TEST(last.evacuated.contains("dc-2"));
    }
    store.discardHistory();
    store.setFault(StoreFault::None);
    BOOST_TEST(waitUntil(
        [](const auto& declared) {
            return declared.evacuated == Names{"dc-0", "dc-3", "unheard of"};
        }));
    // The thread updates its status after publishing the state, within the same step.
    for (int i = 0; i < 200 && thread.status().evacuated != 3U; ++i)
        std::this_thread::sleep_for(5ms);
    BOOST_TEST(thread.status().evacuated == 3U);
}

BOOST_FIXTURE_TEST_CASE(AnUnreadableEntryRemovesOnlyItsServer, FleetFixture)
{
    store.put("op/config", std::string(configuration));
    for (const char* id : {"i-1", "i-2"})
        store.put(std::string("servers/") + id, entry("ready", 5));
    BOOST_REQUIRE(
        waitUntil([](const auto& declared) { return isAvailable(declared, "i-1") && isAvailable(declared, "i-2"); }));
    store.put("servers/i-1", "\xff no JSON");
    BOOST_TEST(
        waitUntil([](const auto& declared) { return !isAvailable(declared, "i-1") && isAvailable(declared, "i-2"); }));
    store.put("servers/i-1", entry("ready", 6));
    BOOST_TEST(
        waitUntil([](const auto& declared) { return isAvailable(declared, "i-1") && isAvailable(declared, "i-2"); }));
    BOOST_TEST(thread.status().rejected == 1U);
}

BOOST_FIXTURE_TEST_CASE(AServerRestartedUnderTheSameIdReceivesRequests, FleetFixture)
{
    store.put("op/config", std::string(configuration));
    store.put("servers/i-1", serverEntry("10.1.2.3:80", "ready", 9, R"(,"born":1000)"));
    store.put("servers/i-2", serverEntry("10.1.2.3:81", "ready", 9, R"(,"born":1000)"));
    store.put("servers/i-1", serverEntry("10.1.2.3:80", "draining", 10, R"(,"born":1000)"));
    BOOST_REQUIRE(
        waitUntil([](const auto& declared) { return !isAvailable(declared, "i-1") && isAvailable(declared, "i-2"); }));
    store.put("servers/i-1", serverEntry("10.1.2.3:80", "ready", 1, R"(,"born":2000)"));
    BOOST_TEST(waitUntil([](const auto& declared) { return isAvailable(declared, "i-1"); }));
}

BOOST_FIXTURE_TEST_CASE(AfterAStoreOutageMissingServersAreRemovedAndReturningOnesReceiveRequests, FleetFixture)
{
    store.put("op/config", std::string(configuration));
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
        store.put(std::string("servers/") + id, entry("ready", 5));
    BOOST_REQUIRE(waitUntil([](const auto& declared) { return declared.instances.size() == 4; }));
    store.setFault(StoreFault::Unavailable);
    std::this_thread::sleep_for(500ms);
    for (const char* id : {"i-1", "i-2", "i-3"})
        store.remove(std::string("servers/") + id);
    store.setFault(StoreFault::None);
    store.put("servers/i-2", entry("ready", 6));
    BOOST_TEST(waitUntil(
        [](const auto& declared)
        {
            return !isAvailable(declared, "i-1") && isAvailable(declared, "i-2") && !isAvailable(declared, "i-3") &&
                   isAvailable(declared, "i-4");
        }));
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::fieldOf;
using support::Fixture;
using support::PatientFixture;
using support::Script;
using support::ScriptedServer;
using support::statusOf;
using support::TestCaller;

constexpr std::size_t mostSideBySide = 16; // As CallerConnection bounds it
constexpr std::size_t sixtyFourKilobytes = 65536;

////////////////////////////////////////////////////////////
/// \brief A patient gateway before a server that has room for all that a test sends
////////////////////////////////////////////////////////////
struct RoomyFixture : PatientFixture
{
    explicit RoomyFixture(ScriptedServer::Answer answer = echo) :
    PatientFixture(std::move(answer), false)
    {
        slots = 2000;
        configure();
    }

    [[nodiscard]] std::string logged()
    {
        const std::lock_guard<std::mutex> lock(log.mutex);
        return log.text;
    }

    [[nodiscard]] bool sent(const std::string& id) const
    {
        const auto requests = server.requests();
        return std::any_of(requests.begin(), requests.end(),
                           [&](const std::string& request) { return fieldOf(request, "X-Id") == id; });
    }

    void waitForRequests(std::size_t count) const
    {
        for (int i = 0; i < 5000 && server.requests().size() < count; ++i)
            std::this_thread::sleep_for(1ms);
        BOOST_REQUIRE(server.requests().size() >= count);
    }
};

////////////////////////////////////////////////////////////
std::string reads(int from, int to)
{
    std::string all;
    for (int i = from; i < to; ++i)
        all += Fixture::request("/read/x", "a" + std::to_string(i));
    return all;
}

////////////////////////////////////////////////////////////
/// \brief The server takes this long for each request, by id
////////////////////////////////////////////////////////////
ScriptedServer::Answer slowly(const std::map<std::string, std::chrono::milliseconds>& delays)
{
    return [delays](const std::string& request)
    {
        Script     script = Fixture::echo(request);
        const auto found = delays.find(fieldOf(request, "X-Id"));
        if (found != delays.end())
            script.delay = found->second;
        return script;
    };
}

////////////////////////////////////////////////////////////
Script neverAnswers(const std::string&)
{
    Script script;
    script.silent = true;
    return script;
}

////////////////////////////////////////////////////////////
/// \brief The number behind `key=` in the log line of a request; -1 without one
////////////////////////////////////////////////////////////
double loggedNumber(const std::string& log, const std::string& id, const std::string& key)
{
    const auto at = log.find("request=" + id + " ");
    if (at == std::string::npos)
        return -1;
    const std::string line = log.substr(at, log.find('\n', at) - at);
    const auto        value = line.find(" " + key + "=");
    return value == std::string::npos ? -1 : std::stod(line.substr(value + key.size() + 2));
}

} // namespace

// Requests sent behind others on one connection.
BOOST_AUTO_TEST_SUITE(PipeliningTest)

BOOST_AUTO_TEST_CASE(AnswersComeInTheOrderOfTheRequests)
{
    RoomyFixture setup(slowly({{"a0", 300ms}, {"a1", 200ms}, {"a2", 100ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 4));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_CASE(ASlowFirstAnswerDoesNotDelayTheSecondsDispatch)
{
    RoomyFixture setup(slowly({{"a0", 1500ms}}));
    TestCaller   caller(setup.gateway->port());
    const auto   begin = std::chrono::steady_clock::now();
    caller.write(reads(0, 2));
    setup.waitForRequests(2);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatComesAfterTheIdleTimeIsWrittenWhole)
{
    // A caller waits longer for its answer than it may be idle, and takes its time to read it.
    const std::string body(12U << 20U, 'x'); // More than sockets hold: it is still being written at the next sweep
    Fixture           setup(
        [&](const std::string& request)
        {
            Script script{Fixture::okAnswer(fieldOf(request, "X-Id"), body)};
            script.delay = 1600ms;
            return script;
        },
        true, 10s);
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "a0"));
    std::this_thread::sleep_for(2300ms);
    BOOST_TEST(caller.readAnswer().size() > body.size());
}

BOOST_AUTO_TEST_CASE(EachRequestHasItsOwnClockAndItsLineSaysWhereTheTimeWent)
{
    RoomyFixture setup(slowly({{"a0", 600ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1));
    setup.waitForRequests(1);
    std::this_thread::sleep_for(200ms);
    caller.write(reads(1, 2));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    const std::string log = setup.logged();
    BOOST_TEST(log.find("route=read-a.example") != std::string::npos);
    BOOST_TEST(loggedNumber(log, "a1", "ms") < 590);
    BOOST_TEST(loggedNumber(log, "a1", "decidedMs") >= 0);
    BOOST_TEST(loggedNumber(log, "a1", "decidedMs") < 300);
    BOOST_TEST(loggedNumber(log, "a1", "turnMs") > 100);
    BOOST_TEST(loggedNumber(log, "a0", "turnMs") < 100);
    TestCaller ready(setup.gateway->readinessPort());
}

BOOST_AUTO_TEST_CASE(AnUnansweredCallersTimeCountsFromTheFirstByteAlsoWhenReadingWasHeldUp)
{
    // More than are served side by side: the last one's first byte has waited unread.
    RoomyFixture setup(slowly({{"a0", 700ms}}));
    TestCaller   caller(setup.gateway->port());
    const int    count = static_cast<int>(mostSideBySide) + 2;
    caller.write(reads(0, count));
    for (int i = 0; i < count; ++i)
        BOOST_TEST(caller.readAnswer().ends_with("for a" + std::to_string(i)));
    BOOST_TEST(loggedNumber(setup.logged(), "a" + std::to_string(count - 1), "ms") > 600);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsAllOfItsRequests)
{
    RoomyFixture setup(neverAnswers);
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 3));
    setup.waitForRequests(3);
    caller.close();
    const auto left = std::chrono::steady_clock::now();
    while (setup.server.hangUps() < 3 && std::chrono::steady_clock::now() - left < 3s)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(setup.server.hangUps() == 3U);
    BOOST_TEST((std::chrono::steady_clock::now() - left < 500ms));
    setup.onLoop([&] { BOOST_TEST(setup.gateway->unfinishedRequests() == 0U); });
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesWithMoreSentThanIsReadCancelsThemToo)
{
    RoomyFixture setup(neverAnswers);
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1));
    setup.waitForRequests(1);
    // What fills the gateway's own buffer is not read on, so the end is not seen by reading.
    caller.write(reads(1, 1500));
    std::this_thread::sleep_for(200ms);
    caller.close();
    const auto left = std::chrono::steady_clock::now();
    while (setup.server.hangUps() < mostSideBySide && std::chrono::steady_clock::now() - left < 3s)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(setup.server.hangUps() == mostSideBySide);
    BOOST_TEST((std::chrono::steady_clock::now() - left < 500ms));
}

BOOST_AUTO_TEST_CASE(WhatMayNotBeRepeatedWaitsForTheAnswersBeforeIt)
{
    RoomyFixture setup(slowly({{"a0", 400ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1) + Fixture::request("/pay/x", "p1", "Content-Length: 3\r\n", "POST") + "abc" + reads(2, 3));
    setup.waitForRequests(1);
    std::this_thread::sleep_for(150ms);
    BOOST_TEST(setup.server.requests().size() == 1U);
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for p1"));
    BOOST_TEST(caller.readAnswer().ends_with("for a2"));
    // The requests after it go out beside it, on other connections: which of them the server reads first is open.
    const auto requests = setup.server.requests();
    const auto sent = std::count_if(requests.begin(), requests.end(),
                                    [](const std::string& request) { return fieldOf(request, "X-Id") == "p1"; });
    const auto whole = std::count_if(requests.begin(), requests.end(),
                                     [](const std::string& request)
                                     { return fieldOf(request, "X-Id") == "p1" && request.ends_with("abc"); });
    BOOST_TEST(sent == 1);
    BOOST_TEST(whole == 1);
}

BOOST_AUTO_TEST_CASE(APlannedStopEndsTheConnectionAfterWhatWasPassedOn)
{
    RoomyFixture setup(slowly({{"a0", 400ms}, {"a1", 200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 2));
    setup.waitForRequests(2);
    setup.onLoop([&] { setup.gateway->startDraining(); });
    caller.write(reads(2, 3) + Fixture::request("/pay/x", "p3"));
    const std::string first = caller.readAnswer();
    BOOST_TEST(first.ends_with("for a0"));
    BOOST_TEST(fieldOf(first, "Connection").empty());
    const std::string second = caller.readAnswer();
    BOOST_TEST(second.ends_with("for a1"));
    BOOST_TEST(fieldOf(second, "Connection") == "close");
    BOOST_TEST(caller.ended());
    BOOST_TEST(!setup.sent("a2"));
    BOOST_TEST(!setup.sent("p3"));
}

BOOST_AUTO_TEST_CASE(NothingBehindARequestThatClosesTheConnectionIsPassedOn)
{
    RoomyFixture setup(slowly({{"a0", 200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1) + Fixture::request("/read/x", "a1", "Connection: close\r\n") + reads(2, 4));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    const std::string last = caller.readAnswer();
    BOOST_TEST(last.ends_with("for a1"));
    BOOST_TEST(fieldOf(last, "Connection") == "close");
    BOOST_TEST(caller.ended());
    BOOST_TEST(setup.server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(AMalformedRequestBehindGoodOnesIsRefusedInItsTurn)
{
    RoomyFixture setup(slowly({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 2) + "no request at all\r\n\r\n" + reads(2, 3));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    const std::string refusal = caller.readAnswer();
    BOOST_TEST(statusOf(refusal) == 400);
    BOOST_TEST(fieldOf(refusal, "Connection") == "close");
    BOOST_TEST(caller.ended());
    BOOST_TEST(setup.server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(TooLargeAHeadOrBodyBehindGoodOnesIsRefusedInItsTurn)
{
    for (const bool head : {true, false})
    {
        RoomyFixture setup(slowly({{"a0", 200ms}}));
        TestCaller   caller(setup.gateway->port());
        caller.write(reads(0, 1) + (head
                                        ? Fixture::request("/read/x", "b", "X-Long: " + std::string(3000, 'x') + "\r\n")
                                        : Fixture::request("/pay/x", "b", "Content-Length: 60000\r\n", "POST")));
        BOOST_TEST(caller.readAnswer().ends_with("for a0"));
        BOOST_TEST(statusOf(caller.readAnswer()) == (head ? 431 : 413));
        BOOST_TEST(caller.ended());
    }
}

BOOST_AUTO_TEST_CASE(AHeadThatStopsBehindGoodOnesIsRefusedInItsTurn)
{
    RoomyFixture setup;
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 2) + "GET /read/x HTTP/1.1\r\nHost:");
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 408);
}

BOOST_AUTO_TEST_CASE(OwnRefusalsKeepTheOrder)
{
    RoomyFixture setup(slowly({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1) + Fixture::request("/none/x", "n") + reads(1, 2));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 404);
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutAffectsItsOwnRequestAlone)
{
    RoomyFixture setup(
        [](const std::string& request)
        {
            if (fieldOf(request, "X-Id") != "a1")
                return Fixture::echo(request);
            Script script{"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: a1\r\nContent-Length: 20\r\n\r\npart"};
            script.close = true;
            return script;
        });
    TestCaller caller(setup.gateway->port());
    caller.write(reads(0, 3));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
    BOOST_TEST(caller.readAnswer().ends_with("for a2"));
}

BOOST_AUTO_TEST_CASE(AThousandRequestsBehindAStuckOneHoldNoMoreThanTheBound)
{
    RoomyFixture setup(slowly({{"a0", 1200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1000));
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(setup.server.requests().size() <= mostSideBySide);
    setup.onLoop([&] { BOOST_TEST(setup.gateway->unfinishedRequests() <= mostSideBySide); });
    for (int i = 0; i < 1000; ++i)
        BOOST_REQUIRE(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_CASE(AnswersThatWaitTakeBodyMemoryAndHoldReadingBack)
{
    // The fixture has 140 kB for bodies: a few answers of 30 kB that wait leave no room for further requests.
    const std::string large(30'000, 'x');
    RoomyFixture      setup(
        [large](const std::string& request)
        {
            Script script{Fixture::okAnswer(fieldOf(request, "X-Id"), large)};
            script.delay = fieldOf(request, "X-Id") == "a0" ? 1000ms : 0ms;
            return script;
        });
    TestCaller caller(setup.gateway->port());
    for (int i = 0; i < 12; ++i)
    {
        caller.write(reads(i, i + 1));
        std::this_thread::sleep_for(30ms);
    }
    BOOST_TEST(setup.server.requests().size() < 8U);
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(caller.readAnswer().ends_with(large));
    // All memory was given back: a body of nearly all of a request's limit finds room.
    TestCaller other(setup.gateway->port());
    other.write(Fixture::request("/pay/x", "b", "Content-Length: 49000\r\n", "POST") + std::string(49'000, 'x'));
    BOOST_TEST(statusOf(other.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(AHeadRequestsAnswerHasNoBodyBeforeTheNextOne)
{
    RoomyFixture setup(slowly({{"h0", 100ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "h0", "", "HEAD") + reads(1, 2));
    std::string both = caller.readAnswer();
    while (both.find("for a1") == std::string::npos && both.size() < 1000)
    {
        const std::string more = caller.readAnswer();
        if (more.empty())
            break;
        both += more;
    }
    BOOST_TEST(both.find("for h0") == std::string::npos);
    BOOST_TEST(both.find("for a1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ToContinueIsSaidOnlyWhenNoAnswerIsOwedBefore)
{
    RoomyFixture setup(slowly({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(reads(0, 1) +
                 Fixture::request("/pay/x", "p1", "Expect: 100-continue\r\nContent-Length: 3\r\n", "POST"));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 100);
    caller.write("abc");
    BOOST_TEST(caller.readAnswer().ends_with("for p1"));
}

BOOST_AUTO_TEST_CASE(SixtyFourKilobytesOfSmallRequestsInOneWriteAreAllServed)
{
    RoomyFixture setup;
    TestCaller   caller(setup.gateway->port());
    std::string  all;
    int          count = 0;
    for (; all.size() < sixtyFourKilobytes; ++count)
        all += reads(count, count + 1) + (count % 5 == 0 ? "\r\n" : "");
    caller.write(all);
    for (int i = 0; i < count; ++i)
        BOOST_REQUIRE(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_SUITE_END()

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

constexpr std::size_t maxPipelined = 16; // Same as in CallerConnection.cpp
constexpr std::size_t sixtyFourKilobytes = 65536;

////////////////////////////////////////////////////////////
/// \brief A gateway in front of one server with enough slots for all requests of a test
////////////////////////////////////////////////////////////
struct RoomyFixture : PatientFixture
{
    explicit RoomyFixture(ScriptedServer::Answer answer = echo) :
    PatientFixture(std::move(answer), false)
    {
        slots = 2000;
        configure();
    }

    [[nodiscard]] std::string logText()
    {
        const std::lock_guard<std::mutex> lock(log.mutex);
        return log.text;
    }

    [[nodiscard]] bool serverReceived(const std::string& id) const
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
std::string readRequests(int from, int to)
{
    std::string all;
    for (int i = from; i < to; ++i)
        all += Fixture::request("/read/x", "a" + std::to_string(i));
    return all;
}

////////////////////////////////////////////////////////////
/// \brief Return an echoing server's function that delays the answers to the given request ids
////////////////////////////////////////////////////////////
ScriptedServer::Answer delayedEcho(const std::map<std::string, std::chrono::milliseconds>& delays)
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
Script neverAnswer(const std::string&)
{
    Script script;
    script.silent = true;
    return script;
}

////////////////////////////////////////////////////////////
/// \brief Return the number after `key=` in the log line of a request; -1 when it is missing
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

// Several requests sent on one connection before the first answer.
BOOST_AUTO_TEST_SUITE(PipeliningTest)

BOOST_AUTO_TEST_CASE(AnswersComeInTheOrderOfTheRequests)
{
    RoomyFixture setup(delayedEcho({{"a0", 300ms}, {"a1", 200ms}, {"a2", 100ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 4));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_CASE(ASlowFirstAnswerDoesNotDelayTheSecondRequest)
{
    RoomyFixture setup(delayedEcho({{"a0", 1500ms}}));
    TestCaller   caller(setup.gateway->port());
    const auto   begin = std::chrono::steady_clock::now();
    caller.write(readRequests(0, 2));
    setup.waitForRequests(2);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatComesAfterTheIdleTimeIsWrittenWhole)
{
    // The answer arrives after the idle timeout, and the caller then reads it slowly.
    const std::string body(12U << 20U, 'x'); // Exceeds the socket buffers, so a timeout check falls into the write
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

BOOST_AUTO_TEST_CASE(EachRequestIsTimedAloneAndItsLogLineSplitsTheTime)
{
    RoomyFixture setup(delayedEcho({{"a0", 600ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1));
    setup.waitForRequests(1);
    std::this_thread::sleep_for(200ms);
    caller.write(readRequests(1, 2));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    const std::string log = setup.logText();
    BOOST_TEST(log.find("route=read-a.example") != std::string::npos);
    BOOST_TEST(loggedNumber(log, "a1", "ms") < 590);
    BOOST_TEST(loggedNumber(log, "a1", "decidedMs") >= 0);
    BOOST_TEST(loggedNumber(log, "a1", "decidedMs") < 300);
    BOOST_TEST(loggedNumber(log, "a1", "turnMs") > 100);
    BOOST_TEST(loggedNumber(log, "a0", "turnMs") < 100);
    TestCaller ready(setup.gateway->readinessPort());
}

BOOST_AUTO_TEST_CASE(TimeCountsFromTheFirstByteAlsoWhenReadingWasPaused)
{
    // More requests than are forwarded concurrently: the last one waits unread in the connection.
    RoomyFixture setup(delayedEcho({{"a0", 700ms}}));
    TestCaller   caller(setup.gateway->port());
    const int    count = static_cast<int>(maxPipelined) + 2;
    caller.write(readRequests(0, count));
    for (int i = 0; i < count; ++i)
        BOOST_TEST(caller.readAnswer().ends_with("for a" + std::to_string(i)));
    BOOST_TEST(loggedNumber(setup.logText(), "a" + std::to_string(count - 1), "ms") > 600);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsAllOfItsRequests)
{
    RoomyFixture setup(neverAnswer);
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 3));
    setup.waitForRequests(3);
    caller.close();
    const auto left = std::chrono::steady_clock::now();
    while (setup.server.clientCloses() < 3 && std::chrono::steady_clock::now() - left < 3s)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(setup.server.clientCloses() == 3U);
    BOOST_TEST((std::chrono::steady_clock::now() - left < 500ms));
    setup.onLoop([&] { BOOST_TEST(setup.gateway->unfinishedRequests() == 0U); });
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesWhileReadingIsPausedCancelsItsRequests)
{
    RoomyFixture setup(neverAnswer);
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1));
    setup.waitForRequests(1);
    // More than the gateway buffers: reading pauses, so no read reports that the caller has closed.
    caller.write(readRequests(1, 1500));
    std::this_thread::sleep_for(200ms);
    caller.close();
    const auto left = std::chrono::steady_clock::now();
    while (setup.server.clientCloses() < maxPipelined && std::chrono::steady_clock::now() - left < 3s)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(setup.server.clientCloses() == maxPipelined);
    BOOST_TEST((std::chrono::steady_clock::now() - left < 500ms));
}

BOOST_AUTO_TEST_CASE(ANonRepeatableRequestWaitsForTheAnswersBeforeIt)
{
    RoomyFixture setup(delayedEcho({{"a0", 400ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1) + Fixture::request("/pay/x", "p1", "Content-Length: 3\r\n", "POST") + "abc" +
                 readRequests(2, 3));
    setup.waitForRequests(1);
    std::this_thread::sleep_for(150ms);
    BOOST_TEST(setup.server.requests().size() == 1U);
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for p1"));
    BOOST_TEST(caller.readAnswer().ends_with("for a2"));
    // The request after p1 is sent concurrently on another connection, so the server may read the two in any order.
    const auto requests = setup.server.requests();
    const auto sent = std::count_if(requests.begin(), requests.end(),
                                    [](const std::string& request) { return fieldOf(request, "X-Id") == "p1"; });
    const auto whole = std::count_if(requests.begin(), requests.end(),
                                     [](const std::string& request)
                                     { return fieldOf(request, "X-Id") == "p1" && request.ends_with("abc"); });
    BOOST_TEST(sent == 1);
    BOOST_TEST(whole == 1);
}

BOOST_AUTO_TEST_CASE(APlannedStopClosesTheConnectionAfterTheRequestsThatHaveArrived)
{
    RoomyFixture setup(delayedEcho({{"a0", 400ms}, {"a1", 200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 2));
    setup.waitForRequests(2);
    setup.onLoop([&] { setup.gateway->startDraining(); });
    caller.write(readRequests(2, 3) + Fixture::request("/pay/x", "p3"));
    for (const std::string id : {"a0", "a1", "a2"})
    {
        const std::string answer = caller.readAnswer();
        BOOST_TEST(answer.ends_with("for " + id));
        BOOST_TEST(fieldOf(answer, "Connection").empty());
    }
    const std::string last = caller.readAnswer();
    BOOST_TEST(last.ends_with("for p3"));
    BOOST_TEST(fieldOf(last, "Connection") == "close");
    BOOST_TEST(caller.closedByPeer());
}

// A caller that pipelines without end must not keep its connection, nor lose what a server has got.
BOOST_AUTO_TEST_CASE(APlannedStopThatClosesConnectionsReadsNothingBehindAnUnansweredRequest)
{
    RoomyFixture setup(delayedEcho({{"a0", 600ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1));
    setup.waitForRequests(1);
    setup.onLoop(
        [&]
        {
            setup.gateway->startDraining();
            setup.gateway->closeIdle();
        });
    for (int i = 1; i < 200; ++i)
    {
        caller.write(readRequests(i, i + 1));
        std::this_thread::sleep_for(10ms);
    }
    std::size_t answered = 0;
    bool        closes = false;
    for (; !closes; ++answered)
    {
        const std::string answer = caller.readAnswer();
        BOOST_REQUIRE(answer.ends_with("for a" + std::to_string(answered)));
        closes = fieldOf(answer, "Connection") == "close";
    }
    BOOST_TEST(answered < 100U);
    BOOST_TEST(setup.server.requests().size() == answered);
}

// Guards against a planned stop that drops a request which waits for the answers before it.
BOOST_AUTO_TEST_CASE(APlannedStopAnswersANonRepeatableRequestThatWaits)
{
    RoomyFixture setup(delayedEcho({{"a0", 600ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1) + Fixture::request("/pay/x", "b0", "Content-Length: 0\r\n", "POST"));
    setup.waitForRequests(1);
    setup.onLoop([&] { setup.gateway->startDraining(); });
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    const std::string last = caller.readAnswer();
    BOOST_TEST(last.ends_with("for b0"));
    BOOST_TEST(fieldOf(last, "Connection") == "close");
    BOOST_TEST(caller.closedByPeer());
}

// Guards against a planned stop that drops requests which arrived long before the answer that closes their connection.
BOOST_AUTO_TEST_CASE(APlannedStopAnswersRequestsThatArrivedWhileEarlierOnesWereAnswered)
{
    for (const bool closing : {false, true})
    {
        RoomyFixture setup(delayedEcho({{"a0", 700ms}}));
        TestCaller   caller(setup.gateway->port());
        caller.write(readRequests(0, 1));
        setup.waitForRequests(1);
        setup.onLoop([&] { setup.gateway->startDraining(); });
        caller.write(readRequests(1, 3));
        setup.waitForRequests(3);
        if (closing)
            setup.onLoop([&] { setup.gateway->closeIdle(); });
        BOOST_TEST(caller.readAnswer().ends_with("for a0"));
        BOOST_TEST(caller.readAnswer().ends_with("for a1"));
        const std::string last = caller.readAnswer();
        BOOST_TEST(last.ends_with("for a2"));
        BOOST_TEST(fieldOf(last, "Connection") == "close");
    }
}

BOOST_AUTO_TEST_CASE(NothingAfterARequestThatClosesTheConnectionIsForwarded)
{
    RoomyFixture setup(delayedEcho({{"a0", 200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1) + Fixture::request("/read/x", "a1", "Connection: close\r\n") + readRequests(2, 4));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    const std::string last = caller.readAnswer();
    BOOST_TEST(last.ends_with("for a1"));
    BOOST_TEST(fieldOf(last, "Connection") == "close");
    BOOST_TEST(caller.closedByPeer());
    BOOST_TEST(setup.server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(AMalformedRequestAfterGoodOnesIsRefusedInOrder)
{
    RoomyFixture setup(delayedEcho({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 2) + "no request at all\r\n\r\n" + readRequests(2, 3));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    const std::string refusal = caller.readAnswer();
    BOOST_TEST(statusOf(refusal) == 400);
    BOOST_TEST(fieldOf(refusal, "Connection") == "close");
    BOOST_TEST(caller.closedByPeer());
    BOOST_TEST(setup.server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ATooLargeHeadOrBodyAfterGoodOnesIsRefusedInOrder)
{
    for (const bool head : {true, false})
    {
        RoomyFixture setup(delayedEcho({{"a0", 200ms}}));
        TestCaller   caller(setup.gateway->port());
        caller.write(readRequests(0, 1) +
                     (head ? Fixture::request("/read/x", "b", "X-Long: " + std::string(3000, 'x') + "\r\n")
                           : Fixture::request("/pay/x", "b", "Content-Length: 60000\r\n", "POST")));
        BOOST_TEST(caller.readAnswer().ends_with("for a0"));
        BOOST_TEST(statusOf(caller.readAnswer()) == (head ? 431 : 413));
        BOOST_TEST(caller.closedByPeer());
    }
}

BOOST_AUTO_TEST_CASE(AnIncompleteHeadAfterGoodOnesIsRefusedInOrder)
{
    RoomyFixture setup;
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 2) + "GET /read/x HTTP/1.1\r\nHost:");
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 408);
}

BOOST_AUTO_TEST_CASE(RefusalsOfTheGatewayKeepTheOrder)
{
    RoomyFixture setup(delayedEcho({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1) + Fixture::request("/none/x", "n") + readRequests(1, 2));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 404);
    BOOST_TEST(caller.readAnswer().ends_with("for a1"));
}

BOOST_AUTO_TEST_CASE(ATruncatedAnswerAffectsOnlyItsOwnRequest)
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
    caller.write(readRequests(0, 3));
    BOOST_TEST(caller.readAnswer().ends_with("for a0"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
    BOOST_TEST(caller.readAnswer().ends_with("for a2"));
}

BOOST_AUTO_TEST_CASE(AThousandRequestsAfterASlowOneStayWithinTheBound)
{
    RoomyFixture setup(delayedEcho({{"a0", 1200ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1000));
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(setup.server.requests().size() <= maxPipelined);
    setup.onLoop([&] { BOOST_TEST(setup.gateway->unfinishedRequests() <= maxPipelined); });
    for (int i = 0; i < 1000; ++i)
        BOOST_REQUIRE(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_CASE(WaitingAnswersUseBodyMemoryAndPauseReading)
{
    // The fixture has 140 kB of body memory: a few waiting answers of 30 kB leave no memory for further requests.
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
        caller.write(readRequests(i, i + 1));
        std::this_thread::sleep_for(30ms);
    }
    BOOST_TEST(setup.server.requests().size() < 8U);
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(caller.readAnswer().ends_with(large));
    // All memory was released: a body almost as large as the limit for one request is accepted.
    TestCaller other(setup.gateway->port());
    other.write(Fixture::request("/pay/x", "b", "Content-Length: 49000\r\n", "POST") + std::string(49'000, 'x'));
    BOOST_TEST(statusOf(other.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(AHeadRequestsAnswerHasNoBodyBeforeTheNextOne)
{
    RoomyFixture setup(delayedEcho({{"h0", 100ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "h0", "", "HEAD") + readRequests(1, 2));
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

BOOST_AUTO_TEST_CASE(ContinueIsSentOnlyAfterAllEarlierAnswers)
{
    RoomyFixture setup(delayedEcho({{"a0", 300ms}}));
    TestCaller   caller(setup.gateway->port());
    caller.write(readRequests(0, 1) +
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
        all += readRequests(count, count + 1) + (count % 5 == 0 ? "\r\n" : "");
    caller.write(all);
    for (int i = 0; i < count; ++i)
        BOOST_REQUIRE(caller.readAnswer().ends_with("for a" + std::to_string(i)));
}

BOOST_AUTO_TEST_SUITE_END()

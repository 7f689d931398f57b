#include <sailpath/adapters/links/LinkHub.hpp>
#include <sailpath/adapters/links/TunnelCodec.hpp>

#include <support/HelperFixture.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace sailpath::support;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(LostPathsTest)

BOOST_AUTO_TEST_CASE(RequestsAreServedThroughAHelper)
{
    PatientFixture fixture;
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    for (int i = 0; i < 5; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        const std::string answer = ask(fixture, Fixture::request("/read/1", id));
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(answer.ends_with("for " + id));
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/pay/1", "p" + id, "Content-Length: 0\r\n", "POST"))) ==
                   200);
    }
    BOOST_TEST(fixture.server.requests().size() == 10U);
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers == 10U);
}

BOOST_AUTO_TEST_CASE(WhileThePathWorksNoHelperIsAsked)
{
    PatientFixture fixture;
    Helper         helper(fixture);
    fixture.declared.peers.push_back(helper.peer());
    fixture.onLoop([&] { fixture.gateway->configure(fixture.declared); });
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/1", "r" + std::to_string(i)))) == 200);
    BOOST_TEST(helper.asked == 0U);
}

BOOST_AUTO_TEST_CASE(AnotherHelperIsAskedWhenTheFirstHasNoPathEither)
{
    PatientFixture fixture;
    Helper         cutOff(fixture, false);
    Helper         helper(fixture);
    losePath(fixture, {&cutOff, &helper});
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/1", "r" + std::to_string(i)))) == 200);
}

BOOST_AUTO_TEST_CASE(AServerThatANeighbourCannotReachIsAskedForInAnotherDataCentre)
{
    // The neighbour reaches another server and has lost its path to this one, as this node has.
    PatientFixture fixture;
    Helper         neighbour(fixture, false);
    Helper         elsewhere(fixture, true, "dc-2");
    neighbour.hearServerOf(fixture);
    losePath(fixture, {&neighbour, &elsewhere});
    for (int i = 0; i < 5; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/1", id))) == 200);
        neighbour.hearServerOf(fixture);
    }
    BOOST_TEST(neighbour.asked > 0U);
}

BOOST_AUTO_TEST_CASE(AServerThatTwoDataCentresCannotReachIsNotAskedForAgainAtOnce)
{
    PatientFixture fixture;
    Helper         neighbour(fixture, false);
    Helper         elsewhere(fixture, false, "dc-2");
    neighbour.hearServerOf(fixture);
    elsewhere.hearServerOf(fixture);
    losePath(fixture, {&neighbour, &elsewhere});
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/pay/1", "p" + std::to_string(i)))) == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
    BOOST_TEST(neighbour.asked + elsewhere.asked <= 8U);
}

BOOST_AUTO_TEST_CASE(WithoutAnyPathARequestIsRefusedAsNotRunAtOnce)
{
    PatientFixture fixture;
    Helper         cutOff(fixture, false);
    losePath(fixture, {&cutOff});
    const auto        start = std::chrono::steady_clock::now();
    const std::string answer = ask(fixture, Fixture::request("/pay/1", "p1", "Content-Length: 0\r\n", "POST"));
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

BOOST_AUTO_TEST_CASE(ALongBodyAndALongAnswerPassWhole)
{
    const std::string longBody(300'000, 'x');
    PatientFixture    fixture([&](const std::string& request)
                           { return Script{Fixture::okAnswer(fieldOf(request, "X-Id"), longBody)}; });
    Helper            helper(fixture);
    losePath(fixture, {&helper});
    const std::string body(40'000, 'b');
    const std::string answer =
        ask(fixture, Fixture::request("/pay/1", "p1", "Content-Length: 40000\r\n", "POST") + body);
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(answer.ends_with(longBody));
    BOOST_REQUIRE(fixture.server.requests().size() == 1);
    BOOST_TEST(fixture.server.requests()[0].ends_with(body));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatEndsWithItsConnectionIsWholeWhenTheServerEndsIt)
{
    PatientFixture fixture(
        [](const std::string& request)
        {
            return Script{"HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nX-Mark: m\r\n\r\nall of it",
                          0ms, true};
        });
    Helper helper(fixture);
    losePath(fixture, {&helper});
    const std::string answer = ask(fixture, Fixture::request("/read/1", "r1"));
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(answer.ends_with("all of it"));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatAHelperBreaksOffIsNotTakenForWhole)
{
    PatientFixture fixture(
        [](const std::string& request)
        { return Script{"HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nX-Mark: m\r\n\r\na part"}; });
    auto helper = std::make_unique<Helper>(fixture);
    losePath(fixture, {helper.get()});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/pay/1", "p1", "Content-Length: 0\r\n", "POST"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    std::this_thread::sleep_for(100ms);
    helper->stop();
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
}

BOOST_AUTO_TEST_CASE(WhatMayRunOnceIsNotSentAgainWhenItsHelperEnds)
{
    PatientFixture fixture([](const std::string&) { return Script{{}, 0ms, false, false, true}; });
    auto           first = std::make_unique<Helper>(fixture);
    losePath(fixture, {first.get()});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/pay/1", "p1", "Content-Length: 0\r\n", "POST"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    Helper second(fixture);
    fixture.declared.peers.push_back(second.peer());
    fixture.onLoop([&] { fixture.gateway->configure(fixture.declared); });
    first->stop();
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
    BOOST_TEST(fixture.server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(WhatMayBeRepeatedIsSentThroughAnotherHelper)
{
    constexpr int     earning = 30; // Requests that earn a retry
    std::atomic<bool> silentOnce{false};
    PatientFixture    fixture(
        [&](const std::string& request)
        {
            if (silentOnce.exchange(false))
                return Script{{}, 0ms, false, false, true};
            const std::string id = fieldOf(request, "X-Id");
            return Script{Fixture::okAnswer(id, "for " + id, "Connection: close\r\n"), 0ms, true};
        });
    for (int i = 0; i < earning; ++i)
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/1", "e" + std::to_string(i)))) == 200);
    // A second server of the service, as a request is not sent to one server twice.
    fixture.declared.instances.push_back(fixture.declared.instances[0]);
    fixture.declared.instances[1].id = "i-2";
    auto first = std::make_unique<Helper>(fixture);
    auto second = std::make_unique<Helper>(fixture);
    fixture.declared.instances[1].port = refusingPort();
    losePath(fixture, {first.get(), second.get()});
    const std::size_t before = fixture.server.requests().size();
    silentOnce = true;
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "r1"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == before + 1; }));
    (first->tunnels() > 0 ? first : second)->stop();
    BOOST_TEST(caller.readAnswer().ends_with("for r1"));
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesEndsItsRequestAtTheServer)
{
    PatientFixture fixture([](const std::string&) { return Script{{}, 0ms, false, false, true}; });
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "r1"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    caller.close();
    BOOST_TEST(waitFor([&] { return fixture.server.clientCloses() == 1; }));
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreServedInOrder)
{
    PatientFixture fixture;
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "r1") + Fixture::request("/read/2", "r2"));
    BOOST_TEST(caller.readAnswer().ends_with("for r1"));
    BOOST_TEST(caller.readAnswer().ends_with("for r2"));
}

BOOST_AUTO_TEST_CASE(AHelperThatStopsAsPlannedFinishesWhatItPassesOn)
{
    PatientFixture fixture(
        [](const std::string& request) {
            return Script{Fixture::okAnswer(fieldOf(request, "X-Id"), "late"), 400ms};
        });
    Helper helper(fixture);
    losePath(fixture, {&helper});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "r1"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    asio::post(helper.context, [&] { helper.gateway->startDraining(); });
    BOOST_TEST(helper.tunnels() == 1U);
    BOOST_TEST(caller.readAnswer().ends_with("late"));
}

// Guards against a helper that ends while a server pauses within an answer.
BOOST_AUTO_TEST_CASE(AHelperThatStopsAsPlannedWaitsForAServerThatPausesWithinItsAnswer)
{
    PatientFixture fixture(
        [](const std::string& request)
        {
            const std::string answer = Fixture::okAnswer(fieldOf(request, "X-Id"), "first, then the rest");
            Script            script{answer.substr(0, answer.size() - 8)};
            script.rest = answer.substr(answer.size() - 8);
            script.restDelay = 1500ms;
            return script;
        });
    Helper helper(fixture);
    losePath(fixture, {&helper});
    TestCaller caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "r1"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    asio::post(helper.context, [&] { helper.gateway->startDraining(); });
    std::this_thread::sleep_for(1s);
    BOOST_TEST(helper.tunnels() == 1U);
    BOOST_TEST(caller.readAnswer().ends_with("the rest"));
    BOOST_TEST(waitFor([&] { return helper.tunnels() == 0; }));
}

BOOST_AUTO_TEST_CASE(AHelperConnectsToDeclaredServersOnly)
{
    PatientFixture                 fixture;
    Helper                         helper(fixture);
    const std::vector<std::string> instances{"i-unknown", "", "127.0.0.1:" + std::to_string(fixture.server.port())};
    for (const std::string& instance : instances)
    {
        asio::io_context      context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), helper.port});
        asio::write(socket, asio::buffer(adapters::links::encode(paths::TunnelOpen{instance, 0})));
        std::string           received;
        asio::error_code      error;
        std::array<char, 256> buffer{};
        while (!error)
            received.append(buffer.data(), socket.read_some(asio::buffer(buffer), error));
        const auto decoded = adapters::links::decodeTunnel(received);
        BOOST_REQUIRE(decoded.message.has_value());
        BOOST_CHECK(std::get<paths::TunnelOpened>(*decoded.message).status == paths::TunnelStatus::NotListed);
    }
    BOOST_TEST(fixture.server.requests().empty());
}

BOOST_AUTO_TEST_CASE(ALostPathIsNoCrashOfTheServer)
{
    std::atomic<bool> answers{true};
    PatientFixture    fixture(
        [&](const std::string& request) {
            return answers ? Fixture::echo(request) : Script{{}, 0ms, false, true};
        });
    Helper helper(fixture);
    losePath(fixture, {&helper});
    // Each attempt is reset; a direct check of the server is refused, but a helper still reaches it.
    answers = false;
    for (int i = 0; i < 4; ++i)
        (void)ask(fixture, Fixture::request("/read/same", "r" + std::to_string(i)));
    answers = true;
    BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/same", "last"))) == 200);
    BOOST_TEST(fixture.gateway->counters().quarantinedRefused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

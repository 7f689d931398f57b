#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>

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

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayTest)

BOOST_AUTO_TEST_CASE(ARequestIsForwardedUnchangedAndItsAnswerReturned)
{
    Fixture    setup;
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x?q=1", "a1", "X-Other: kept\r\nConnection: X-Mine\r\nX-Mine: dropped\r\n"));
    const std::string answer = caller.readAnswer();
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(fieldOf(answer, "X-Mark") == "m");
    BOOST_TEST(answer.ends_with("for a1"));
    const std::string sent = setup.server.requests().at(0);
    BOOST_TEST(sent.starts_with("GET /read/x?q=1 HTTP/1.1\r\n"));
    BOOST_TEST(fieldOf(sent, "X-Id") == "a1");
    BOOST_TEST(fieldOf(sent, "X-Instance") == "i-1");
    BOOST_TEST(fieldOf(sent, "X-Other") == "kept");
    BOOST_TEST(fieldOf(sent, "X-Mine").empty());
    BOOST_TEST(std::stoi(fieldOf(sent, "X-Left")) <= 700);
}

BOOST_AUTO_TEST_CASE(TheRequestIdReachesTheServerAndTheLog)
{
    Fixture    setup([](const std::string& request)
                  { return Script{Fixture::okAnswer(fieldOf(request, "X-Id"), "x").replace(9, 3, "500")}; });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "trace-me"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 500);
    BOOST_TEST(fieldOf(setup.server.requests().at(0), "X-Id") == "trace-me");
    const std::lock_guard<std::mutex> lock(setup.log.mutex);
    const auto                        at = setup.log.text.find("request=trace-me");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(setup.log.text.find("i-1", at) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ChunkedBodiesAreForwardedWhole)
{
    Fixture    setup;
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1", "Transfer-Encoding: chunked\r\n", "POST") + "3\r\nabc\r\n0\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    BOOST_TEST(setup.server.requests().at(0).ends_with("\r\n\r\nabc"));
    BOOST_TEST(fieldOf(setup.server.requests().at(0), "Content-Length") == "3");
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsDroppedAndTheRightOneAccepted)
{
    Fixture setup(
        [](const std::string& request)
        { return Script{Fixture::okAnswer("other", "wrong") + Fixture::okAnswer(fieldOf(request, "X-Id"), "right")}; });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(caller.readAnswer().ends_with("right"));
}

BOOST_AUTO_TEST_CASE(AnExtraAnswerNeverReachesTheNextCaller)
{
    Fixture    setup([](const std::string& request)
                  { return Script{Fixture::echo(request).bytes + Fixture::okAnswer("extra", "extra")}; });
    TestCaller caller(setup.gateway->port());
    for (const std::string id : {"a1", "a2", "a3"})
    {
        caller.write(Fixture::request("/read/x", id));
        BOOST_TEST(caller.readAnswer().ends_with("for " + id));
    }
}

BOOST_AUTO_TEST_CASE(SuccessWithoutTheServersSignatureIsNotPassedOn)
{
    Fixture setup(
        [](const std::string& request)
        { return Script{"HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nContent-Length: 2\r\n\r\nno"}; });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
}

BOOST_AUTO_TEST_CASE(ATruncatedAnswerIsNotPassedOn)
{
    Fixture setup(
        [](const std::string& request)
        {
            Script script{"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: " + fieldOf(request, "X-Id") +
                          "\r\nContent-Length: 20\r\n\r\npart"};
            script.close = true;
            return script;
        });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthIsCompleteOnlyAfterAnOrderlyClose)
{
    for (const bool reset : {false, true})
    {
        Fixture setup(
            [reset](const std::string& request)
            {
                Script script{"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\n\r\nbody"};
                script.close = true;
                script.reset = reset;
                return script;
            });
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a1"));
        BOOST_TEST(statusOf(caller.readAnswer()) == (reset ? 502 : 200));
    }
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutTheServersSignatureIsNotTrusted)
{
    Fixture setup(
        [](const std::string& request)
        { return Script{"HTTP/1.1 503 No\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nContent-Length: 0\r\n\r\n"}; });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
}

BOOST_AUTO_TEST_CASE(AnErrorWithoutTheServersSignatureIsNotPassedOnAsTheCallersFault)
{
    // To the caller, an unsigned 3xx or 4xx would look like an answer of the gateway itself.
    for (const std::string status : {"302", "400", "403", "404"})
    {
        Fixture setup(
            [status](const std::string& request)
            {
                return Script{"HTTP/1.1 " + status + " No\r\nX-Id: " + fieldOf(request, "X-Id") +
                              "\r\nContent-Length: 0\r\n\r\n"};
            });
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a1"));
        BOOST_TEST(statusOf(caller.readAnswer()) == 502, status);
    }
}

BOOST_AUTO_TEST_CASE(ARefusalByTheServerIsAnsweredWithRetryAfter)
{
    Fixture setup(
        [](const std::string& request)
        {
            return Script{"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Id: " + fieldOf(request, "X-Id") +
                          "\r\nContent-Length: 0\r\n\r\n"};
        });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    const std::string answer = caller.readAnswer();
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(!fieldOf(answer, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(ADisconnectOfTheCallerCancelsTheRequestAtTheServer)
{
    Fixture setup(
        [](const std::string&)
        {
            Script script;
            script.silent = true;
            return script;
        });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "a1"));
    while (setup.server.requests().empty())
        std::this_thread::sleep_for(1ms);
    caller.close();
    for (int i = 0; i < 5000 && setup.server.clientCloses() == 0; ++i)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(setup.server.clientCloses() >= 1U);
}

BOOST_AUTO_TEST_CASE(TheRouteTimeoutIsAnsweredWith504)
{
    Fixture setup(
        [](const std::string&)
        {
            Script script;
            script.silent = true;
            return script;
        });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 504);
}

BOOST_AUTO_TEST_CASE(SlowCallersOfOneWorkspaceDoNotBlockOthers)
{
    Fixture                                  setup;
    std::vector<std::unique_ptr<TestCaller>> slow;
    for (int i = 0; i < 300; ++i)
    {
        slow.push_back(std::make_unique<TestCaller>(setup.gateway->port()));
        slow.back()->write(Fixture::request("/pay/x", "s" + std::to_string(i), "Content-Length: 100\r\n", "POST") +
                           "a");
    }
    TestCaller other(setup.gateway->port());
    other.write(Fixture::request("/read/x", "quick"));
    BOOST_TEST(statusOf(other.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(LimitsOfTheOperatorsAreEnforced)
{
    Fixture    setup;
    TestCaller head(setup.gateway->port());
    head.write("GET /read/x HTTP/1.1\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n");
    BOOST_TEST(statusOf(head.readAnswer()) == 431);
    TestCaller body(setup.gateway->port());
    body.write(Fixture::request("/pay/x", "a", "Content-Length: 60000\r\n", "POST"));
    BOOST_TEST(statusOf(body.readAnswer()) == 413);
    TestCaller slow(setup.gateway->port());
    slow.write("GET /read/x HTTP/1.1\r\nHost:");
    BOOST_TEST(statusOf(slow.readAnswer()) == 408);
    TestCaller idle(setup.gateway->port());
    BOOST_TEST(idle.closedByPeer());
}

BOOST_AUTO_TEST_CASE(TheMemoryForAllBodiesIsBounded)
{
    Fixture                                  setup;
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 3; ++i)
    {
        callers.push_back(std::make_unique<TestCaller>(setup.gateway->port()));
        callers.back()->write(Fixture::request("/pay/x", "b", "Content-Length: 49000\r\n", "POST") +
                              std::string(45000, 'x'));
    }
    int refused = 0;
    for (const auto& caller : callers)
    {
        caller->write(std::string(4000, 'x'));
        refused += statusOf(caller->readAnswer()) == 503 ? 1 : 0;
    }
    BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_CASE(SlowBodiesOfOneWorkspaceDoNotBlockOthers)
{
    Fixture                                  setup;
    std::vector<std::unique_ptr<TestCaller>> slow;
    for (int i = 0; i < 60; ++i)
    {
        slow.push_back(std::make_unique<TestCaller>(setup.gateway->port()));
        slow.back()->write(Fixture::request("/pay/x", "a" + std::to_string(i), "Content-Length: 7000\r\n", "POST") +
                           "x");
    }
    for (int i = 0; i < 3; ++i)
    {
        TestCaller  other(setup.gateway->port());
        std::string request = Fixture::request("/pay/x", "b" + std::to_string(i), "Content-Length: 20000\r\n", "POST");
        request.replace(request.find("a.example"), 9, "b.example");
        other.write(request + std::string(20000, 'x'));
        BOOST_TEST(statusOf(other.readAnswer()) == 200);
    }
}

BOOST_AUTO_TEST_CASE(APlannedStopFinishesActiveRequestsAndReportsNotReady)
{
    Fixture setup(
        [](const std::string& request)
        {
            Script script = Fixture::echo(request);
            script.delay = 300ms;
            return script;
        });
    TestCaller before(setup.gateway->readinessPort());
    before.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(statusOf(before.readAnswer()) == 200);
    TestCaller idle(setup.gateway->port());
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    while (setup.server.requests().empty())
        std::this_thread::sleep_for(1ms);
    setup.onLoop([&] { setup.gateway->startDraining(); });
    TestCaller after(setup.gateway->readinessPort());
    after.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(statusOf(after.readAnswer()) == 503);
    const std::string answer = caller.readAnswer();
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(fieldOf(answer, "Connection") == "close");
    setup.onLoop([&] { setup.gateway->closeIdle(); });
    BOOST_TEST(idle.closedByPeer());
}

BOOST_AUTO_TEST_CASE(AnActiveRequestSurvivesTheRemovalOfItsServerOrRoute)
{
    for (const char* path : {"/pay/x", "/read/x"})
    {
        for (int change = 0; change < 3; ++change)
        {
            Fixture setup(
                [](const std::string& request)
                {
                    Script script = Fixture::echo(request);
                    script.delay = 200ms;
                    return script;
                });
            TestCaller caller(setup.gateway->port());
            caller.write(Fixture::request(path, "a1"));
            while (setup.server.requests().empty())
                std::this_thread::sleep_for(1ms);
            if (change == 0)
                setup.declared.instances[0].draining = true;
            else
                setup.declared.instances.clear();
            setup.declared.suspect = change == 1;
            if (change == 2)
            {
                auto withoutRoutes = std::make_shared<deployment::Deployment>(*setup.declared.deployment);
                withoutRoutes->version = 2;
                withoutRoutes->routes.clear();
                setup.declared.deployment = withoutRoutes;
            }
            setup.onLoop([&] { setup.gateway->configure(setup.declared); });
            BOOST_TEST(statusOf(caller.readAnswer()) == 200, path << " change " << change);
            BOOST_TEST(setup.server.requests().size() == 1U);
            // The connection of the caller stays open, and the next request finds no server or route.
            caller.write(Fixture::request(path, "a2"));
            const std::string next = caller.readAnswer();
            BOOST_TEST(statusOf(next) == (change == 2 ? 404 : 503));
            BOOST_TEST(fieldOf(next, "Retry-After").empty() == (change == 2));
        }
    }
}

BOOST_AUTO_TEST_CASE(MalformedBytesFromAServerAreNotAnAnswer)
{
    Fixture    setup([](const std::string&) { return Script{std::string("\x01\x02\x03\r\n\r\nxx"), 0ms, true}; });
    TestCaller caller(setup.gateway->port());
    caller.write(Fixture::request("/pay/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 502);
}

BOOST_AUTO_TEST_SUITE_END()

// The gateway itself answers a valid request with no 3xx or 4xx status except 408, 421 and 429.
BOOST_AUTO_TEST_SUITE(GatewayProperRequestTest)

BOOST_AUTO_TEST_CASE(A3xxOr4xxWithTheServersSignatureIsPassedOnUnchanged)
{
    for (const int status : {302, 400, 404, 409, 413})
    {
        PatientFixture setup(
            [status](const std::string& request) {
                return Script{Fixture::okAnswer(fieldOf(request, "X-Id"), "no").replace(9, 3, std::to_string(status))};
            });
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a1"));
        const std::string answer = caller.readAnswer();
        BOOST_TEST(statusOf(answer) == status);
        BOOST_TEST(fieldOf(answer, "X-Mark") == "m");
    }
}

BOOST_AUTO_TEST_CASE(A4xxForARequestThatDidNotRunBecomesARefusal)
{
    for (const std::string head :
         {"421 Misdirected\r\n", "421 Misdirected\r\nX-Not-Run: 1\r\n", "400 No\r\nX-Not-Run: 1\r\n",
          "404 No\r\nX-Not-Run: 1\r\n", "429 Many\r\nX-Not-Run: 1\r\n"})
    {
        PatientFixture setup(
            [head](const std::string& request) {
                return Script{"HTTP/1.1 " + head + "X-Id: " + fieldOf(request, "X-Id") +
                              "\r\nContent-Length: 0\r\n\r\n"};
            });
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a1"));
        BOOST_TEST(statusOf(caller.readAnswer()) == 503);
    }
}

BOOST_AUTO_TEST_CASE(TheHostMayBeInAnyCaseAndWithAPort)
{
    PatientFixture setup;
    TestCaller     caller(setup.gateway->port());
    for (const std::string host : {"Host: A.EXAMPLE", "host:a.example:8080", "HOST:   a.example  "})
    {
        caller.write("GET /read/x?/pay/ HTTP/1.1\r\n" + host + "\r\nx-id: a1\r\n\r\n");
        BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    }
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreServedForAnySegmentation)
{
    PatientFixture setup;
    TestCaller     caller(setup.gateway->port());
    std::string    all;
    for (int i = 0; i < 30; ++i)
    {
        const std::string id = "a" + std::to_string(i);
        if (i % 3 == 0)
            all += Fixture::request("/pay/x", id, "Transfer-Encoding: chunked\r\n", "POST") +
                   "3;x=1\r\nabc\r\n0\r\nX-T: 1\r\n\r\n";
        else if (i % 3 == 1)
            all += Fixture::request("/pay/x", id, "Content-Length: 300\r\n", "POST") + std::string(300, 'b');
        else
            all += Fixture::request("/read/x", id, "X-Long: " + std::string(1800, 'x') + "\r\n");
    }
    for (std::size_t at = 0, piece = 1; at < all.size(); at += piece, piece = 1 + (piece * 7 + at) % 997)
        caller.write(all.substr(at, piece));
    for (int i = 0; i < 30; ++i)
    {
        const std::string answer = caller.readAnswer();
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(answer.ends_with("for a" + std::to_string(i)));
    }
}

BOOST_AUTO_TEST_CASE(RaisedLimitsApplyToTheNextRequestOnAnOpenConnection)
{
    PatientFixture setup;
    TestCaller     caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    setup.configure(9000, 90'000);
    caller.write(Fixture::request("/read/x", "a2", "X-Long: " + std::string(8000, 'x') + "\r\n"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    caller.write(Fixture::request("/pay/x", "a3", "Content-Length: 80000\r\n", "POST") + std::string(80'000, 'b'));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(LoweredLimitsDoNotApplyToARequestAlreadyBegun)
{
    PatientFixture    setup;
    TestCaller        caller(setup.gateway->port());
    const std::string request =
        Fixture::request("/pay/x", "a1", "Content-Length: 40000\r\nX-Long: " + std::string(1000, 'x') + "\r\n", "POST");
    caller.write(request.substr(0, 500));
    std::this_thread::sleep_for(100ms);
    setup.configure(400, 1000);
    caller.write(request.substr(500) + std::string(40'000, 'b'));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstConfigurationRequestsGet503)
{
    PatientFixture setup(Fixture::echo, false);
    TestCaller     caller(setup.gateway->port());
    caller.write(Fixture::request("/read/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 503);
    // A list of servers without a deployment does not count as a configuration.
    setup.declared.instances = {{"i-1", "portal", "127.0.0.1", setup.server.port(), "dc", 3, false, {}}};
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    caller.write(Fixture::request("/read/x", "a2"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 503);
    setup.configure();
    caller.write(Fixture::request("/read/x", "a3"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(A3xxOr4xxWithoutTheServersSignatureIsNotPassedOn)
{
    for (const bool withId : {false, true})
    {
        for (const std::string head : {"301 Moved", "302 Found", "304 Not Modified", "400 Bad Request", "401 No",
                                       "403 No", "404 Not Found", "409 No", "413 Large", "431 Large"})
        {
            PatientFixture setup(
                [&](const std::string& request)
                {
                    return Script{"HTTP/1.1 " + head + "\r\n" +
                                  (withId ? "X-Id: " + fieldOf(request, "X-Id") + "\r\n" : "") +
                                  "Content-Length: 0\r\n\r\n"};
                });
            TestCaller caller(setup.gateway->port());
            caller.write(Fixture::request("/pay/x", "a1"));
            BOOST_TEST(statusOf(caller.readAnswer()) == 502, head << (withId ? " with the id" : ""));
        }
    }
}

BOOST_AUTO_TEST_CASE(A4xxWithoutTheServersSignatureIsRetriedWhenRepeatable)
{
    std::atomic<bool> rejects{false};
    PatientFixture    setup(
        [&](const std::string& request)
        {
            return rejects ? Script{"HTTP/1.1 404 Not Found\r\nX-Id: " + fieldOf(request, "X-Id") +
                                    "\r\nContent-Length: 0\r\n\r\n"}
                              : Fixture::echo(request);
        });
    TestCaller caller(setup.gateway->port());
    const auto expectSuccess = [&](int requests)
    {
        for (int i = 0; i < requests; ++i)
        {
            caller.write(Fixture::request("/read/x", "a" + std::to_string(i)));
            BOOST_TEST(statusOf(caller.readAnswer()) == 200);
        }
    };
    // The first requests fill the retry budget, and give the balancer experience with this server.
    expectSuccess(60);
    rejects = true;
    ScriptedServer healthy(Fixture::echo);
    setup.declared.instances.push_back({"i-2", "portal", "127.0.0.1", healthy.port(), "dc", 3, false, {}});
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    expectSuccess(8);
    BOOST_TEST(setup.server.requests().size() > 60U);
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstConfigurationLargeRequestsGet503)
{
    PatientFixture setup(Fixture::echo, false);
    TestCaller     head(setup.gateway->port());
    head.write(Fixture::request("/read/x", "a1", "X-Long: " + std::string(20'000, 'x') + "\r\n"));
    BOOST_TEST(statusOf(head.readAnswer()) == 503);
    TestCaller body(setup.gateway->port());
    body.write(Fixture::request("/pay/x", "a2", "Content-Length: 70000000\r\n", "POST"));
    BOOST_TEST(statusOf(body.readAnswer()) == 503);
}

BOOST_AUTO_TEST_CASE(AHeadBegunBeforeTheFirstConfigurationIsCheckedAgainstItsLimits)
{
    PatientFixture    setup(Fixture::echo, false);
    TestCaller        caller(setup.gateway->port());
    const std::string request = Fixture::request("/read/x", "a1", "X-Long: " + std::string(20'000, 'x') + "\r\n");
    caller.write(request.substr(0, 10'000));
    std::this_thread::sleep_for(100ms);
    setup.configure(32'768);
    caller.write(request.substr(10'000));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(EmptyLinesBetweenRequestsAreSkipped)
{
    PatientFixture setup;
    TestCaller     caller(setup.gateway->port());
    caller.write("\r\n" + Fixture::request("/read/x", "a1") + "\r\n");
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    caller.write("\r");
    std::this_thread::sleep_for(50ms);
    caller.write("\n" + Fixture::request("/read/x", "a2"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    // A connection that received only empty lines since its last answer counts as idle.
    caller.write("\r\n");
    std::this_thread::sleep_for(1200ms);
    caller.write(Fixture::request("/read/x", "a3"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(AnAbsoluteFormTargetIsAccepted)
{
    PatientFixture setup;
    TestCaller     caller(setup.gateway->port());
    caller.write(Fixture::request("http://a.example/read/x", "a1"));
    BOOST_TEST(statusOf(caller.readAnswer()) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

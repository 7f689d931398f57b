#include "standins/BackendStandIn.hpp"
#include "support/FakeStore.hpp"

#include <sailpath/adapters/http/Ingress.hpp>
#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>
#include <sailpath/entry/Proxy.hpp>
#include <sailpath/entry/SteadyClock.hpp>

#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <atomic>
#include <fstream>
#include <thread>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using adapters::net::TcpSocket;
using standins::BackendBehaviour;
using standins::BackendStandIn;

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
/// \brief Ingress and proxy in the test process, in front of simulated backend servers
////////////////////////////////////////////////////////////
struct Fixture
{
    Fixture()
    {
        adapters::http::IngressSettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.workers = 32;
        settings.headTimeout = 300ms;
        settings.transferIdleTimeout = 1s;
        ingress.emplace(settings, proxy);
        ticker = std::thread(
            [this]
            {
                while (!stopping)
                {
                    std::this_thread::sleep_for(2ms);
                    sharedDispatcher.tick();
                }
            });
    }

    ~Fixture()
    {
        stopping = true;
        ticker.join();
        ingress.reset();
    }

    ////////////////////////////////////////////////////////////
    /// \brief Configure servers for the host `portal.admissa`
    ////////////////////////////////////////////////////////////
    void configureServers(const std::vector<std::uint16_t>& ports)
    {
        config::Service service;
        service.name = "portal";
        service.routes = {{"/", {"GET", "HEAD"}, true, config::Priority::Interactive}};
        service.retry.budget = 1;
        for (const std::uint16_t port : ports)
            service.servers.push_back({"s" + std::to_string(port), "127.0.0.1", port, "", 3, 200});
        sharedDispatcher.with(
            [&](node::Dispatcher& dispatcher) {
                dispatcher.configure({"admissa", 0, {service}}, entry::steadyNow());
            });
    }

    [[nodiscard]] httplib::Client client() const
    {
        httplib::Client made("127.0.0.1", ingress->port());
        made.set_default_headers({{"Host", "portal.admissa"}});
        made.set_read_timeout(20s);
        made.set_decompress(false);
        made.set_url_encode(false);
        return made;
    }

    ////////////////////////////////////////////////////////////
    /// \brief Send raw bytes and read until the connection closes or is idle for `silence`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string sendRaw(const std::string& bytes, core::Duration silence = 2s) const
    {
        const TcpSocket socket = TcpSocket::connect("127.0.0.1", ingress->port(), 1s);
        (void)socket.write(bytes, 1s);
        std::string             answer;
        std::array<char, 65536> buffer{};
        for (auto read = socket.read(buffer, silence); read.status == adapters::net::IoStatus::Done;
             read = socket.read(buffer, silence))
            answer.append(buffer.data(), read.bytes);
        return answer;
    }

    NullLog                                log;
    entry::SharedDispatcher                sharedDispatcher{{}};
    adapters::http::BackendClient          backend{200ms, 5s};
    metrics::TrafficMetrics                metrics;
    support::FakeStore                     store;
    entry::ClaimBatcher                    claims{store, [] { return core::Duration{0}; }};
    entry::Proxy                           proxy{"vm-1", sharedDispatcher, backend, claims, metrics, log};
    std::optional<adapters::http::Ingress> ingress;
    std::atomic<bool>                      stopping{false};
    std::thread                            ticker;
};

////////////////////////////////////////////////////////////
/// \brief Get the peak resident memory of this process in kilobytes
////////////////////////////////////////////////////////////
long peakMemoryKilobytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmHWM:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Proxy, Fixture)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(answersAreForwardedWithTheirRequestId)
{
    const BackendStandIn server("s", 0, {});
    configureServers({server.port()});
    const auto answer =
        client().Get("/status/7?q=%20x", {{"X-Request-Id", "mine-1"}, {"Connection", "x-private"}, {"X-Private", "1"}});
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->get_header_value("X-Request-Id") == "mine-1");
    BOOST_TEST(answer->body.find("/status/7") != std::string::npos);
    BOOST_TEST(!answer->has_header("Sailpath-Load"));
    BOOST_TEST(server.lastHeader("X-Forwarded-For") == "127.0.0.1");
    BOOST_TEST(server.lastHeader("X-Request-Id") == "mine-1.1");
    BOOST_TEST(server.lastHeader("X-Private").empty());
    BOOST_TEST(!server.lastHeader("Sailpath-Deadline-Ms").empty());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(allMethodsAndBodiesAreForwarded)
{
    const BackendStandIn server("s", 0, {});
    configureServers({server.port()});
    auto              http = client();
    const std::string large(300'000, 'x');
    BOOST_TEST(http.Post("/a", large, "application/octet-stream")->body.find("\"received\":300000") !=
               std::string::npos);
    BOOST_TEST(http.Put("/a", "12", "text/plain")->body.find("\"received\":2") != std::string::npos);
    BOOST_TEST(http.Patch("/a", "1", "text/plain")->status == 200);
    BOOST_TEST(http.Delete("/a")->status == 200);
    BOOST_TEST(http.Options("/a")->status == 200);
    BOOST_TEST(http.Head("/a")->status == 200);
    BOOST_TEST(http.Post("/a")->status == 200);
    const auto chunked =
        sendRaw("POST /c HTTP/1.1\r\nHost: portal.admissa\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
    BOOST_TEST(chunked.find("\"received\":11") != std::string::npos);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(bodiesAreForwardedUnchanged)
{
    const BackendStandIn server("s", 0, {});
    configureServers({server.port()});
    // The server decodes the body; decoding fails if the proxy has already decoded the body.
    auto http = client();
    http.set_compress(true);
    const auto answer = http.Post("/a", {{"X-Value", "50%25"}}, std::string(700'000, 'z'), "text/plain");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->body.find("\"received\":700000") != std::string::npos);
    BOOST_TEST(server.lastHeader("Content-Encoding") == "gzip");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(truncatedAnswersAreNeverReportedAsComplete)
{
    const BackendStandIn server("s", 0, {.work = 100us, .cutAnswer = true});
    configureServers({server.port()});
    for (const bool chunked : {false, true})
    {
        const BackendStandIn cutting("s", 0,
                                     {.work = 100us, .cutAnswer = true, .bodyBytes = 200'000, .chunked = chunked});
        configureServers({cutting.port()});
        const std::string answer = sendRaw("GET /a HTTP/1.1\r\nHost: portal.admissa\r\n\r\n");
        BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
        BOOST_TEST(answer.size() < 200'000U);
        const auto parsed = client().Get("/a");
        BOOST_TEST(!parsed);
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(lostAnswersAreReportedAsUnknownAndNotRetried)
{
    const BackendStandIn first("s", 0, {.work = 100us, .dropAnswer = true});
    const BackendStandIn second("s", 0, {.work = 100us, .dropAnswer = true});
    configureServers({first.port(), second.port()});
    auto http = client();
    for (int i = 0; i < 10; ++i)
    {
        const std::string operation = "fee-" + std::to_string(i);
        const auto        answer = http.Post("/fees", {{"Operation", operation}}, "{}", "application/json");
        BOOST_REQUIRE(answer);
        BOOST_TEST(answer->status == 502);
        BOOST_TEST(answer->get_header_value("Sailpath-Ran") == "unknown");
        BOOST_TEST(answer->get_header_value("Sailpath-Retry") == "never");
        BOOST_TEST(first.executions(operation) + second.executions(operation) == 1U);
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unsentRequestsAreRefusedAsNotRun)
{
    std::uint16_t port = 0;
    {
        const BackendStandIn gone("s", 0, {});
        port = gone.port();
    }
    configureServers({port});
    const auto answer = client().Post("/fees", "{}", "application/json");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->get_header_value("Sailpath-Ran") == "not-run");
    BOOST_TEST(answer->has_header("Retry-After"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(failuresOfOneServerAreRetriedOnAnother)
{
    const BackendStandIn bad("s", 0, {.reject = true});
    const BackendStandIn good("s", 0, {.work = 100us});
    configureServers({bad.port(), good.port()});
    auto http = client();
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(http.Get("/a")->status == 200);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(unresponsiveServersTimeOutAtTheDeadline)
{
    const BackendStandIn slow("s", 0, {.work = 3s});
    configureServers({slow.port()});
    const auto start = std::chrono::steady_clock::now();
    const auto answer = client().Get("/a", {{"Sailpath-Deadline-Ms", "200"}});
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->get_header_value("Sailpath-Ran") == "unknown");
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(callerDisconnectCancelsTheServerRequest)
{
    const BackendStandIn server("s", 0, {.work = 100us, .bodyBytes = 4'000'000'000, .chunked = true});
    configureServers({server.port()});
    {
        const TcpSocket socket = TcpSocket::connect("127.0.0.1", ingress->port(), 1s);
        (void)socket.write(std::string("GET /a HTTP/1.1\r\nHost: portal.admissa\r\n\r\n"), 1s);
        std::array<char, 1000> buffer{};
        (void)socket.read(buffer, 5s);
    }
    for (int i = 0; i < 500 && server.cancelled() == 0; ++i)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(server.cancelled() == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(callerDisconnectIsDetectedWhileWaitingForTheServer)
{
    const BackendStandIn server("s", 0, {.work = 1s});
    configureServers({server.port()});
    {
        const TcpSocket socket = TcpSocket::connect("127.0.0.1", ingress->port(), 1s);
        (void)socket.write(std::string("GET /a HTTP/1.1\r\nHost: portal.admissa\r\n\r\n"), 1s);
        std::this_thread::sleep_for(50ms);
    }
    for (int i = 0; i < 500 && ingress->counters().callerDisconnects == 0; ++i)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(ingress->counters().callerDisconnects == 1U);
    BOOST_TEST(ingress->counters().serving == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(largeAnswersAreStreamedInBoundedMemory)
{
    constexpr std::uint64_t size = 200'000'000;
    const BackendStandIn    server("s", 0, {.work = 100us, .bodyBytes = size});
    configureServers({server.port()});
    (void)client().Get("/warm", [](const char*, std::size_t) { return false; });
    const long    before = peakMemoryKilobytes();
    std::uint64_t received = 0;
    const auto    answer = client().Get("/a",
                                        [&](const char*, std::size_t length)
                                        {
                                         received += length;
                                         return true;
                                     });
    BOOST_REQUIRE(answer);
    BOOST_TEST(received == size);
    BOOST_TEST(peakMemoryKilobytes() - before < 16'000);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(malformedRequestsAreRefusedAndTheConnectionClosed)
{
    const BackendStandIn server("s", 0, {});
    configureServers({server.port()});
    const std::string smuggled =
        sendRaw("POST /a HTTP/1.1\r\nHost: portal.admissa\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /b HTTP/1.1\r\nHost: portal.admissa\r\n\r\n");
    BOOST_TEST(smuggled.find("HTTP/1.1 400") == 0U);
    BOOST_TEST(smuggled.find("HTTP/1.1", 1) == std::string::npos);
    BOOST_TEST(sendRaw("GET /" + std::string(40'000, 'a')).find("HTTP/1.1 431") == 0U);
    BOOST_TEST(sendRaw("GET /a HTT").find("HTTP/1.1 408") == 0U);
    BOOST_TEST(sendRaw("GET /a HTTP/1.1\r\nHost: other.place\r\nConnection: close\r\n\r\n").find("HTTP/1.1 404") == 0U);
    BOOST_TEST(server.executions() == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(pipelinedRequestsGetTheirOwnAnswersInOrder)
{
    const BackendStandIn server("s", 0, {.work = 100us});
    configureServers({server.port()});
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += "GET /n/" + std::to_string(i) + " HTTP/1.1\r\nHost: portal.admissa\r\n" +
                    (i == 19 ? "Connection: close\r\n" : "") + "\r\n";
    const std::string answers = sendRaw(requests);
    std::size_t       position = 0;
    for (int i = 0; i < 20; ++i)
    {
        position = answers.find("\"path\":\"/n/" + std::to_string(i) + "\"", position);
        BOOST_REQUIRE(position != std::string::npos);
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(requestsBeyondCapacityAreRefusedAsNotRun)
{
    const BackendStandIn server("s", 0, {.work = 2s, .slots = 100});
    configureServers({server.port()});
    std::vector<std::thread> callers;
    std::atomic<int>         refused{0};
    std::atomic<int>         withTime{0};
    callers.reserve(60);
    for (int i = 0; i < 60; ++i)
        callers.emplace_back(
            [&]
            {
                const auto answer = client().Post("/a", "{}", "text/plain");
                if (answer && (answer->status == 503 || answer->status == 429))
                {
                    ++refused;
                    withTime +=
                        answer->has_header("Retry-After") && answer->get_header_value("Sailpath-Ran") == "not-run" ? 1
                                                                                                                   : 0;
                }
            });
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(refused > 0);
    BOOST_TEST(refused == withTime);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(plannedStopCompletesRequestsInFlight)
{
    const BackendStandIn server("s", 0, {.work = 300ms, .slots = 20});
    configureServers({server.port()});
    std::atomic<int>         answered{0};
    std::vector<std::thread> callers;
    callers.reserve(10);
    for (int i = 0; i < 10; ++i)
        callers.emplace_back(
            [&]
            {
                const auto answer = client().Get("/a");
                answered +=
                    answer && answer->status == 200 && answer->get_header_value("Connection") == "close" ? 1 : 0;
            });
    while (ingress->counters().serving < 3)
        std::this_thread::sleep_for(1ms);
    ingress->disableKeepAlive();
    BOOST_TEST(ingress->drain(20s));
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(answered >= 3);
    BOOST_TEST(ingress->counters().open == 0U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(duplicatesOfAKeyedRequestRunOnce)
{
    const BackendStandIn server("s", 0, {.work = 20ms, .slots = 50});
    configureServers({server.port()});
    std::atomic<int>         answered{0};
    std::atomic<int>         duplicates{0};
    std::vector<std::thread> callers;
    callers.reserve(24);
    for (int i = 0; i < 24; ++i)
        callers.emplace_back(
            [&, i]
            {
                const std::string operation = "fee-" + std::to_string(i % 6);
                const auto answer = client().Post("/fees", {{"Idempotency-Key", operation}, {"Operation", operation}},
                                                  "{}", "text/plain");
                answered += answer && answer->status == 200 ? 1 : 0;
                duplicates += answer && answer->status == 409 ? 1 : 0;
            });
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(answered == 6);
    BOOST_TEST(duplicates == 18);
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(server.executions("fee-" + std::to_string(i)) == 1U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(withoutTheStoreKeyedRequestsAreRefusedAsNotRun)
{
    const BackendStandIn server("s", 0, {.work = 100us});
    configureServers({server.port()});
    auto http = client();
    store.faults = {support::WriteFault::LostAnswer};
    BOOST_TEST(http.Post("/fees", {{"Idempotency-Key", "a"}}, "{}", "text/plain")->status == 200);
    store.down = true;
    const auto refused = http.Post("/fees", {{"Idempotency-Key", "b"}}, "{}", "text/plain");
    BOOST_TEST(refused->get_header_value("Sailpath-Reason") == "claims-unavailable");
    BOOST_TEST(refused->get_header_value("Sailpath-Ran") == "not-run");
    BOOST_TEST(refused->has_header("Retry-After"));
    BOOST_TEST(server.executions() == 1U);
    BOOST_TEST(http.Post("/fees", "{}", "text/plain")->status == 200);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(requestsThatDidNotRunMayReuseTheirKey)
{
    std::uint16_t port = 0;
    {
        const BackendStandIn gone("s", 0, {});
        port = gone.port();
    }
    configureServers({port});
    auto http = client();
    for (int i = 0; i < 2; ++i)
    {
        const auto answer = http.Post("/fees", {{"Idempotency-Key", "a"}}, "{}", "text/plain");
        BOOST_TEST(answer->get_header_value("Sailpath-Ran") == "not-run");
        for (int wait = 0; wait < 500 && claims.pendingReleases() > 0; ++wait)
            std::this_thread::sleep_for(2ms);
    }
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(forwardedFailuresForbidRetriesByTheCaller)
{
    const BackendStandIn bad("s", 0, {.reject = true});
    configureServers({bad.port()});
    const auto answer = client().Get("/a");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 500);
    BOOST_TEST(answer->get_header_value("Sailpath-Retry") == "never");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(callersThatSendTheirBodyTooSlowlyAreDisconnected)
{
    const BackendStandIn server("s", 0, {});
    configureServers({server.port()});
    const TcpSocket socket = TcpSocket::connect("127.0.0.1", ingress->port(), 1s);
    (void)socket.write(std::string("POST /a HTTP/1.1\r\nHost: portal.admissa\r\nContent-Length: 60000\r\n\r\n"), 1s);
    int bytes = 0;
    for (; bytes < 200 && socket.isIdle(); ++bytes)
    {
        (void)socket.write(std::string("x"), 1s);
        std::this_thread::sleep_for(50ms);
    }
    BOOST_TEST(bytes < 200);
    // The slot of the request is released although the caller continues to send.
    for (int i = 0; i < 100 && ingress->counters().serving > 0; ++i)
    {
        (void)socket.write(std::string("x"), 1s);
        std::this_thread::sleep_for(50ms);
    }
    BOOST_TEST(ingress->counters().serving == 0U);
    BOOST_TEST(server.executions() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

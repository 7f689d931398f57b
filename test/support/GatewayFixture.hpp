#pragma once

#include <sailpath/gateway/Gateway.hpp>

#include <support/ScriptedServer.hpp>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace sailpath::support
{
using namespace std::chrono_literals;

////////////////////////////////////////////////////////////
/// \brief Event log that keeps all events as text, one line each
////////////////////////////////////////////////////////////
class TextLog : public ports::EventLog
{
public:
    [[nodiscard]] bool writes(ports::Level) const override
    {
        return true;
    }

    void write(ports::Level, std::string_view event, std::initializer_list<ports::Field> fields) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        text.append(event);
        for (const ports::Field& field : fields)
            text.append(" ").append(field.key).append("=").append(field.value);
        text.append("\n");
    }

    std::mutex  mutex;
    std::string text;
};

////////////////////////////////////////////////////////////
inline gateway::Dialect testDialect()
{
    gateway::Dialect dialect;
    dialect.requestId = "X-Id";
    dialect.deadlineMs = "X-Left";
    dialect.targetInstance = "X-Instance";
    dialect.instanceId = "X-Who";
    dialect.signature = "X-Mark";
    dialect.notExecuted = "X-Not-Run";
    dialect.load = "X-Load";
    dialect.warmUpMs = "X-Warm-Up";
    dialect.key = "X-Key";
    dialect.workspace = "X-Workspace";
    dialect.limits = {"X-Limit", "Limit"};
    dialect.parseLimit = [](std::string_view text)
    {
        return text.find_first_not_of("0123456789.") == text.npos ? std::optional(std::stod(std::string(text)))
                                                                  : std::nullopt;
    };
    dialect.leaving = {"X-Leaving", "Leaving"};
    dialect.parseLeaving = [](std::string_view text) { return text == "yes"; };
    dialect.readinessPath = "/ready";
    return dialect;
}

////////////////////////////////////////////////////////////
/// \brief A gateway on a thread of its own, in front of one scripted server
////////////////////////////////////////////////////////////
struct Fixture
{
    explicit Fixture(ScriptedServer::Answer answer = echo, bool configured = true,
                     core::Duration routeTimeout = core::Duration(700ms), std::size_t callerLimit = 3000,
                     std::uint64_t bufferedBytes = 140'000) :
    server(std::move(answer)),
    timeout(routeTimeout)
    {
        gateway::GatewaySettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.readinessListen = {"127.0.0.1", 0};
        settings.balance.dataCentre = "dc";
        settings.balance.retryExtra = 100;
        settings.maxBufferedBytes = bufferedBytes;
        settings.maxCallers = callerLimit;
        gateway.emplace(context, settings, dialect, log);
        if (configured)
            configure();
        thread = std::thread([this] { context.run(); });
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    void configure(std::uint32_t headBytes = 2000, std::uint64_t bodyBytes = 50'000)
    {
        auto deployment = std::make_shared<deployment::Deployment>();
        deployment->version = declared.deployment ? declared.deployment->version + 1 : 1;
        for (const auto& [host, repeatable] :
             {std::pair("a.example", true), std::pair("a.example", false), std::pair("b.example", false)})
        {
            deployment::HostRoute route;
            route.name = std::string(repeatable ? "read-" : "pay-") + host;
            route.host = host;
            route.pathPrefix = repeatable ? "/read/" : "/pay/";
            route.repeatable = repeatable;
            route.timeout = timeout;
            route.targetLatency = timeout * 3 / 7;
            route.attempts = 2;
            route.parts = {{"portal", 1}};
            deployment->routes.push_back(route);
        }
        deployment->services = {{"portal", "", 0}};
        deployment->limits.headTime = 600ms;
        deployment->limits.idleTime = 1500ms;
        deployment->limits.headBytes = headBytes;
        deployment->limits.bodyBytes = bodyBytes;
        declared.deployment = deployment;
        declared.instances = {{"i-1", "portal", "127.0.0.1", server.port(), "dc", slots, false, {}}};
        onLoop([this] { gateway->configure(declared); });
    }

    void onLoop(const std::function<void()>& work)
    {
        if (!thread.joinable())
            return work();
        std::promise<void> done;
        asio::post(context,
                   [&]
                   {
                       work();
                       done.set_value();
                   });
        done.get_future().wait();
    }

    static std::string request(const std::string& path, const std::string& id, const std::string& headerLines = {},
                               const std::string& method = "GET")
    {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Id: " + id + "\r\nX-Left: 5000\r\n" +
               headerLines + "\r\n";
    }

    static std::string okAnswer(const std::string& id, const std::string& body, const std::string& headerLines = {})
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Mark: m\r\n" + headerLines +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static Script echo(const std::string& request)
    {
        return {okAnswer(fieldOf(request, "X-Id"), "for " + fieldOf(request, "X-Id"))};
    }

    TextLog                         log;
    gateway::Dialect                dialect{testDialect()};
    ScriptedServer                  server;
    core::Duration                  timeout;
    unsigned                        slots{3}; //!< Requests that the server runs at once
    asio::io_context                context{1};
    std::optional<gateway::Gateway> gateway;
    deployment::DeclaredState       declared;
    std::thread                     thread;
};

/// \brief Fixture with a long route timeout, for tests that must pass on a busy machine
struct PatientFixture : Fixture
{
    explicit PatientFixture(ScriptedServer::Answer answer = echo, bool configured = true) :
    Fixture(std::move(answer), configured, 10s)
    {
    }
};

////////////////////////////////////////////////////////////
inline int statusOf(const std::string& answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

} // namespace sailpath::support

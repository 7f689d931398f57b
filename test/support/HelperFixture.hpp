#pragma once

#include <sailpath/adapters/links/LinkHub.hpp>

#include <support/GatewayFixture.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief A free port of 127.0.0.1
////////////////////////////////////////////////////////////
inline std::uint16_t freePort()
{
    asio::io_context              context;
    const asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}

////////////////////////////////////////////////////////////
/// \brief Get a port of 127.0.0.1 that refuses connections and that no other process gets
////////////////////////////////////////////////////////////
inline std::uint16_t refusingPort()
{
    static asio::io_context                   context;
    static std::vector<asio::ip::tcp::socket> bound; // Not listening
    bound.emplace_back(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return bound.back().local_endpoint().port();
}

////////////////////////////////////////////////////////////
/// \brief Another node, which reaches the server of a `Fixture`
////////////////////////////////////////////////////////////
struct Helper
{
    explicit Helper(Fixture& fixture, bool reachesServer = true, std::string zone = "dc") :
    port(freePort()),
    dataCentre(std::move(zone))
    {
        gateway::GatewaySettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.readinessListen = {"127.0.0.1", 0};
        settings.balance.dataCentre = dataCentre;
        gateway.emplace(context, settings, fixture.dialect, log);
        hub.emplace(context, adapters::settings::Endpoint{"127.0.0.1", port},
                    adapters::links::LinkEvents{[](auto) {}, [](auto) {}, [](auto, const auto&) {}, [](auto) {},
                                                [this](adapters::links::TunnelRequest request)
                                                {
                                                    ++asked;
                                                    gateway->serveTunnel(std::move(request));
                                                }});
        auto declared = fixture.declared;
        if (!reachesServer)
            declared.instances[0].port = refusingPort();
        gateway->configure(declared);
        thread = std::thread([this] { context.run(); });
    }

    ~Helper()
    {
        stop();
    }

    Helper(const Helper&) = delete;
    Helper& operator=(const Helper&) = delete;

    /// \brief Hear a second server, which has the address of the fixture's
    void hearServerOf(Fixture& fixture)
    {
        auto declared = fixture.declared;
        declared.instances[0].port = refusingPort();
        declared.instances.push_back({"i-2", "portal", "127.0.0.1", fixture.server.port(), "dc", 3, false, {}});
        std::promise<std::uint16_t> callersPort;
        asio::post(context,
                   [&]
                   {
                       gateway->configure(declared);
                       callersPort.set_value(gateway->port());
                   });
        TestCaller caller(callersPort.get_future().get());
        caller.write(Fixture::request("/read/1", "heard"));
        BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    }

    void stop() //!< End at once, as a killed process does
    {
        if (!thread.joinable())
            return;
        asio::post(context,
                   [this]
                   {
                       hub.reset();
                       gateway.reset();
                       context.stop();
                   });
        thread.join();
    }

    [[nodiscard]] std::size_t tunnels() //!< Open ones
    {
        std::promise<std::size_t> count;
        asio::post(context, [&] { count.set_value(gateway->unfinishedRequests()); });
        return count.get_future().get();
    }

    [[nodiscard]] deployment::Peer peer() const
    {
        return {"127.0.0.1:" + std::to_string(port), dataCentre};
    }

    TextLog                                 log;
    std::uint16_t                           port;
    std::string                             dataCentre;
    asio::io_context                        context{1};
    std::optional<gateway::Gateway>         gateway;
    std::optional<adapters::links::LinkHub> hub;
    std::atomic<unsigned>                   asked{0};
    std::thread                             thread;
};

////////////////////////////////////////////////////////////
/// \brief Let the gateway of a fixture lose its path to the server and know the helpers
////////////////////////////////////////////////////////////
inline void losePath(Fixture& fixture, const std::vector<const Helper*>& helpers)
{
    fixture.declared.instances[0].port = refusingPort();
    for (const Helper* helper : helpers)
        fixture.declared.peers.push_back(helper->peer());
    fixture.onLoop([&] { fixture.gateway->configure(fixture.declared); });
}

////////////////////////////////////////////////////////////
inline std::string ask(Fixture& fixture, const std::string& request)
{
    TestCaller caller(fixture.gateway->port());
    caller.write(request);
    return caller.readAnswer();
}

////////////////////////////////////////////////////////////
template <typename Condition>
bool waitFor(Condition condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace sailpath::support

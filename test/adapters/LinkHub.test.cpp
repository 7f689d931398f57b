#include <sailpath/adapters/links/LinkHub.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <sailpath/core/Random.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using adapters::links::LinkHub;
using adapters::links::LinkMessage;
using replication::LinkId;

////////////////////////////////////////////////////////////
/// \brief A free port of 127.0.0.1
////////////////////////////////////////////////////////////
std::uint16_t freePort()
{
    asio::io_context              context;
    const asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}

////////////////////////////////////////////////////////////
/// \brief A hub and what it told
////////////////////////////////////////////////////////////
struct Side
{
    explicit Side(asio::io_context& loop, std::uint16_t where) :
    hub(loop, {"127.0.0.1", where},
        {[this](LinkId link) { opened = link; }, [this](LinkId link) { closed = link; },
         [this](LinkId link, const LinkMessage& message)
         {
             from = link;
             got.push_back(message);
         }})
    {
    }

    std::optional<LinkId>    opened;
    std::optional<LinkId>    closed;
    std::optional<LinkId>    from;
    std::vector<LinkMessage> got;
    LinkHub                  hub;
};

////////////////////////////////////////////////////////////
template <typename Condition>
bool runUntil(asio::io_context& context, Condition condition)
{
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < until)
        context.run_one_for(50ms);
    return condition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkHubTest)

BOOST_AUTO_TEST_CASE(MessagesTravelBothWaysAndAnEndIsTold)
{
    asio::io_context    context;
    const std::uint16_t port = freePort();
    Side                far(context, port);
    Side                near(context, 0);
    near.hub.open(1, "127.0.0.1:" + std::to_string(port));
    BOOST_TEST(runUntil(context, [&] { return near.opened.has_value(); }));
    near.hub.send(1, replication::Hello{{"10.0.0.1:1", "dc", 0, 0}, 7});
    BOOST_TEST(runUntil(context, [&] { return far.got.size() == 1; }));
    replication::Update update;
    update.at = 9;
    update.items = {{"k", std::string(300'000, 'x'), 3, false}};
    far.hub.send(*far.from, update);
    BOOST_TEST(runUntil(context, [&] { return near.got.size() == 1; }));
    BOOST_TEST(std::get<replication::Update>(near.got[0]).items[0].value.size() == 300'000U);
    near.hub.close(1);
    BOOST_TEST(runUntil(context, [&] { return far.closed.has_value(); }));
    BOOST_TEST(!near.closed);
}

BOOST_AUTO_TEST_CASE(ADeadPortIsTold)
{
    asio::io_context context;
    Side             near(context, 0);
    near.hub.open(1, "127.0.0.1:" + std::to_string(freePort()));
    BOOST_TEST(runUntil(context, [&] { return near.closed.has_value(); }));
}

BOOST_AUTO_TEST_CASE(APeerThatDoesNotReadIsDroppedBeforeItCostsMuchMemory)
{
    asio::io_context      context;
    const std::uint16_t   port = freePort();
    Side                  relay(context, port);
    asio::ip::tcp::socket peer(context);
    peer.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(peer, asio::buffer(adapters::links::encode(replication::Hello{{"10.0.0.1:1", "dc", 0, 0}, 0})));
    BOOST_TEST(runUntil(context, [&] { return relay.from.has_value(); }));
    replication::Update update;
    update.at = 1;
    // Not to be packed into fewer bytes.
    core::Random random(1);
    std::string  value;
    while (value.size() < 500'000)
        value += static_cast<char>(random.below(256));
    update.items = {{"k", value, 1, false}};
    int sent = 0;
    while (!relay.closed && sent < 100)
    {
        relay.hub.send(*relay.from, update);
        ++sent;
        context.poll();
    }
    BOOST_TEST(relay.closed.has_value());
    BOOST_TEST(sent < 40); // What the system's buffers take, and 2 MB
}

// Guards against memory that grows with the number of peers whose messages do not end.
BOOST_AUTO_TEST_CASE(UnfinishedMessagesOfAllPeersAreBoundedTogether)
{
    asio::io_context    context;
    const std::uint16_t port = freePort();
    Side                hub(context, port);
    // A length of 60 MB, which one message may have.
    const std::string   announced("\x00\x00\xc0\x03", 4);
    const std::string   part(40UL << 20U, 'x');

    std::vector<std::unique_ptr<asio::ip::tcp::socket>> peers;
    std::size_t                                         written = 0;
    for (int i = 0; i < 3; ++i)
    {
        auto peer = std::make_unique<asio::ip::tcp::socket>(context);
        peer->connect({asio::ip::make_address("127.0.0.1"), port});
        peer->non_blocking(true);
        const std::string all = announced + part;
        std::string_view  left = all;
        asio::error_code  error;
        while (!left.empty() && (!error || error == asio::error::would_block))
        {
            const std::size_t count = peer->write_some(asio::buffer(left), error);
            left.remove_prefix(count);
            written += count;
            context.poll();
        }
        peers.push_back(std::move(peer));
    }
    BOOST_TEST(runUntil(context, [&] { return hub.closed.has_value(); }));
    BOOST_TEST(written < (100UL << 20U));
}

BOOST_AUTO_TEST_SUITE_END()

#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/adapters/peers/KeyProof.hpp>
#include <sailpath/adapters/peers/PeerLoop.hpp>

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using adapters::peers::PeerLoop;

////////////////////////////////////////////////////////////
/// \brief Remembers what happened and lets a test wait for it
////////////////////////////////////////////////////////////
class Recorder : public adapters::peers::PeerEvents
{
public:
    node::Digest exchangeReceived(const node::Digest& digest) override
    {
        note("received " + digest.from.name);
        node::Digest answer;
        answer.from.name = "answer-to-" + digest.from.name;
        answer.revision = digest.revision + 1;
        answer.claims = digest.claims;
        answer.reports = digest.reports;
        return answer;
    }

    state::DocumentBatch documentsSince(std::uint64_t revision) override
    {
        return {{{"admissa", std::string(300'000, 'x'), revision + 1, false}}, true};
    }

    void exchanged(const node::Digest& answer) override
    {
        note("exchanged " + answer.from.name + " " + std::to_string(answer.revision) + " " +
             std::to_string(answer.claims.size()) + " " + std::to_string(answer.reports.size()));
    }

    void exchangeFailed(const std::string& peer) override
    {
        note("failed " + peer);
    }

    void documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch) override
    {
        note("documents " + peer.name + " " + std::to_string(batch.documents.front().revision) + " " +
             std::to_string(batch.documents.front().text.size()));
    }

    void pullFailed(const std::string& peer) override
    {
        note("pull-failed " + peer);
    }

    void tick() override
    {
        note("tick");
    }

    bool waitFor(const std::string& event)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_wake.wait_for(lock, 20s,
                               [&] { return std::find(m_seen.begin(), m_seen.end(), event) != m_seen.end(); });
    }

private:
    void note(const std::string& event)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_seen.push_back(event);
        m_wake.notify_all();
    }

    std::mutex               m_mutex; //!< Guards the list
    std::condition_variable  m_wake;  //!< Signals an event
    std::vector<std::string> m_seen;  //!< Events so far
};

////////////////////////////////////////////////////////////
/// \brief A port that is free at present
////////////////////////////////////////////////////////////
std::uint16_t freePort()
{
    static std::uint16_t next = 21'000;
    while (adapters::net::TcpSocket::connect("127.0.0.1", ++next, 100ms).isOpen())
    {
    }
    return next;
}

////////////////////////////////////////////////////////////
struct Peer
{
    explicit Peer(const std::string& key, std::uint16_t listen = freePort()) :
    port(listen),
    loop({{"127.0.0.1", listen}, key, 1s, 20ms, 8}, events),
    thread([this] { loop.run(); })
    {
        BOOST_REQUIRE(events.waitFor("tick"));
    }

    ~Peer()
    {
        loop.stop();
        thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::uint16_t port;
    Recorder      events;
    PeerLoop      loop;
    std::thread   thread;
};

////////////////////////////////////////////////////////////
node::ExchangeWith exchangeWith(const Peer& peer, const char* name)
{
    node::ExchangeWith action{"peer", peer.address(), {}};
    action.digest.from.name = name;
    action.digest.revision = 41;
    action.digest.claims.resize(3);
    action.digest.reports.resize(2);
    return action;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLoopTests)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(peersExchangeDigestsAndDocuments)
{
    Peer left("secret");
    Peer right("secret");
    BOOST_TEST(left.loop.call([&] { left.loop.exchange(exchangeWith(right, "left")); }));
    BOOST_TEST(left.events.waitFor("exchanged answer-to-left 42 3 2"));
    BOOST_TEST(left.loop.call([&] { left.loop.pull({"right", right.address(), 6}); }));
    BOOST_TEST(left.events.waitFor("documents right 7 300000"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aWrongKeyOpensNothing)
{
    Peer left("guess");
    Peer right("secret");
    BOOST_TEST(left.loop.call([&] { left.loop.exchange(exchangeWith(right, "left")); }));
    BOOST_TEST(left.events.waitFor("failed peer"));
    BOOST_TEST(left.loop.call([&] { left.loop.pull({"right", right.address(), 6}); }));
    BOOST_TEST(left.events.waitFor("pull-failed right"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aPeerThatIsGoneIsNoticed)
{
    Peer left("secret");
    auto action = exchangeWith(left, "left");
    action.address = "127.0.0.1:" + std::to_string(freePort());
    BOOST_TEST(left.loop.call([&] { left.loop.exchange(action); }));
    BOOST_TEST(left.events.waitFor("failed peer"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(hostileBytesDoNoHarm)
{
    Peer right("secret");
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100'000, '\xff'), std::string(64, '\0')})
    {
        const auto socket = adapters::net::TcpSocket::connect("127.0.0.1", right.port, 1s);
        BOOST_REQUIRE(socket.isOpen());
        (void)socket.write(bytes, 1s);
    }
    Peer left("secret");
    BOOST_TEST(left.loop.call([&] { left.loop.exchange(exchangeWith(right, "left")); }));
    BOOST_TEST(left.events.waitFor("exchanged answer-to-left 42 3 2"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(proofsFitOnlyTheirChallenge)
{
    using namespace adapters::peers;
    const std::string nonce = makeNonce();
    BOOST_TEST(checkProof("key", nonce, proveKey("key", nonce)));
    BOOST_TEST(!checkProof("key", makeNonce(), proveKey("key", nonce)));
    BOOST_TEST(!checkProof("key", nonce, proveKey("other", nonce)));
    BOOST_TEST(!checkProof("key", nonce, ""));
}

BOOST_AUTO_TEST_SUITE_END()

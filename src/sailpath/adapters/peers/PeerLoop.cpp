#include <sailpath/adapters/peers/PeerLoop.hpp>

#include "PeerServer.hpp"
#include "Translation.hpp"

#include <sailpath/adapters/peers/KeyProof.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/debug.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace sailpath::adapters::peers
{
namespace
{
constexpr std::size_t mostLinks = 64; // Outgoing connections kept open

////////////////////////////////////////////////////////////
capnp::ReaderOptions boundedMessages()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 1024UL * 1024; // 8 MB, above the largest batch of documents
    options.nestingLimit = 16;
    return options;
}

////////////////////////////////////////////////////////////
kj::Duration toKj(core::Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

////////////////////////////////////////////////////////////
/// \brief An outgoing connection and the capability at its end
////////////////////////////////////////////////////////////
struct Link
{
    explicit Link(kj::Own<kj::AsyncIoStream> connected) :
    stream(kj::mv(connected)),
    network(*stream, capnp::rpc::twoparty::Side::CLIENT, boundedMessages()),
    system(capnp::makeRpcClient(network))
    {
    }

    ////////////////////////////////////////////////////////////
    rpc::Gate::Client gate()
    {
        capnp::MallocMessageBuilder message;
        auto                        id = message.getRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(id).castAs<rpc::Gate>();
    }

    kj::Own<kj::AsyncIoStream>                    stream;  //!< Connection
    capnp::TwoPartyVatNetwork                     network; //!< Messages over it
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;  //!< Calls over them
};

////////////////////////////////////////////////////////////
/// \brief An outgoing connection that may still be under way
////////////////////////////////////////////////////////////
struct Outgoing
{
    kj::Own<Link>                        link;        //!< Set once connected
    kj::ForkedPromise<rpc::Peer::Client> peer;        //!< Fulfilled after login
    std::uint64_t                        lastUsed{0}; //!< For closing the one that was used longest ago
};

////////////////////////////////////////////////////////////
/// \brief An incoming connection
////////////////////////////////////////////////////////////
struct Session
{
    Session(kj::Own<kj::AsyncIoStream> accepted, rpc::Gate::Client gate) :
    stream(kj::mv(accepted)),
    network(*stream, capnp::rpc::twoparty::Side::SERVER, boundedMessages()),
    system(capnp::makeRpcServer(network, kj::mv(gate)))
    {
    }

    kj::Own<kj::AsyncIoStream>                    stream;  //!< Connection
    capnp::TwoPartyVatNetwork                     network; //!< Messages over it
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;  //!< Calls over them
};

} // namespace

////////////////////////////////////////////////////////////
struct PeerLoop::Impl : public kj::TaskSet::ErrorHandler
{
    Impl(PeerSettings given, PeerEvents& hearer) :
    settings(std::move(given)),
    events(hearer)
    {
    }

    void                           runLoop();
    kj::Promise<void>              acceptLoop(kj::ConnectionReceiver& receiver);
    kj::Promise<void>              tickLoop();
    kj::Promise<rpc::Peer::Client> peerAt(const std::string& address);
    kj::Promise<rpc::Peer::Client> connect(const std::string& address);
    kj::Promise<rpc::Peer::Client> login(rpc::Gate::Client gate);
    void                           closeSurplus();
    void                           exchange(const node::ExchangeWith& action);
    void                           pull(const node::PullDocuments& action);

    void taskFailed(kj::Exception&&) override
    {
        // Each task reports its own failure; what comes here is a connection that ended.
    }

    PeerSettings                                   settings;       //!< Constants
    PeerEvents&                                    events;         //!< Hears what happens
    std::mutex                                     mutex;          //!< Guards the executor and the flags
    kj::Maybe<kj::Own<const kj::Executor>>         executor;       //!< Of the running loop
    bool                                           stopped{false}; //!< `stop` was called
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> ender;          //!< Ends the loop
    kj::AsyncIoContext*                            io{nullptr};    //!< While the loop runs
    std::map<std::string, Outgoing>                links;          //!< Outgoing connections by address
    std::uint64_t                                  uses{0};        //!< Uses of outgoing connections
    std::size_t                                    sessions{0};    //!< Incoming connections
    kj::Own<kj::TaskSet>                           tasks;          //!< Everything under way
};

////////////////////////////////////////////////////////////
void PeerLoop::Impl::runLoop()
{
    kj::AsyncIoContext context = kj::setupAsyncIo();
    io = &context;
    tasks = kj::heap<kj::TaskSet>(*this);
    auto done = kj::newPromiseAndFulfiller<void>();
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (stopped)
            return;
        executor = kj::getCurrentThreadExecutor().addRef();
        ender = kj::mv(done.fulfiller);
    }
    auto address = context.provider->getNetwork().parseAddress(settings.listen.text()).wait(context.waitScope);
    auto receiver = address->listen();
    tasks->add(acceptLoop(*receiver));
    tasks->add(tickLoop());
    done.promise.wait(context.waitScope);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        executor = nullptr;
        ender = nullptr;
    }
    // What is under way goes before what it uses.
    tasks = nullptr;
    links.clear();
    io = nullptr;
}

////////////////////////////////////////////////////////////
kj::Promise<void> PeerLoop::Impl::acceptLoop(kj::ConnectionReceiver& receiver)
{
    return receiver.accept().then(
        [this, &receiver](kj::Own<kj::AsyncIoStream> stream)
        {
            if (sessions < settings.mostConnections)
            {
                ++sessions;
                auto session = kj::heap<Session>(kj::mv(stream), kj::heap<priv::GateServer>(settings.key, events));
                auto ended = session->network.onDisconnect();
                tasks->add(ended.attach(kj::mv(session), kj::defer([this] { --sessions; })));
            }
            return acceptLoop(receiver);
        });
}

////////////////////////////////////////////////////////////
kj::Promise<void> PeerLoop::Impl::tickLoop()
{
    return io->provider->getTimer()
        .afterDelay(toKj(settings.tickEvery))
        .then(
            [this]
            {
                events.tick();
                return tickLoop();
            });
}

////////////////////////////////////////////////////////////
kj::Promise<rpc::Peer::Client> PeerLoop::Impl::peerAt(const std::string& address)
{
    if (const auto found = links.find(address); found != links.end())
    {
        found->second.lastUsed = ++uses;
        return found->second.peer.addBranch();
    }
    closeSurplus();
    kj::ForkedPromise<rpc::Peer::Client> peer = connect(address).fork();
    kj::Promise<rpc::Peer::Client>       branch = peer.addBranch();
    links.emplace(address, Outgoing{kj::Own<Link>(), kj::mv(peer), ++uses});
    return branch;
}

////////////////////////////////////////////////////////////
kj::Promise<rpc::Peer::Client> PeerLoop::Impl::connect(const std::string& address)
{
    return io->provider->getNetwork()
        .parseAddress(address)
        .then([](kj::Own<kj::NetworkAddress> parsed) { return parsed->connect().attach(kj::mv(parsed)); })
        .then(
            [this, address](kj::Own<kj::AsyncIoStream> stream)
            {
                const auto found = links.find(address);
                // NOLINTNEXTLINE(bugprone-suspicious-semicolon): inside the macro
                KJ_REQUIRE(found != links.end(), "the connection is no longer wanted");
                found->second.link = kj::heap<Link>(kj::mv(stream));
                return login(found->second.link->gate());
            });
}

////////////////////////////////////////////////////////////
kj::Promise<rpc::Peer::Client> PeerLoop::Impl::login(rpc::Gate::Client gate)
{
    auto request = gate.challengeRequest();
    request.setVersion(rpc::PROTOCOL_VERSION);
    return request.send()
        .then(
            [this, gate](capnp::Response<rpc::Gate::ChallengeResults> answer) mutable
            {
                const auto        nonce = answer.getNonce();
                const std::string proof =
                    proveKey(settings.key, {reinterpret_cast<const char*>(nonce.begin()), nonce.size()});
                auto entry = gate.loginRequest();
                entry.setProof(kj::arrayPtr(reinterpret_cast<const kj::byte*>(proof.data()), proof.size()));
                return entry.send();
            })
        .then([](capnp::Response<rpc::Gate::LoginResults> answer) -> rpc::Peer::Client { return answer.getPeer(); });
}

////////////////////////////////////////////////////////////
void PeerLoop::Impl::closeSurplus()
{
    if (links.size() < mostLinks)
        return;
    const auto oldest = std::min_element(
        links.begin(), links.end(), [](const auto& a, const auto& b) { return a.second.lastUsed < b.second.lastUsed; });
    links.erase(oldest);
}

////////////////////////////////////////////////////////////
void PeerLoop::Impl::exchange(const node::ExchangeWith& action)
{
    auto exchanged = peerAt(action.address)
                         .then(
                             [digest = action.digest](rpc::Peer::Client peer)
                             {
                                 auto request = peer.exchangeRequest();
                                 priv::write(digest, request.initDigest());
                                 return request.send();
                             })
                         .then([this](capnp::Response<rpc::Peer::ExchangeResults> answer)
                               { events.exchanged(priv::readDigest(answer.getDigest())); });
    tasks->add(io->provider->getTimer()
                   .timeoutAfter(toKj(settings.answerTime), kj::mv(exchanged))
                   .catch_(
                       [this, action](kj::Exception&&)
                       {
                           links.erase(action.address);
                           events.exchangeFailed(action.peer);
                       }));
}

////////////////////////////////////////////////////////////
void PeerLoop::Impl::pull(const node::PullDocuments& action)
{
    auto pulled = peerAt(action.address)
                      .then(
                          [revision = action.revision](rpc::Peer::Client peer)
                          {
                              auto request = peer.documentsSinceRequest();
                              request.setRevision(revision);
                              return request.send();
                          })
                      .then(
                          [this, action](capnp::Response<rpc::Peer::DocumentsSinceResults> answer)
                          {
                              state::DocumentBatch batch;
                              batch.more = answer.getMore();
                              for (const auto document : answer.getDocuments())
                                  batch.documents.push_back(priv::readDocument(document));
                              membership::Member peer;
                              peer.name = action.peer;
                              peer.address = action.address;
                              events.documentsReceived(peer, batch);
                          });
    tasks->add(io->provider->getTimer()
                   .timeoutAfter(toKj(settings.answerTime), kj::mv(pulled))
                   .catch_(
                       [this, action](kj::Exception&&)
                       {
                           links.erase(action.address);
                           events.pullFailed(action.peer);
                       }));
}

////////////////////////////////////////////////////////////
PeerLoop::PeerLoop(PeerSettings settings, PeerEvents& events) :
m_impl(std::make_unique<Impl>(std::move(settings), events))
{
}

////////////////////////////////////////////////////////////
PeerLoop::~PeerLoop() = default;

////////////////////////////////////////////////////////////
void PeerLoop::run()
{
    try
    {
        m_impl->runLoop();
    }
    catch (const kj::Exception& error)
    {
        throw std::runtime_error(error.getDescription().cStr());
    }
}

////////////////////////////////////////////////////////////
void PeerLoop::stop()
{
    (void)call(
        [this]
        {
            KJ_IF_MAYBE (fulfiller, m_impl->ender)
                (*fulfiller)->fulfill();
        });
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    m_impl->stopped = true;
}

////////////////////////////////////////////////////////////
bool PeerLoop::call(const std::function<void()>& work)
{
    kj::Own<const kj::Executor> target;
    {
        const std::lock_guard<std::mutex> lock(m_impl->mutex);
        KJ_IF_MAYBE (running, m_impl->executor)
            target = (*running)->addRef();
        else
            return false;
    }
    try
    {
        target->executeSync([&work] { work(); });
        return true;
    }
    catch (const kj::Exception&)
    {
        return false;
    }
}

////////////////////////////////////////////////////////////
void PeerLoop::exchange(const node::ExchangeWith& action)
{
    m_impl->exchange(action);
}

////////////////////////////////////////////////////////////
void PeerLoop::pull(const node::PullDocuments& action)
{
    m_impl->pull(action);
}

} // namespace sailpath::adapters::peers

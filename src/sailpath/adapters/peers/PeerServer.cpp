#include "PeerServer.hpp"

#include "Translation.hpp"

#include <sailpath/adapters/peers/KeyProof.hpp>

#include <kj/debug.h>

namespace sailpath::adapters::peers::priv
{
////////////////////////////////////////////////////////////
PeerServer::PeerServer(PeerEvents& events) :
m_events(events)
{
}

////////////////////////////////////////////////////////////
kj::Promise<void> PeerServer::exchange(ExchangeContext context)
{
    const node::Digest answer = m_events.exchangeReceived(readDigest(context.getParams().getDigest()));
    write(answer, context.getResults().initDigest());
    return kj::READY_NOW;
}

////////////////////////////////////////////////////////////
kj::Promise<void> PeerServer::documentsSince(DocumentsSinceContext context)
{
    const state::DocumentBatch batch = m_events.documentsSince(context.getParams().getRevision());
    auto                       results = context.getResults();
    results.setMore(batch.more);
    auto     documents = results.initDocuments(static_cast<unsigned>(batch.documents.size()));
    unsigned index = 0;
    for (const state::Document& document : batch.documents)
        write(document, documents[index++]);
    return kj::READY_NOW;
}

////////////////////////////////////////////////////////////
GateServer::GateServer(std::string key, PeerEvents& events) :
m_key(std::move(key)),
m_events(events)
{
}

////////////////////////////////////////////////////////////
kj::Promise<void> GateServer::challenge(ChallengeContext context)
{
    const std::string nonce = makeNonce();
    context.getResults().setVersion(rpc::PROTOCOL_VERSION);
    context.getResults().setNonce(kj::arrayPtr(reinterpret_cast<const kj::byte*>(nonce.data()), nonce.size()));
    m_nonce = nonce;
    return kj::READY_NOW;
}

////////////////////////////////////////////////////////////
kj::Promise<void> GateServer::login(LoginContext context)
{
    const auto proof = context.getParams().getProof();
    const bool right =
        m_nonce && checkProof(m_key, *m_nonce, {reinterpret_cast<const char*>(proof.begin()), proof.size()});
    m_nonce.reset();
    KJ_REQUIRE(right, "the shared key is wrong");
    context.getResults().setPeer(kj::heap<PeerServer>(m_events));
    return kj::READY_NOW;
}

} // namespace sailpath::adapters::peers::priv

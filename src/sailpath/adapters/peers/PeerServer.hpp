#pragma once

#include "Peers.capnp.h"

#include <sailpath/adapters/peers/PeerEvents.hpp>

#include <optional>
#include <string>

namespace sailpath::adapters::peers::priv
{
////////////////////////////////////////////////////////////
/// \brief What a peer may ask once it has shown that it knows the key
////////////////////////////////////////////////////////////
class PeerServer : public rpc::Peer::Server
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Serve one connection
    ////////////////////////////////////////////////////////////
    explicit PeerServer(PeerEvents& events);

    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> documentsSince(DocumentsSinceContext context) override;

private:
    PeerEvents& m_events; //!< Hears what happens
};

////////////////////////////////////////////////////////////
/// \brief Lets in who knows the shared key
////////////////////////////////////////////////////////////
class GateServer : public rpc::Gate::Server
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Guard one connection
    ////////////////////////////////////////////////////////////
    GateServer(std::string key, PeerEvents& events);

    kj::Promise<void> challenge(ChallengeContext context) override;
    kj::Promise<void> login(LoginContext context) override;

private:
    std::string                m_key;    //!< Shared key
    PeerEvents&                m_events; //!< Hears what happens
    std::optional<std::string> m_nonce;  //!< Challenge given out; good for one login
};

} // namespace sailpath::adapters::peers::priv

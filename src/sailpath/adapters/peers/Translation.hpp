#pragma once

#include "Peers.capnp.h"

#include <sailpath/node/Digest.hpp>
#include <sailpath/state/ConfigurationState.hpp>

namespace sailpath::adapters::peers::priv
{
void                          write(const node::Digest& digest, rpc::Digest::Builder into);
[[nodiscard]] node::Digest    readDigest(rpc::Digest::Reader from);
void                          write(const state::Document& document, rpc::Document::Builder into);
[[nodiscard]] state::Document readDocument(rpc::Document::Reader from);

} // namespace sailpath::adapters::peers::priv

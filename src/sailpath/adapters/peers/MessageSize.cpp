#include <sailpath/adapters/peers/MessageSize.hpp>

#include "Translation.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace sailpath::adapters::peers
{
namespace
{
// Call and return messages of Cap'n Proto RPC around the digest, with their
// finish message, as counted on a live connection's messages.
constexpr std::size_t rpcEnvelope = 120;

} // namespace

////////////////////////////////////////////////////////////
std::size_t encodedSize(const node::Digest& digest)
{
    capnp::MallocMessageBuilder message;
    priv::write(digest, message.initRoot<rpc::Digest>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word) + rpcEnvelope;
}

} // namespace sailpath::adapters::peers

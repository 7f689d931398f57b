#include <sailpath/adapters/peers/MessageSize.hpp>

#include "Translation.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace sailpath::adapters::peers
{
namespace
{
// Call, return and finish messages of Cap'n Proto RPC around the digest: an
// estimate from their layout, not counted on a connection.
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

#include <sailpath/adapters/links/TunnelCodec.hpp>

#include "Links.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <vector>

namespace sailpath::adapters::links
{
namespace
{
constexpr std::size_t   prefixBytes = 4;
constexpr std::uint32_t maxMessageBytes = 64U << 10U; // Helpers send what one read of 8 KB brought

////////////////////////////////////////////////////////////
/// \brief Nodes of the version before read each other end as no bytes, after which the tunnel closes
////////////////////////////////////////////////////////////
void putEnd(wire::TunnelMessage::Builder to, paths::TunnelEnd how)
{
    if (how == paths::TunnelEnd::Closed)
        return to.setEnded();
    to.initData(0);
    to.setEnd(static_cast<std::uint8_t>(how));
}

////////////////////////////////////////////////////////////
void put(wire::TunnelMessage::Builder to, const paths::TunnelMessage& from)
{
    if (const auto* opened = std::get_if<paths::TunnelOpened>(&from))
        to.setOpened(static_cast<std::uint8_t>(opened->status));
    else if (const auto* data = std::get_if<paths::TunnelData>(&from))
        to.setData(kj::arrayPtr(reinterpret_cast<const kj::byte*>(data->bytes.data()), data->bytes.size()));
    else
        putEnd(to, std::get<paths::TunnelEnded>(from).how);
}

////////////////////////////////////////////////////////////
std::optional<paths::TunnelMessage> getData(wire::TunnelMessage::Reader from)
{
    const auto data = from.getData();
    if (from.getEnd() == 0)
        return paths::TunnelData{{reinterpret_cast<const char*>(data.begin()), data.size()}};
    if (data.size() > 0)
        return std::nullopt;
    // Ends that only a later version knows are no proof of anything.
    const bool known = from.getEnd() <= static_cast<std::uint8_t>(paths::TunnelEnd::NotPassed);
    return paths::TunnelEnded{known ? static_cast<paths::TunnelEnd>(from.getEnd()) : paths::TunnelEnd::Lost};
}

////////////////////////////////////////////////////////////
std::optional<paths::TunnelMessage> get(wire::TunnelMessage::Reader from)
{
    switch (from.which())
    {
    case wire::TunnelMessage::OPENED:
        if (from.getOpened() > static_cast<std::uint8_t>(paths::TunnelStatus::Busy))
            return std::nullopt;
        return paths::TunnelOpened{static_cast<paths::TunnelStatus>(from.getOpened())};
    case wire::TunnelMessage::DATA:
        return getData(from);
    case wire::TunnelMessage::ENDED:
        return paths::TunnelEnded{paths::TunnelEnd::Closed};
    }
    return std::nullopt;
}

} // namespace

////////////////////////////////////////////////////////////
std::string encodeTunnel(const paths::TunnelMessage& message)
{
    capnp::MallocMessageBuilder builder;
    put(builder.initRoot<wire::TunnelMessage>(), message);
    const auto  words = capnp::messageToFlatArray(builder);
    const auto  payload = words.asChars();
    const auto  size = static_cast<std::uint32_t>(payload.size());
    std::string bytes(prefixBytes, '\0');
    std::memcpy(bytes.data(), &size, prefixBytes);
    bytes.append(payload.begin(), payload.size());
    return bytes;
}

////////////////////////////////////////////////////////////
DecodedTunnel decodeTunnel(std::string_view bytes)
{
    DecodedTunnel decoded;
    if (bytes.size() < prefixBytes)
        return decoded;
    std::uint32_t size = 0;
    std::memcpy(&size, bytes.data(), prefixBytes);
    decoded.malformed = size == 0 || size > maxMessageBytes || size % sizeof(capnp::word) != 0;
    if (decoded.malformed || bytes.size() < prefixBytes + size)
        return decoded;
    // The bytes of a stream need not be aligned to words.
    std::vector<capnp::word> words(size / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data() + prefixBytes, size);
    decoded.taken = prefixBytes + size;
    try
    {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        decoded.message = get(reader.getRoot<wire::TunnelMessage>());
    }
    catch (const kj::Exception&)
    {
        decoded.message.reset();
    }
    decoded.malformed = !decoded.message;
    return decoded;
}

} // namespace sailpath::adapters::links

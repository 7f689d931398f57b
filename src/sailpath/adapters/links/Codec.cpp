#include <sailpath/adapters/links/Codec.hpp>

#include "Links.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <array>
#include <cstring>
#include <vector>

namespace sailpath::adapters::links
{
namespace
{
constexpr std::size_t   prefixBytes = 4;
constexpr std::uint32_t longestMessage = 64U << 20U;

////////////////////////////////////////////////////////////
void put(wire::NodeAddress::Builder to, const replication::NodeAddress& from)
{
    to.setAddress(from.address);
    to.setDataCentre(from.dataCentre);
    to.setAgeMs(from.ageMs);
    to.setCapacity(from.capacity);
}

////////////////////////////////////////////////////////////
replication::NodeAddress get(wire::NodeAddress::Reader from)
{
    return {from.getAddress().cStr(), from.getDataCentre().cStr(), from.getAgeMs(), from.getCapacity()};
}

////////////////////////////////////////////////////////////
void put(wire::Item::Builder to, const replication::Item& from)
{
    to.setKey(from.key);
    to.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(from.value.data()), from.value.size()));
    to.setRevision(from.revision);
    to.setGone(from.gone);
}

////////////////////////////////////////////////////////////
replication::Item get(wire::Item::Reader from)
{
    const auto value = from.getValue();
    return {from.getKey().cStr(),
            std::string(reinterpret_cast<const char*>(value.begin()), value.size()),
            from.getRevision(),
            from.getGone()};
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const replication::Hello& from)
{
    auto hello = to.initHello();
    put(hello.initSelf(), from.self);
    hello.setAt(from.at);
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const replication::Update& from)
{
    auto update = to.initUpdate();
    update.setAt(from.at);
    update.setAgeMs(from.ageMs);
    update.setIllAgeMs(from.illAgeMs);
    update.setFull(from.full);
    auto items = update.initItems(static_cast<unsigned>(from.items.size()));
    for (unsigned i = 0; i < items.size(); ++i)
        put(items[i], from.items[i]);
    auto nodes = update.initNodes(static_cast<unsigned>(from.nodes.size()));
    for (unsigned i = 0; i < nodes.size(); ++i)
        put(nodes[i], from.nodes[i]);
}

////////////////////////////////////////////////////////////
LinkMessage get(wire::Message::Reader from)
{
    if (from.isHello())
        return replication::Hello{get(from.getHello().getSelf()), from.getHello().getAt()};
    const auto          update = from.getUpdate();
    replication::Update to;
    to.at = update.getAt();
    to.ageMs = update.getAgeMs();
    to.illAgeMs = update.getIllAgeMs();
    to.full = update.getFull();
    for (const auto item : update.getItems())
        to.items.push_back(get(item));
    for (const auto node : update.getNodes())
        to.nodes.push_back(get(node));
    return to;
}

} // namespace

////////////////////////////////////////////////////////////
std::string encode(const LinkMessage& message)
{
    capnp::MallocMessageBuilder builder;
    std::visit([&](const auto& item) { put(builder.initRoot<wire::Message>(), item); }, message);
    const auto  words = capnp::messageToFlatArray(builder);
    const auto  payload = words.asChars();
    const auto  size = static_cast<std::uint32_t>(payload.size());
    std::string bytes(prefixBytes, '\0');
    std::memcpy(bytes.data(), &size, prefixBytes);
    bytes.append(payload.begin(), payload.size());
    return bytes;
}

////////////////////////////////////////////////////////////
Decoded decode(std::string_view bytes)
{
    Decoded decoded;
    if (bytes.size() < prefixBytes)
        return decoded;
    std::uint32_t size = 0;
    std::memcpy(&size, bytes.data(), prefixBytes);
    decoded.malformed = size > longestMessage || size % sizeof(capnp::word) != 0;
    if (decoded.malformed || bytes.size() < prefixBytes + size)
        return decoded;
    std::vector<capnp::word> words(size / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data() + prefixBytes, size);
    decoded.taken = prefixBytes + size;
    try
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = longestMessage;
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), options);
        decoded.message = get(reader.getRoot<wire::Message>());
    }
    catch (const kj::Exception&)
    {
        decoded.malformed = true;
    }
    return decoded;
}

} // namespace sailpath::adapters::links

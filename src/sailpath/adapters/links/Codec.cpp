#include <sailpath/adapters/links/Codec.hpp>

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/replication/ValueDelta.hpp>

#include "Links.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <cstring>
#include <map>
#include <optional>
#include <vector>

namespace sailpath::adapters::links
{
namespace
{
constexpr std::size_t   prefixBytes = 4;
constexpr std::size_t   packedBytes = 8; // Of a node
constexpr std::uint32_t longestMessage = 64U << 20U;
constexpr std::size_t   packFrom = 1024;        // Bytes of a message from which it is packed
constexpr std::uint32_t packedMark = 1U << 31U; // In the length before a message: it is packed

////////////////////////////////////////////////////////////
kj::ArrayPtr<const kj::byte> toBytes(const std::string& text)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()), text.size());
}

////////////////////////////////////////////////////////////
std::string toText(capnp::Data::Reader bytes)
{
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

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
    to.setValue(toBytes(from.value));
    to.setRevision(from.revision);
    to.setGone(from.gone);
}

////////////////////////////////////////////////////////////
replication::Item get(wire::Item::Reader from)
{
    return {from.getKey().cStr(), toText(from.getValue()), from.getRevision(), from.getGone()};
}

////////////////////////////////////////////////////////////
void put(wire::Update::Builder to, const std::vector<replication::PackedItem>& items)
{
    auto list = to.initPacked(static_cast<unsigned>(items.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list[i].setKey(items[i].key);
        list[i].setRevision(items[i].revision);
        list[i].setBase(items[i].base);
        list[i].setPacked(toBytes(items[i].packed));
    }
}

////////////////////////////////////////////////////////////
void pack(std::string& out, const replication::NodeAddress& node)
{
    const auto endpoint = settings::parseEndpoint(node.address);
    in_addr    ip{};
    if (!endpoint || inet_pton(AF_INET, endpoint->address.c_str(), &ip) != 1)
        return;
    const std::uint32_t tenths = std::min<std::uint32_t>(node.ageMs / 100, 255);
    out.append(reinterpret_cast<const char*>(&ip), sizeof(ip));
    out += static_cast<char>(endpoint->port >> 8U);
    out += static_cast<char>(endpoint->port & 255U);
    out += static_cast<char>(tenths);
    out += static_cast<char>(std::min<std::uint32_t>(node.capacity, 255));
}

////////////////////////////////////////////////////////////
replication::NodeAddress unpack(std::string_view bytes, std::string dataCentre)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    in_addr                           ip{};
    std::memcpy(&ip, bytes.data(), sizeof(ip));
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    const auto byte = [bytes](std::size_t at)
    { return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at])); };
    const auto port = byte(4) << 8U | byte(5);
    return {std::string(text.data()) + ":" + std::to_string(port), std::move(dataCentre), byte(6) * 100, byte(7)};
}

////////////////////////////////////////////////////////////
template <typename Builder>
void putNodes(Builder to, const std::vector<replication::NodeAddress>& nodes)
{
    std::map<std::string, std::string> groups;
    for (const replication::NodeAddress& node : nodes)
        pack(groups[node.dataCentre], node);
    auto     list = to.initNodes(static_cast<unsigned>(groups.size()));
    unsigned index = 0;
    for (const auto& [dataCentre, packed] : groups)
    {
        list[index].setDataCentre(dataCentre);
        list[index].setPacked(toBytes(packed));
        ++index;
    }
}

////////////////////////////////////////////////////////////
void get(wire::NodeGroup::Reader from, std::vector<replication::NodeAddress>& nodes)
{
    const auto packed = from.getPacked();
    for (std::size_t at = 0; at + packedBytes <= packed.size(); at += packedBytes)
        nodes.push_back(
            unpack({reinterpret_cast<const char*>(packed.begin()) + at, packedBytes}, from.getDataCentre().cStr()));
}

////////////////////////////////////////////////////////////
kj::ArrayPtr<const kj::byte> toBytes(const core::ContentHash& content)
{
    return kj::arrayPtr(content.bytes.data(), content.bytes.size());
}

////////////////////////////////////////////////////////////
/// \brief Null when the bytes are no hash
////////////////////////////////////////////////////////////
std::optional<core::ContentHash> toContent(capnp::Data::Reader bytes)
{
    core::ContentHash content;
    if (bytes.size() != content.bytes.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), content.bytes.begin());
    return content;
}

////////////////////////////////////////////////////////////
void putEnds(wire::ServerReport::Builder to, const replication::ServerReport& report)
{
    auto ends = to.initEnds(static_cast<unsigned>(report.ends.size()));
    for (unsigned i = 0; i < ends.size(); ++i)
    {
        const replication::EndRecord& end = report.ends[i];
        ends[i].setServer(end.server);
        ends[i].setCaller(end.caller);
        ends[i].setRanMs(end.ranMs);
        ends[i].setAgoMs(end.agoMs);
        ends[i].setContent(toBytes(end.content));
    }
    auto served = to.initServed(static_cast<unsigned>(report.served.size()));
    for (unsigned i = 0; i < served.size(); ++i)
        served.set(i, toBytes(report.served[i]));
}

////////////////////////////////////////////////////////////
void getEnds(wire::ServerReport::Reader from, replication::ServerReport& report)
{
    for (const auto end : from.getEnds())
    {
        if (const auto content = toContent(end.getContent()))
            report.ends.push_back({end.getServer(), *content, end.getCaller(), end.getRanMs(), end.getAgoMs()});
    }
    for (const auto served : from.getServed())
    {
        if (const auto content = toContent(served))
            report.served.push_back(*content);
    }
}

////////////////////////////////////////////////////////////
void putLimits(wire::ServerReport::Builder to, const replication::ServerReport& report)
{
    auto limits = to.initLimits(static_cast<unsigned>(report.limits.size()));
    for (unsigned i = 0; i < limits.size(); ++i)
    {
        const replication::LimitRecord& limit = report.limits[i];
        limits[i].setServer(limit.server);
        limits[i].setPerSecond(static_cast<float>(limit.perSecond));
        limits[i].setAgoMs(limit.agoMs);
        limits[i].setSent(static_cast<float>(limit.sent));
        limits[i].setDoublings(static_cast<float>(limit.doublings));
        limits[i].setTopic(limit.topic);
    }
}

////////////////////////////////////////////////////////////
void getLimits(wire::ServerReport::Reader from, replication::ServerReport& report)
{
    for (const auto limit : from.getLimits())
    {
        // What is no number of requests a second is nobody's word.
        if (limit.getPerSecond() >= 0 && limit.getSent() >= 0 && std::isfinite(limit.getSent()) &&
            std::isfinite(limit.getDoublings()))
            report.limits.push_back({limit.getServer(), limit.getPerSecond(), limit.getAgoMs(), limit.getSent(),
                                     limit.getDoublings(), limit.getTopic()});
    }
}

////////////////////////////////////////////////////////////
template <typename Builder>
void putNews(Builder to, const std::vector<replication::ServerReport>& reports)
{
    auto list = to.initNews(static_cast<unsigned>(reports.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list[i].setOrigin(reports[i].origin);
        list[i].setNumber(reports[i].number);
        auto servers = list[i].initServers(static_cast<unsigned>(reports[i].servers.size()));
        for (unsigned server = 0; server < servers.size(); ++server)
            servers.set(server, reports[i].servers[server]);
        putEnds(list[i], reports[i]);
        if (!reports[i].limits.empty())
            putLimits(list[i], reports[i]);
    }
}

////////////////////////////////////////////////////////////
template <typename Reader>
std::vector<replication::ServerReport> getNews(Reader from)
{
    std::vector<replication::ServerReport> reports;
    for (const auto report : from.getNews())
    {
        replication::ServerReport one{report.getOrigin(), report.getNumber(), {}, {}, {}, {}};
        for (const auto server : report.getServers())
            one.servers.push_back(server);
        getEnds(report, one);
        getLimits(report, one);
        reports.push_back(std::move(one));
    }
    return reports;
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const replication::Hello& from)
{
    auto hello = to.initHello();
    put(hello.initSelf(), from.self);
    hello.setAt(from.at);
    hello.setPacks(from.packs);
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const paths::TunnelOpen& from)
{
    auto open = to.initTunnelOpen();
    open.setInstance(from.instance);
    open.setBorn(from.born);
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const replication::Update& from, std::string_view packedItems)
{
    auto update = to.initUpdate();
    if (!packedItems.empty())
        update.setPackedItems(kj::arrayPtr(reinterpret_cast<const kj::byte*>(packedItems.data()), packedItems.size()));
    update.setAt(from.at);
    update.setAfter(from.after);
    update.setGapped(from.gapped);
    update.setAgeMs(from.ageMs);
    update.setIllAgeMs(from.illAgeMs);
    update.setSentMs(from.sentMs);
    update.setFull(from.full);
    auto items = update.initItems(static_cast<unsigned>(from.items.size()));
    for (unsigned i = 0; i < items.size(); ++i)
        put(items[i], from.items[i]);
    put(update, from.packed);
    putNodes(update, from.nodes);
    putNews(update, from.news);
}

////////////////////////////////////////////////////////////
void put(wire::Message::Builder to, const replication::Report& from)
{
    auto report = to.initReport();
    putNodes(report, from.nodes);
    putNews(report, from.news);
}

////////////////////////////////////////////////////////////
replication::Report get(wire::Report::Reader from)
{
    replication::Report report;
    for (const auto group : from.getNodes())
        get(group, report.nodes);
    report.news = getNews(from);
    return report;
}

////////////////////////////////////////////////////////////
/// \brief The words of a message that came as bytes
////////////////////////////////////////////////////////////
std::vector<capnp::word> toWords(std::string_view bytes)
{
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    return words;
}

////////////////////////////////////////////////////////////
capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = longestMessage;
    return options;
}

////////////////////////////////////////////////////////////
std::shared_ptr<const std::vector<replication::Item>> unpackItems(capnp::Data::Reader packed)
{
    const auto bytes = replication::unpackValue(toText(packed), {});
    KJ_REQUIRE(bytes.has_value(), "items that do not unpack");
    const auto                    words = toWords(*bytes);
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), readerOptions());
    auto                          items = std::make_shared<std::vector<replication::Item>>();
    for (const auto item : reader.getRoot<wire::ItemList>().getItems())
        items->push_back(get(item));
    return items;
}

////////////////////////////////////////////////////////////
LinkMessage get(wire::Message::Reader from)
{
    if (from.isReport())
        return get(from.getReport());
    if (from.isTunnelOpen())
        return paths::TunnelOpen{from.getTunnelOpen().getInstance().cStr(), from.getTunnelOpen().getBorn()};
    if (from.isHello())
        return replication::Hello{get(from.getHello().getSelf()), from.getHello().getAt(), from.getHello().getPacks()};
    const auto          update = from.getUpdate();
    replication::Update to;
    to.at = update.getAt();
    to.after = update.getAfter();
    to.gapped = update.getGapped();
    to.ageMs = update.getAgeMs();
    to.illAgeMs = update.getIllAgeMs();
    to.sentMs = update.getSentMs();
    to.full = update.getFull();
    for (const auto item : update.getItems())
        to.items.push_back(get(item));
    for (const auto item : update.getPacked())
        to.packed.push_back({item.getKey().cStr(), item.getRevision(), item.getBase(), toText(item.getPacked())});
    for (const auto node : update.getNodes())
        get(node, to.nodes);
    to.news = getNews(update);
    if (update.hasPackedItems())
        to.sharedItems = unpackItems(update.getPackedItems());
    return to;
}

} // namespace

////////////////////////////////////////////////////////////
std::string packItems(std::span<const replication::Item> items)
{
    capnp::MallocMessageBuilder builder;
    auto list = builder.initRoot<wire::ItemList>().initItems(static_cast<unsigned>(items.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        put(list[i], items[i]);
    const auto words = capnp::messageToFlatArray(builder);
    return replication::packValue({words.asChars().begin(), words.asChars().size()}, {});
}

////////////////////////////////////////////////////////////
std::string encode(const LinkMessage& message, std::string_view packedItems)
{
    capnp::MallocMessageBuilder builder;
    const auto                  root = builder.initRoot<wire::Message>();
    std::string                 packedHere;
    if (const auto* update = std::get_if<replication::Update>(&message))
    {
        if (update->sharedItems && packedItems.empty())
            packedItems = packedHere = packItems(*update->sharedItems);
        put(root, *update, update->sharedItems ? packedItems : std::string_view());
    }
    else if (const auto* hello = std::get_if<replication::Hello>(&message))
        put(root, *hello);
    else if (const auto* open = std::get_if<paths::TunnelOpen>(&message))
        put(root, *open);
    else
        put(root, std::get<replication::Report>(message));
    const auto             words = capnp::messageToFlatArray(builder);
    const std::string_view payload(words.asChars().begin(), words.asChars().size());
    // What is packed already gains nothing.
    const bool             pack = payload.size() >= packFrom && packedItems.empty();
    const std::string      packed = pack ? replication::packValue(payload, {}) : std::string();
    const std::string_view body = pack ? std::string_view(packed) : payload;
    const std::uint32_t    size = static_cast<std::uint32_t>(body.size()) | (pack ? packedMark : 0U);
    std::string            bytes(prefixBytes, '\0');
    std::memcpy(bytes.data(), &size, prefixBytes);
    bytes.append(body);
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
    const bool packed = (size & packedMark) != 0;
    size &= ~packedMark;
    decoded.malformed = size > longestMessage;
    if (decoded.malformed || bytes.size() < prefixBytes + size)
        return decoded;
    std::string_view body = bytes.substr(prefixBytes, size);
    const auto       unpacked = packed ? replication::unpackValue(body, {}) : std::nullopt;
    if (packed)
        body = unpacked ? std::string_view(*unpacked) : std::string_view();
    decoded.malformed = body.empty() || body.size() % sizeof(capnp::word) != 0;
    if (decoded.malformed)
        return decoded;
    const std::vector<capnp::word> words = toWords(body);
    decoded.taken = prefixBytes + size;
    try
    {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), readerOptions());
        decoded.message = get(reader.getRoot<wire::Message>());
    }
    catch (const kj::Exception&)
    {
        decoded.malformed = true;
    }
    return decoded;
}

} // namespace sailpath::adapters::links

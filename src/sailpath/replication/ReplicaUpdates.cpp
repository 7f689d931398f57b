// Sends updates to followers and reports to relays, and handles those that arrive.

#include <sailpath/replication/Replica.hpp>

#include <sailpath/replication/ValueDelta.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto nodeListIntervalPerNode =
    std::chrono::milliseconds{50};                               // Between two lists of nodes, for each node known
constexpr auto   newNodesDelay = std::chrono::milliseconds{300}; // Between two lists when many nodes are new
constexpr double newNodesThreshold = 0.1; // Share of new nodes above which the next list is sent early
constexpr auto   freshnessGain =
    std::chrono::milliseconds{400}; // Gain in freshness that is sent without waiting for the next heartbeat
constexpr auto followerReportInterval =
    std::chrono::seconds{3};                        // Between two reports of a relay's followers to its own relays
constexpr std::uint32_t recentStoreFailureMs = 500; // Age in milliseconds up to which a failed store call is recent
constexpr std::size_t   maxPackedItems = 8;         // Packed values kept for further followers
constexpr auto relayNamesInterval = std::chrono::milliseconds{250}; // Between two updates that name relays to a node
constexpr std::uint32_t unknownAgeMs = std::numeric_limits<std::uint32_t>::max();

////////////////////////////////////////////////////////////
std::uint32_t ageInMs(core::Timestamp since, core::Timestamp now)
{
    if (since == core::Timestamp::min())
        return unknownAgeMs;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, unknownAgeMs));
}

} // namespace

////////////////////////////////////////////////////////////
void Replica::helloReceived(LinkId link, const Hello& hello, core::Timestamp now)
{
    recordNode(hello.self, now);
    Follower follower;
    follower.node = hello.self;
    follower.sentRevision = hello.at;
    follower.sentSequence = m_table.sequence();
    follower.needsFullCopy = hello.at == 0 || hello.at > m_table.revision();
    follower.supportsWhole = hello.packs;
    follower.connectedAt = now;
    follower.sentReports = m_news.reportCount();
    m_followers[link] = follower;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::updateReceived(LinkId link, const Update& update, core::Timestamp now)
{
    const auto upstream = m_upstreams.find(link);
    if (upstream == m_upstreams.end())
        return;
    for (const NodeAddress& node : update.nodes)
        recordNode(node, now);
    m_news.receive(update.news, {link, true}, now);
    upstream->second.lastReceivedAt = now;
    const core::Duration transit = transitTime(update, upstream->second, now);
    // A late update counts from its sending time: a node that receives old updates only knows as little as a node that
    // receives none.
    m_lastContactAt = std::max(m_lastContactAt.value_or(core::Timestamp::min()), now - transit);
    KnownNode& relay = m_knownNodes[upstream->second.address];
    relay.lastHeardAt = now;
    if (update.illAgeMs != unknownAgeMs)
        m_storeFailedAt = std::max(m_storeFailedAt, now - core::Duration(std::chrono::milliseconds{update.illAgeMs}));
    if (update.at == 0)
    {
        if (!hasCopy() && isSeed(upstream->second.address))
            m_firstCopy.setRelays(update.nodes, now);
        if (!hasCopy() && update.illAgeMs < recentStoreFailureMs)
            m_firstCopy.peerStoreFailed(now, m_random);
        recordRelayWithoutCopy(now);
        return tick(now);
    }
    auto large = unpackLargeItems(update);
    if (update.after > m_table.revision() || !large)
    {
        // The changes in between, or the base of a packed value, are missing here: the link is opened anew.
        if (!large)
            m_fullCopyFrom.insert(upstream->second.address);
        m_actions.push_back(LogEvent{"update-missed", upstream->second.address, static_cast<double>(update.after)});
        dropUpstream(link);
        return tick(now);
    }
    upstream->second.receivedUpdate = true;
    large->insert(large->end(), update.items.begin(), update.items.end());
    const bool first = !hasCopy();
    applyUpdate(upstream->second.address, update,
                update.sharedItems ? std::span<const Item>(*update.sharedItems) : *large);
    if (first && hasCopy())
        firstCopyReceived();
    const core::Duration copyAge = core::Duration(std::chrono::milliseconds{update.ageMs}) + transit;
    recordProof(now - copyAge, now);
    if (copyAge < m_settings.staleAfter)
    {
        relay.failures = 0;
        m_relayFreshAt = now;
    }
    else if (age(now) < m_settings.staleAfter || m_relayFreshAt < now - m_settings.relayBackoff)
    {
        // Other sources are fresher, or no relay was fresh for long: follow another relay.
        const std::string address = upstream->second.address;
        m_relayFreshAt = std::max(m_relayFreshAt, now - m_settings.relayBackoff + m_settings.linkTimeout);
        dropUpstream(link);
        avoidRelay(address, now, "relay-stale");
    }
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::dropUpstream(LinkId link)
{
    m_actions.push_back(CloseLink{link});
    m_upstreams.erase(link);
}

////////////////////////////////////////////////////////////
core::Duration Replica::transitTime(const Update& update, Upstream& upstream, core::Timestamp now)
{
    if (update.sentMs == 0)
        return {}; // A relay of a former version sends no time
    // The clocks differ by a constant offset. The first update took no longer than hello and update together, and the
    // change of the offset since then is the change of the transit time.
    const auto offset = now.time_since_epoch() - core::fromMilliseconds(static_cast<double>(update.sentMs));
    if (!upstream.firstClockOffset)
    {
        upstream.firstClockOffset = offset;
        upstream.roundTrip = now - upstream.helloSentAt;
    }
    return std::max<core::Duration>(upstream.roundTrip + offset - *upstream.firstClockOffset, {});
}

////////////////////////////////////////////////////////////
void Replica::reportFollowers(core::Timestamp now)
{
    if ((m_followers.empty() && m_unreportedNodes.empty()) || now < m_nextFollowerReport)
        return;
    m_nextFollowerReport = now + followerReportInterval;
    std::vector<NodeAddress> nodes = std::exchange(m_unreportedNodes, {});
    for (const auto& [link, follower] : m_followers)
    {
        const auto known = m_knownNodes.find(follower.node.address);
        if (known != m_knownNodes.end())
            nodes.push_back({known->first, known->second.dataCentre, ageInMs(known->second.lastHeardAt, now),
                             known->second.capacity});
    }
    for (const auto& [link, upstream] : m_upstreams)
    {
        if (upstream.open)
            m_actions.push_back(SendReport{link, {nodes, {}}});
    }
}

////////////////////////////////////////////////////////////
void Replica::sendServerReports(core::Timestamp now)
{
    const bool regular = now >= m_nextServerReport;
    const bool limits = now >= m_nextLimitReport;
    // Reports go to all relays: nodes that rank relays differently for a while may not follow this node's first relay.
    for (auto& [link, relay] : m_upstreams)
    {
        if (!relay.open || !relay.receivedUpdate || relay.sentReports == m_news.reportCount())
            continue;
        const bool due =
            regular || m_news.hasUrgentSince(relay.sentReports) || (limits && m_news.hasLimitsSince(relay.sentReports));
        if (!due)
            continue;
        m_nextLimitReport = now + ServerGossip::batchDelay;
        m_nextServerReport = now + m_settings.heartbeatInterval;
        auto reports = m_news.reportsForRelay(relay.sentReports);
        relay.sentReports = m_news.reportCount();
        if (!reports.empty())
            m_actions.push_back(SendReport{link, {{}, std::move(reports)}});
    }
}

////////////////////////////////////////////////////////////
void Replica::reportReceived(LinkId link, const Report& report, core::Timestamp now)
{
    m_news.receive(report.news, {link, false}, now);
    recordReportedNodes(report.nodes, now);
    if (m_followers.count(link) == 0)
        exchangeReceived(link, now);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::packLargeItems(Update& update, std::uint64_t sentRevision)
{
    const auto        small = std::stable_partition(update.items.begin(), update.items.end(),
                                                    [](const Item& item) { return item.value.size() < largeValueSize; });
    std::vector<Item> whole;
    for (auto item = small; item != update.items.end(); ++item)
    {
        const Item* const base = m_table.itemAsOf(item->key, sentRevision);
        if (base != nullptr && base->revision < item->revision && base->value.size() >= largeValueSize)
            update.packed.push_back(packedItem(*item, *base));
        else
            whole.push_back(std::move(*item));
    }
    update.items.erase(small, update.items.end());
    update.items.insert(update.items.end(), whole.begin(), whole.end());
}

////////////////////////////////////////////////////////////
PackedItem Replica::packedItem(const Item& item, const Item& base)
{
    // Followers need the same packed values within moments of each other.
    const auto known =
        std::find_if(m_packedItems.begin(), m_packedItems.end(),
                     [&](const PackedItem& one)
                     { return one.key == item.key && one.revision == item.revision && one.base == base.revision; });
    if (known != m_packedItems.end())
        return *known;
    m_packedItems.push_front({item.key, item.revision, base.revision, packValue(item.value, base.value)});
    if (m_packedItems.size() > maxPackedItems)
        m_packedItems.pop_back();
    return m_packedItems.front();
}

////////////////////////////////////////////////////////////
std::optional<std::vector<Item>> Replica::unpackLargeItems(const Update& update) const
{
    std::vector<Item> items;
    for (const PackedItem& large : update.packed)
    {
        const Item* const newest = m_table.itemAsOf(large.key, std::numeric_limits<std::uint64_t>::max());
        if (newest != nullptr && newest->revision >= large.revision)
        {
            items.push_back(*newest);
            continue;
        }
        const Item* const base = m_table.itemAsOf(large.key, large.base);
        if (base == nullptr || base->revision != large.base)
            return std::nullopt;
        auto value = unpackValue(large.packed, base->value);
        if (!value)
            return std::nullopt;
        items.push_back({large.key, std::move(*value), large.revision, false});
    }
    return items;
}

////////////////////////////////////////////////////////////
void Replica::applyUpdate(const std::string& relay, const Update& update, std::span<const Item> items)
{
    // Nodes of former versions do not state the revision after which their updates begin.
    if (!update.full && update.after == 0)
        return m_table.apply(items, update.at, m_changes);
    if (!update.full)
        return m_table.apply({update.after, update.at, update.gapped, items}, m_changes);
    m_table.applySnapshot(items, update.at, m_changes);
    m_needsRead = false;
    m_actions.push_back(LogEvent{"whole-copy-from-relay", relay, static_cast<double>(update.at)});
}

////////////////////////////////////////////////////////////
void Replica::updateFollowers(core::Timestamp now)
{
    updateIntroductions(now);
    for (auto& [link, follower] : m_followers)
    {
        // A follower with an open link is alive.
        const auto known = m_knownNodes.find(follower.node.address);
        if (known != m_knownNodes.end())
            known->second.lastHeardAt = now;
        // Changes are sent at once, and so is a newer proof of the copy, because the copy ages at each hop.
        const bool fresher = m_provedAt > follower.sentProvedAt + freshnessGain;
        const bool hasChanges =
            m_table.revision() > follower.sentRevision || m_table.sequence() != follower.sentSequence;
        const bool sendItems = canServeFollowers() && !refersToRelays(follower, now);
        if (m_news.hasUrgentSince(follower.sentReports))
            follower.nextUpdateAt = std::min(follower.nextUpdateAt, follower.lastSentAt + m_settings.batchDelay);
        else if (m_news.hasLimitsSince(follower.sentReports))
            follower.nextUpdateAt =
                std::min<core::Timestamp>(follower.nextUpdateAt, follower.lastSentAt + ServerGossip::batchDelay);
        if (sendItems && follower.needsFullCopy)
            follower.nextUpdateAt = now;
        else if (sendItems && (hasChanges || fresher))
            follower.nextUpdateAt = std::min(follower.nextUpdateAt, follower.lastSentAt + m_settings.batchDelay);
        if (!sendItems && follower.needsFullCopy && relayNamesHash(follower) != follower.sentNamesHash)
        {
            // A follower without relay names waits for some; other names help only when those relays are silent.
            const bool named = follower.sentNamesHash != 0;
            follower.nextUpdateAt = std::min(
                follower.nextUpdateAt, follower.lastSentAt + (named ? relayNamesInterval : m_settings.batchDelay));
        }
        if (now >= follower.nextUpdateAt)
            sendUpdate(link, follower, sendItems, now);
    }
}

////////////////////////////////////////////////////////////
void Replica::sendUpdate(LinkId link, Follower& follower, bool sendItems, core::Timestamp now)
{
    Update update;
    update.at = sendItems ? m_table.revision() : 0;
    update.ageMs = ageInMs(m_provedAt, now);
    update.illAgeMs = ageInMs(m_storeFailedAt, now);
    update.sentMs = static_cast<std::uint64_t>(core::toMilliseconds(now.time_since_epoch()));
    if (update.at > 0 && follower.needsFullCopy)
        m_introductions.copySent(now);
    if (update.at > 0)
        addItems(update, follower);
    if (update.at == 0 && follower.needsFullCopy)
        addRelayNames(update, follower, now);
    else
        addNodes(update, follower, now);
    update.news = m_news.reportsForFollower(follower.sentReports, link);
    addLimits(update, follower, now);
    follower.sentReports = m_news.reportCount();
    follower.lastSentAt = now;
    follower.sentProvedAt = m_provedAt;
    follower.nextUpdateAt = now + m_settings.heartbeatInterval;
    m_actions.push_back(SendUpdate{link, std::move(update)});
}

////////////////////////////////////////////////////////////
void Replica::addLimits(Update& update, Follower& follower, core::Timestamp now)
{
    // A node that starts would treat limited servers like others until each limit is reported again.
    if (follower.limitsSent || update.at == 0)
        return;
    follower.limitsSent = true;
    if (auto report = m_news.currentLimits(now))
        update.news.push_back(std::move(*report));
}

////////////////////////////////////////////////////////////
void Replica::addItems(Update& update, Follower& follower)
{
    const bool lost = follower.sentSequence < m_table.oldestSequence();
    update.after = follower.needsFullCopy || lost ? 0 : m_table.resendAfter(follower.sentRevision);
    update.full = update.after == 0;
    update.gapped = m_table.hasGapAfter(update.after);
    if (update.full && follower.supportsWhole)
        update.sharedItems = wholeCopy();
    else
        update.items = update.full ? m_table.all() : m_table.changesAfter(update.after);
    if (!update.full)
    {
        const auto late = m_table.lateChanges(follower.sentSequence, update.after);
        update.items.insert(update.items.end(), late.begin(), late.end());
        packLargeItems(update, follower.sentRevision);
    }
    follower.sentSequence = m_table.sequence();
    follower.needsFullCopy = false;
    follower.sentRevision = update.at;
}

////////////////////////////////////////////////////////////
void Replica::addNodes(Update& update, Follower& follower, core::Timestamp now) const
{
    const std::size_t known = m_knownNodes.size() + 1;
    const bool        manyNew =
        static_cast<double>(known) > (1 + newNodesThreshold) * static_cast<double>(follower.sentNodeCount);
    if (now < follower.nextNodeList && (!manyNew || now < follower.newNodesNotBefore))
        return;
    update.nodes = nodeList(now);
    follower.sentNodeCount = known;
    follower.newNodesNotBefore = now + newNodesDelay;
    follower.nextNodeList = now + std::max<core::Duration>(std::chrono::seconds{1}, nodeListIntervalPerNode * known);
}

////////////////////////////////////////////////////////////
std::vector<NodeAddress> Replica::nodeList(core::Timestamp now) const
{
    std::vector<NodeAddress> nodes{m_settings.self};
    for (const auto& [address, known] : m_knownNodes)
    {
        if (now - known.lastHeardAt < m_settings.nodeTtl && !known.dataCentre.empty())
            nodes.push_back({address, known.dataCentre, ageInMs(known.lastHeardAt, now), known.capacity});
    }
    return nodes;
}

////////////////////////////////////////////////////////////
bool Replica::canServeFollowers() const
{
    return proved() && m_table.isExact();
}

} // namespace sailpath::replication

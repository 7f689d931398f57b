// What relays tell their followers, and what these take.

#include <sailpath/replication/Replica.hpp>

#include <sailpath/replication/ValueDelta.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto          nodesEvery = std::chrono::milliseconds{50}; // For each node known, between tellings of them
constexpr auto          newNodesAfter = std::chrono::milliseconds{300};
constexpr double        newNodesShare = 0.1; // More nodes than were told, so that they are told at once
constexpr auto          worthTelling = std::chrono::milliseconds{400}; // A copy that is so much fresher than was told
constexpr auto          reportEvery = std::chrono::seconds{3};         // Of a relay's followers, to its own relays
constexpr std::uint32_t illLately = 500;                               // Milliseconds since the store failed somebody
constexpr std::size_t   mostPacked = 8;                                // Packed values kept for the next follower
constexpr auto          namesAfter = std::chrono::milliseconds{250};   // Between two times that a node is named relays
constexpr std::uint32_t longestAge = std::numeric_limits<std::uint32_t>::max();

////////////////////////////////////////////////////////////
std::uint32_t ageMs(core::Timestamp since, core::Timestamp now)
{
    if (since == core::Timestamp::min())
        return longestAge;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, longestAge));
}

} // namespace

////////////////////////////////////////////////////////////
void Replica::helloReceived(LinkId link, const Hello& hello, core::Timestamp now)
{
    hear(hello.self, now);
    Follower follower;
    follower.node = hello.self;
    follower.sentAt = hello.at;
    follower.sentSequence = m_table.sequence();
    follower.wantsAll = hello.at == 0 || hello.at > m_table.revision();
    follower.packs = hello.packs;
    follower.since = now;
    follower.newsTold = m_news.reportCount();
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
        hear(node, now);
    m_news.receive(update.news, {link, true}, now);
    upstream->second.heard = now;
    const core::Duration way = wayOf(update, upstream->second, now);
    // Who hears others of late only knows as little of them as who hears nobody.
    m_heardAt = std::max(m_heardAt.value_or(core::Timestamp::min()), now - way);
    Known& relay = m_known[upstream->second.address];
    relay.heard = now;
    if (update.illAgeMs != longestAge)
        m_ill = std::max(m_ill, now - core::Duration(std::chrono::milliseconds{update.illAgeMs}));
    if (update.at == 0)
    {
        if (!known() && isSeed(upstream->second.address))
            m_first.setRelays(update.nodes, now);
        if (!known() && update.illAgeMs < illLately)
            m_first.peerStoreFailed(now, m_random);
        noteLacking(now);
        return tick(now);
    }
    auto large = unpackLarge(update);
    if (update.after > m_table.revision() || !large)
    {
        // What came between, or the value that a large one differs from, is not known here: begin anew.
        if (!large)
            m_wholeFrom.insert(upstream->second.address);
        m_actions.push_back(Note{"update-missed", upstream->second.address, static_cast<double>(update.after)});
        dropUpstream(link);
        return tick(now);
    }
    upstream->second.fed = true;
    large->insert(large->end(), update.items.begin(), update.items.end());
    const bool first = !known();
    takeUpdate(upstream->second.address, update,
               update.sharedItems ? std::span<const Item>(*update.sharedItems) : *large);
    if (first && known())
        firstCopyTaken();
    const core::Duration old = core::Duration(std::chrono::milliseconds{update.ageMs}) + way;
    noteFresh(now - old, now);
    if (old < m_settings.staleAfter)
    {
        relay.failures = 0;
        m_relayFresh = now;
    }
    else if (age(now) < m_settings.staleAfter || m_relayFresh < now - m_settings.avoidance)
    {
        // Others are fresher, or nobody was for long: look elsewhere.
        const std::string address = upstream->second.address;
        m_relayFresh = std::max(m_relayFresh, now - m_settings.avoidance + m_settings.linkSilence);
        dropUpstream(link);
        avoid(address, now, "relay-stale");
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
core::Duration Replica::wayOf(const Update& update, Upstream& upstream, core::Timestamp now)
{
    if (update.sentMs == 0)
        return {}; // Of a former version
    // The clocks differ by something that stays; the first update took no longer than hello and update together.
    const auto offset = now.time_since_epoch() - core::fromMilliseconds(static_cast<double>(update.sentMs));
    if (!upstream.firstOffset)
    {
        upstream.firstOffset = offset;
        upstream.roundTrip = now - upstream.helloAt;
    }
    return std::max<core::Duration>(upstream.roundTrip + offset - *upstream.firstOffset, {});
}

////////////////////////////////////////////////////////////
void Replica::report(core::Timestamp now)
{
    if (m_followers.empty() || now < m_nextReport)
        return;
    m_nextReport = now + reportEvery;
    std::vector<NodeAddress> nodes;
    for (const auto& [link, follower] : m_followers)
    {
        const auto known = m_known.find(follower.node.address);
        if (known != m_known.end())
            nodes.push_back(
                {known->first, known->second.dataCentre, ageMs(known->second.heard, now), known->second.capacity});
    }
    for (const auto& [link, upstream] : m_upstreams)
    {
        if (upstream.open)
            m_actions.push_back(SendReport{link, {nodes, {}}});
    }
}

////////////////////////////////////////////////////////////
void Replica::reportNews(core::Timestamp now)
{
    // One relay is enough: it tells its own, and what the first of them hears comes back to all.
    const auto relay = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                    [](const auto& item) { return item.second.open && item.second.fed; });
    if (relay == m_upstreams.end() || relay->second.newsTold == m_news.reportCount())
        return;
    const bool waits = now < m_nextNews && !m_news.hasUrgentSince(relay->second.newsTold);
    if (waits && (now < m_newsSoon || !m_news.hasLimitsSince(relay->second.newsTold)))
        return;
    m_newsSoon = now + ServerGossip::batchDelay;
    m_nextNews = now + m_settings.beat;
    auto reports = m_news.reportsForRelay(relay->second.newsTold);
    relay->second.newsTold = m_news.reportCount();
    if (!reports.empty())
        m_actions.push_back(SendReport{relay->first, {{}, std::move(reports)}});
}

////////////////////////////////////////////////////////////
void Replica::reportReceived(LinkId link, const Report& report, core::Timestamp now)
{
    m_news.receive(report.news, {link, false}, now);
    for (const NodeAddress& node : report.nodes)
        hear(node, now);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::packLarge(Update& update, std::uint64_t sentAt)
{
    const auto        small = std::stable_partition(update.items.begin(), update.items.end(),
                                                    [](const Item& item) { return item.value.size() < largeValueSize; });
    std::vector<Item> whole;
    for (auto item = small; item != update.items.end(); ++item)
    {
        const Item* const base = m_table.itemAsOf(item->key, sentAt);
        if (base != nullptr && base->revision < item->revision && base->value.size() >= largeValueSize)
            update.packed.push_back(packed(*item, *base));
        else
            whole.push_back(std::move(*item));
    }
    update.items.erase(small, update.items.end());
    update.items.insert(update.items.end(), whole.begin(), whole.end());
}

////////////////////////////////////////////////////////////
PackedItem Replica::packed(const Item& item, const Item& base)
{
    // Followers are told the same within moments of each other.
    const auto known =
        std::find_if(m_packed.begin(), m_packed.end(),
                     [&](const PackedItem& one)
                     { return one.key == item.key && one.revision == item.revision && one.base == base.revision; });
    if (known != m_packed.end())
        return *known;
    m_packed.push_front({item.key, item.revision, base.revision, packValue(item.value, base.value)});
    if (m_packed.size() > mostPacked)
        m_packed.pop_back();
    return m_packed.front();
}

////////////////////////////////////////////////////////////
std::optional<std::vector<Item>> Replica::unpackLarge(const Update& update) const
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
void Replica::takeUpdate(const std::string& relay, const Update& update, std::span<const Item> items)
{
    // Nodes of former versions do not say after which revision they tell.
    if (!update.full && update.after == 0)
        return m_table.apply(items, update.at, m_changes);
    if (!update.full)
        return m_table.apply({update.after, update.at, update.gapped, items}, m_changes);
    m_table.applySnapshot(items, update.at, m_changes);
    m_needRead = false;
    m_actions.push_back(Note{"whole-copy-from-relay", relay, static_cast<double>(update.at)});
}

////////////////////////////////////////////////////////////
void Replica::feedFollowers(core::Timestamp now)
{
    introduce(now);
    for (auto& [link, follower] : m_followers)
    {
        // A follower that listens is a node alive.
        const auto known = m_known.find(follower.node.address);
        if (known != m_known.end())
            known->second.heard = now;
        // News are told at once, and so is that the copy was proved anew: it grows old again at each hop.
        const bool fresher = m_asOf > follower.fedAsOf + worthTelling;
        const bool news = m_table.revision() > follower.sentAt || m_table.sequence() != follower.sentSequence;
        const bool tells = mayTell() && !refers(follower, now);
        if (m_news.hasUrgentSince(follower.newsTold))
            follower.nextBeat = std::min(follower.nextBeat, follower.fedAt + m_settings.gather);
        else if (m_news.hasLimitsSince(follower.newsTold))
            follower.nextBeat = std::min<core::Timestamp>(follower.nextBeat, follower.fedAt + ServerGossip::batchDelay);
        if (tells && follower.wantsAll)
            follower.nextBeat = now;
        else if (tells && (news || fresher))
            follower.nextBeat = std::min(follower.nextBeat, follower.fedAt + m_settings.gather);
        if (!tells && follower.wantsAll && namesHash(follower) != follower.namesTold)
        {
            // Who has been named none waits for names; who was named some finds others only if these are silent.
            const bool named = follower.namesTold != 0;
            follower.nextBeat = std::min(follower.nextBeat, follower.fedAt + (named ? namesAfter : m_settings.gather));
        }
        if (now >= follower.nextBeat)
            feed(link, follower, tells, now);
    }
}

////////////////////////////////////////////////////////////
void Replica::feed(LinkId link, Follower& follower, bool tells, core::Timestamp now)
{
    Update update;
    update.at = tells ? m_table.revision() : 0;
    update.ageMs = ageMs(m_asOf, now);
    update.illAgeMs = ageMs(m_ill, now);
    update.sentMs = static_cast<std::uint64_t>(core::toMilliseconds(now.time_since_epoch()));
    if (update.at > 0 && follower.wantsAll)
        m_introductions.copySent(now);
    if (update.at > 0)
        tellItems(update, follower);
    if (update.at == 0 && follower.wantsAll)
        nameRelays(update, follower, now);
    else
        tellNodes(update, follower, now);
    update.news = m_news.reportsForFollower(follower.newsTold, link);
    tellLimits(update, follower, now);
    follower.newsTold = m_news.reportCount();
    follower.fedAt = now;
    follower.fedAsOf = m_asOf;
    follower.nextBeat = now + m_settings.beat;
    m_actions.push_back(SendUpdate{link, std::move(update)});
}

////////////////////////////////////////////////////////////
void Replica::tellLimits(Update& update, Follower& follower, core::Timestamp now)
{
    // A life that begins would send to limited servers as to others until it is told of each anew.
    if (follower.limitsTold || update.at == 0)
        return;
    follower.limitsTold = true;
    if (auto report = m_news.currentLimits(now))
        update.news.push_back(std::move(*report));
}

////////////////////////////////////////////////////////////
void Replica::tellItems(Update& update, Follower& follower)
{
    const bool lost = follower.sentSequence < m_table.oldestSequence();
    update.after = follower.wantsAll || lost ? 0 : m_table.resendAfter(follower.sentAt);
    update.full = update.after == 0;
    update.gapped = m_table.hasGapAfter(update.after);
    if (update.full && follower.packs)
        update.sharedItems = wholeCopy();
    else
        update.items = update.full ? m_table.all() : m_table.changesAfter(update.after);
    if (!update.full)
    {
        const auto late = m_table.lateChanges(follower.sentSequence, update.after);
        update.items.insert(update.items.end(), late.begin(), late.end());
        packLarge(update, follower.sentAt);
    }
    follower.sentSequence = m_table.sequence();
    follower.wantsAll = false;
    follower.sentAt = update.at;
}

////////////////////////////////////////////////////////////
void Replica::tellNodes(Update& update, Follower& follower, core::Timestamp now) const
{
    const std::size_t known = m_known.size() + 1;
    const bool        many = static_cast<double>(known) > (1 + newNodesShare) * static_cast<double>(follower.nodesTold);
    if (now < follower.nextNodes && (!many || now < follower.newNodesAt))
        return;
    update.nodes = nodeList(now);
    follower.nodesTold = known;
    follower.newNodesAt = now + newNodesAfter;
    follower.nextNodes = now + std::max<core::Duration>(std::chrono::seconds{1}, nodesEvery * known);
}

////////////////////////////////////////////////////////////
std::vector<NodeAddress> Replica::nodeList(core::Timestamp now) const
{
    std::vector<NodeAddress> nodes{m_settings.self};
    for (const auto& [address, known] : m_known)
    {
        if (now - known.heard < m_settings.nodeLife && !known.dataCentre.empty())
            nodes.push_back({address, known.dataCentre, ageMs(known.heard, now), known.capacity});
    }
    return nodes;
}

////////////////////////////////////////////////////////////
bool Replica::mayTell() const
{
    return proved() && m_table.isExact();
}

} // namespace sailpath::replication

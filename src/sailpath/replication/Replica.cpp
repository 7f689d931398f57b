#include <sailpath/replication/Replica.hpp>

#include <sailpath/replication/ValueDelta.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto   longestRest = std::chrono::milliseconds{500};
constexpr auto   leastRest = std::chrono::milliseconds{5};
constexpr auto   longestBackoff = std::chrono::milliseconds{1500};
constexpr auto   atOnce = std::chrono::milliseconds{1};
constexpr auto   nodesEvery = std::chrono::milliseconds{50}; // For each node known, between tellings of them
constexpr auto   newNodesAfter = std::chrono::milliseconds{300};
constexpr double newNodesShare = 0.1;  // More nodes than were told, so that they are told at once
constexpr int    followerPatience = 3; // Times as long between calls of a store that fails, when watchers are heard
constexpr auto   worthTelling = std::chrono::milliseconds{400}; // A copy that is so much fresher than was told
constexpr auto   reportEvery = std::chrono::seconds{3};         // Of a relay's followers, to its own relays
constexpr std::size_t   mostPacked = 8;                         // Packed values kept for the next follower
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
Replica::Replica(ReplicaSettings settings, core::Timestamp now) :
m_settings(std::move(settings)),
m_random(m_settings.seed),
m_born(now),
m_now(now)
{
    for (const std::string& seed : m_settings.seeds)
    {
        if (seed != m_settings.self.address)
            m_known[seed].heard = now;
    }
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::tick(core::Timestamp now)
{
    m_now = now;
    std::erase_if(m_known, [&](const auto& item) { return now - item.second.heard > m_settings.countLife; });
    manageUpstreams(now);
    manageStore(now);
    feedFollowers(now);
    report(now);
}

////////////////////////////////////////////////////////////
bool Replica::shouldWatch(core::Timestamp now) const
{
    // Everybody reads the store once at its start: relays would choke on whole pictures for all.
    if (!m_booted || m_watchRole || (!m_followers.empty() && !fedSteadily(now)))
        return true;
    if (known() && !proved())
        return now >= m_proveAt;
    if (!m_followers.empty() && !m_table.exact())
        return true;
    if (age(now) > m_settings.staleAfter && now - m_born > m_settings.bootWait)
        return true;
    // Once begun, the own watch goes on until relays have proved steady.
    return m_store == StoreState::Watching && !fedSteadily(now);
}

////////////////////////////////////////////////////////////
void Replica::manageStore(core::Timestamp now)
{
    if (m_store != StoreState::Idle || now < m_nextStore || !shouldWatch(now))
        return;
    if (m_needRead || !known())
    {
        m_store = StoreState::Reading;
        // At the start an old reading will do, as relays tell what is new since.
        m_actions.push_back(ReadStore{m_booted || m_settings.seeds.empty() ? Reading::Latest : Reading::MayBeOld});
        m_booted = true;
        return;
    }
    startWatch(now);
}

////////////////////////////////////////////////////////////
void Replica::startWatch(core::Timestamp now)
{
    m_store = StoreState::Watching;
    // A picture that is old already is proved at once; a watch proves it at its end only.
    m_proving = age(now) > m_settings.staleAfter / 2 || !m_table.exact();
    m_watchedAt = now;
    m_watchedFor = m_proving ? core::Duration(atOnce) : m_settings.watchWait;
    m_actions.push_back(WatchStore{m_table.at(), m_watchedFor});
}

////////////////////////////////////////////////////////////
void Replica::noteFresh(core::Timestamp asOf, core::Timestamp now)
{
    if (age(now) > m_settings.staleAfter)
        m_actions.push_back(Note{"picture-fresh", "", core::toMilliseconds(now - asOf)});
    m_asOf = std::max(m_asOf, asOf);
}

////////////////////////////////////////////////////////////
void Replica::storeRead(std::span<const Item> items, std::uint64_t at, std::optional<core::Timestamp> asOf,
                        core::Timestamp now, std::uint64_t upTo)
{
    m_store = StoreState::Idle;
    m_storeFailures = 0;
    m_needRead = false;
    m_actions.push_back(Note{"store-read", asOf ? "snapshot" : "may-be-old", static_cast<double>(at)});
    if (asOf)
    {
        m_table.takeSnapshot(items, at, m_changes);
        noteFresh(*asOf, now);
    }
    else
        m_table.takeReading(items, at, upTo, m_changes);
    if (!proved())
        m_proveAt = m_relaysLacking >= m_settings.upstreams ? now : now + m_settings.proofWait;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_storeFailures = 0;
    // All keys are watched, so the copy is of the last change that was told, whatever revision is named.
    std::uint64_t told = 0;
    for (const Item& item : items)
        told = std::max(told, item.revision);
    if (!items.empty())
        m_table.take(items, std::min(told, at), m_changes);
    // The store waited for all of the time asked for, or answered some time since.
    const core::Timestamp given = items.empty() ? m_watchedAt + m_watchedFor : m_watchedAt;
    noteFresh(std::min(given, now), now);
    m_needRead = m_needRead || (items.empty() && !m_followers.empty() && !m_table.exact());
    if (!items.empty() && age(now) <= m_settings.staleAfter / 2)
        m_nextStore = now + m_settings.watchPause;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::historyLost(core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_needRead = true;
    m_actions.push_back(Note{"history-lost", "", 0});
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeFailed(core::Timestamp now)
{
    m_store = StoreState::Idle;
    if (m_storeFailures == 0)
        m_actions.push_back(Note{"store-failed", "", 0});
    const auto doublings = std::min(m_storeFailures, 4U);
    ++m_storeFailures;
    m_ill = now;
    // The watchers look for the store's return and tell those that follow them.
    const int  patience = !m_watchRole && hearsRelays() ? followerPatience : 1;
    const auto backoff =
        patience * std::min<core::Duration>(m_settings.firstBackoff * (1U << doublings), longestBackoff);
    m_nextStore = now + core::fromMilliseconds(core::toMilliseconds(backoff) * (0.5 + m_random.unit()));
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::linkOpened(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.open = true;
    found->second.heard = now;
    found->second.helloAt = now;
    const bool whole = m_wholeFrom.erase(found->second.address) > 0;
    m_actions.push_back(SendHello{link, {m_settings.self, whole ? 0 : m_table.at()}});
}

////////////////////////////////////////////////////////////
void Replica::linkAlive(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found != m_upstreams.end())
        found->second.heard = now;
}

////////////////////////////////////////////////////////////
void Replica::linkClosed(LinkId link, core::Timestamp now)
{
    const auto upstream = m_upstreams.find(link);
    if (upstream != m_upstreams.end())
    {
        const std::string address = upstream->second.address;
        m_upstreams.erase(upstream);
        avoid(address, now, "relay-lost");
        noteLacking(now);
    }
    m_followers.erase(link);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::noteLacking(core::Timestamp now)
{
    // As many relays as a node follows could not prove its first reading: all nodes may have just started.
    ++m_relaysLacking;
    if (known() && !proved() && m_relaysLacking >= m_settings.upstreams)
        m_proveAt = std::min(m_proveAt, now);
}

////////////////////////////////////////////////////////////
void Replica::helloReceived(LinkId link, const Hello& hello, core::Timestamp now)
{
    hear(hello.self, now);
    Follower follower;
    follower.node = hello.self;
    follower.sentAt = hello.at;
    follower.sentSequence = m_table.sequence();
    follower.wantsAll = hello.at == 0 || hello.at > m_table.at();
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
    upstream->second.heard = now;
    const core::Duration way = wayOf(update, upstream->second, now);
    Known&               relay = m_known[upstream->second.address];
    relay.heard = now;
    if (update.illAgeMs != longestAge)
        m_ill = std::max(m_ill, now - core::Duration(std::chrono::milliseconds{update.illAgeMs}));
    if (update.at == 0)
    {
        noteLacking(now);
        return tick(now);
    }
    auto large = unpackLarge(update);
    if (update.after > m_table.at() || !large)
    {
        // What came between, or the value that a large one differs from, is not known here: begin anew.
        if (!large)
            m_wholeFrom.insert(upstream->second.address);
        m_actions.push_back(Note{"update-missed", upstream->second.address, static_cast<double>(update.after)});
        m_actions.push_back(CloseLink{link});
        m_upstreams.erase(upstream);
        return tick(now);
    }
    upstream->second.fed = true;
    large->insert(large->end(), update.items.begin(), update.items.end());
    takeUpdate(upstream->second.address, update, *large);
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
        m_actions.push_back(CloseLink{link});
        m_upstreams.erase(upstream);
        avoid(address, now, "relay-stale");
    }
    tick(now);
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
            m_actions.push_back(SendReport{link, {nodes}});
    }
}

////////////////////////////////////////////////////////////
void Replica::reportReceived(const Report& report, core::Timestamp now)
{
    for (const NodeAddress& node : report.nodes)
        hear(node, now);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::packLarge(Update& update, std::uint64_t sentAt)
{
    const auto        small = std::stable_partition(update.items.begin(), update.items.end(),
                                                    [](const Item& item) { return item.value.size() < largeValue; });
    std::vector<Item> whole;
    for (auto item = small; item != update.items.end(); ++item)
    {
        const Item* const base = m_table.asOf(item->key, sentAt);
        if (base != nullptr && base->revision < item->revision && base->value.size() >= largeValue)
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
        const Item* const newest = m_table.asOf(large.key, std::numeric_limits<std::uint64_t>::max());
        if (newest != nullptr && newest->revision >= large.revision)
        {
            items.push_back(*newest);
            continue;
        }
        const Item* const base = m_table.asOf(large.key, large.base);
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
        return m_table.take(items, update.at, m_changes);
    if (!update.full)
        return m_table.take({update.after, update.at, update.gapped, items}, m_changes);
    m_table.takeSnapshot(items, update.at, m_changes);
    m_needRead = false;
    m_actions.push_back(Note{"whole-copy-from-relay", relay, static_cast<double>(update.at)});
}

////////////////////////////////////////////////////////////
void Replica::feedFollowers(core::Timestamp now)
{
    for (auto& [link, follower] : m_followers)
    {
        // A follower that listens is a node alive.
        const auto known = m_known.find(follower.node.address);
        if (known != m_known.end())
            known->second.heard = now;
        // News are told at once, and so is that the copy was proved anew: it grows old again at each hop.
        const bool fresher = m_asOf - follower.fedAsOf > worthTelling;
        const bool news = m_table.at() > follower.sentAt || m_table.sequence() != follower.sentSequence;
        if (mayTell() && (news || fresher))
            follower.nextBeat = std::min(follower.nextBeat, follower.fedAt + m_settings.gather);
        if (now >= follower.nextBeat)
            feed(link, follower, now);
    }
}

////////////////////////////////////////////////////////////
void Replica::feed(LinkId link, Follower& follower, core::Timestamp now)
{
    Update update;
    update.at = mayTell() ? m_table.at() : 0;
    update.ageMs = ageMs(m_asOf, now);
    update.illAgeMs = ageMs(m_ill, now);
    update.sentMs = static_cast<std::uint64_t>(core::toMilliseconds(now.time_since_epoch()));
    if (update.at > 0)
    {
        const bool lost = follower.sentSequence < m_table.oldestSequence();
        update.after = follower.wantsAll || lost ? 0 : m_table.tellAfter(follower.sentAt);
        update.full = update.after == 0;
        update.gapped = m_table.gapAfter(update.after);
        update.items = update.full ? m_table.all() : m_table.since(update.after);
        if (!update.full)
        {
            const auto late = m_table.late(follower.sentSequence, update.after);
            update.items.insert(update.items.end(), late.begin(), late.end());
            packLarge(update, follower.sentAt);
        }
        follower.sentSequence = m_table.sequence();
        follower.wantsAll = false;
        follower.sentAt = update.at;
    }
    const std::size_t known = m_known.size() + 1;
    const bool        many = static_cast<double>(known) > (1 + newNodesShare) * static_cast<double>(follower.nodesTold);
    if (now >= follower.nextNodes || (many && now >= follower.newNodesAt))
    {
        update.nodes = nodeList(now);
        follower.nodesTold = known;
        follower.newNodesAt = now + newNodesAfter;
        follower.nextNodes = now + std::max<core::Duration>(std::chrono::seconds{1}, nodesEvery * known);
    }
    follower.fedAt = now;
    follower.fedAsOf = m_asOf;
    follower.nextBeat = now + m_settings.beat;
    m_actions.push_back(SendUpdate{link, std::move(update)});
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
std::vector<ReplicaAction> Replica::takeActions()
{
    return std::exchange(m_actions, {});
}

////////////////////////////////////////////////////////////
std::vector<Item> Replica::takeChanges()
{
    return std::exchange(m_changes, {});
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::nextDue() const
{
    core::Timestamp next = m_now + longestRest;
    for (const auto& [link, follower] : m_followers)
        next = std::min(next, follower.nextBeat);
    for (const auto& [link, upstream] : m_upstreams)
        next = std::min(next, std::max(upstream.since, upstream.heard) +
                                  (upstream.open ? m_settings.linkSilence : m_settings.connectPatience));
    if (m_store == StoreState::Idle)
        next = std::min(next, m_nextStore > m_now ? m_nextStore : staleAt());
    if (known() && !proved())
        next = std::min(next, std::max(m_proveAt, m_now));
    if (m_now - m_born < m_settings.bootWait)
        next = std::min(next, m_born + m_settings.bootWait);
    return std::max(next, m_now) + leastRest;
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::staleAt() const
{
    // Stale already: what can be done about it is under way.
    const core::Timestamp at = known() ? m_asOf + m_settings.staleAfter : m_now;
    return at > m_now ? at : m_now + longestRest;
}

////////////////////////////////////////////////////////////
const ItemTable& Replica::table() const
{
    return m_table;
}

////////////////////////////////////////////////////////////
core::Duration Replica::age(core::Timestamp now) const
{
    return m_asOf == core::Timestamp::min() ? core::Duration::max() : now - m_asOf;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Replica::provedAt() const
{
    return proved() ? std::optional(m_asOf) : std::nullopt;
}

////////////////////////////////////////////////////////////
bool Replica::known() const
{
    return m_table.at() > 0;
}

////////////////////////////////////////////////////////////
bool Replica::proved() const
{
    return m_asOf != core::Timestamp::min();
}

////////////////////////////////////////////////////////////
bool Replica::mayTell() const
{
    return proved() && m_table.exact();
}

////////////////////////////////////////////////////////////
bool Replica::usable(core::Timestamp now) const
{
    return proved() || (known() && now - m_born > m_settings.bootWait);
}

////////////////////////////////////////////////////////////
bool Replica::storeIll(core::Timestamp now, core::Duration within) const
{
    return m_ill != core::Timestamp::min() && now - m_ill < within;
}

////////////////////////////////////////////////////////////
unsigned Replica::nodes(core::Timestamp now) const
{
    return 1 + static_cast<unsigned>(std::count_if(m_known.begin(), m_known.end(),
                                                   [&](const auto& item)
                                                   { return now - item.second.heard < m_settings.countLife; }));
}

////////////////////////////////////////////////////////////
bool Replica::watching() const
{
    return m_store != StoreState::Idle;
}

////////////////////////////////////////////////////////////
std::size_t Replica::followers() const
{
    return m_followers.size();
}

} // namespace sailpath::replication

#include <sailpath/replication/Replica.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto   longestRest = std::chrono::milliseconds{500};
constexpr auto   leastRest = std::chrono::milliseconds{5};
constexpr auto   bootWait = std::chrono::milliseconds{600}; // For seeds to answer before a node calls the store itself
constexpr auto   firstBackoff = std::chrono::milliseconds{250};
constexpr auto   longestBackoff = std::chrono::milliseconds{1500};
constexpr auto   atOnce = std::chrono::milliseconds{1};
constexpr auto   nodesEvery = std::chrono::milliseconds{50}; // For each node known, between tellings of them
constexpr auto   newNodesAfter = std::chrono::milliseconds{300};
constexpr double newNodesShare = 0.1; // More nodes than were told, so that they are told at once
constexpr auto   relaySteady = std::chrono::milliseconds{1200}; // A relay is fresh this long before the own watch ends
constexpr int    followerPatience = 3; // Times as long between calls of a store that fails, when watchers are heard
constexpr auto   rankEvery = std::chrono::milliseconds{200};    // Also at once when a node is new or failed
constexpr auto   worthTelling = std::chrono::milliseconds{400}; // A copy that is so much fresher than was told
constexpr auto   connectPatience = std::chrono::milliseconds{700};
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
}

////////////////////////////////////////////////////////////
bool Replica::isSeed(const std::string& address) const
{
    return std::find(m_settings.seeds.begin(), m_settings.seeds.end(), address) != m_settings.seeds.end();
}

////////////////////////////////////////////////////////////
std::size_t Replica::relaysWanted(std::size_t dataCentres, core::Timestamp now) const
{
    const std::size_t known = nodes(now);
    const std::size_t bySize = std::max<std::size_t>(m_settings.watchers, known / m_settings.nodesPerRelay + 1);
    const std::size_t byPlace = known < m_settings.largeFleet ? 0 : m_settings.relaysPerDataCentre * dataCentres;
    return std::max(bySize, byPlace);
}

////////////////////////////////////////////////////////////
std::vector<Replica::Relay> Replica::rankRelays(core::Timestamp now) const
{
    struct Candidate
    {
        std::uint32_t capacity;
        std::uint64_t rank;
        Relay         relay;
    };
    std::vector<Candidate> candidates;
    // Before peers have told of others, only seeds count as relays, or every node would be one.
    if (now - m_born > bootWait || m_settings.seeds.empty() || isSeed(m_settings.self.address))
        candidates.push_back({m_settings.self.capacity,
                              core::hash(m_settings.self.address),
                              {m_settings.self.address, m_settings.self.dataCentre, false}});
    for (const auto& [address, known] : m_known)
    {
        if (now - known.heard < m_settings.nodeLife && now >= known.avoidUntil)
            candidates.push_back({known.capacity, core::hash(address), {address, known.dataCentre, false}});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& left, const Candidate& right)
              { return left.capacity != right.capacity ? left.capacity > right.capacity : left.rank < right.rank; });
    std::map<std::string, std::size_t> byPlace;
    for (const Candidate& candidate : candidates)
        byPlace[candidate.relay.dataCentre] = 0;
    const std::size_t  wanted = relaysWanted(byPlace.size(), now);
    // The first of each data centre, then the second of each, and so on.
    std::vector<Relay> chosen;
    for (std::size_t turn = 0; chosen.size() < std::min(wanted, candidates.size()); ++turn)
    {
        std::map<std::string, std::size_t> seen;
        for (const Candidate& candidate : candidates)
        {
            if (seen[candidate.relay.dataCentre]++ != turn || chosen.size() >= wanted)
                continue;
            chosen.push_back(candidate.relay);
            chosen.back().watcher = chosen.size() <= m_settings.watchers;
        }
    }
    return chosen;
}

////////////////////////////////////////////////////////////
void Replica::rank(core::Timestamp now)
{
    if (now < m_rankAt)
        return;
    m_rankAt = now + rankEvery;
    const std::vector<Relay> ranked = rankRelays(now);
    const bool               watched = m_watchRole;
    m_watchRole =
        std::any_of(ranked.begin(), ranked.end(),
                    [this](const Relay& relay) { return relay.watcher && relay.address == m_settings.self.address; });
    m_wanted = chooseUpstreams(ranked);
    if (m_watchRole && !watched)
        m_nextStore = std::min<core::Timestamp>(m_nextStore, now + firstBackoff);
}

////////////////////////////////////////////////////////////
std::vector<std::string> Replica::chooseUpstreams(const std::vector<Relay>& relays) const
{
    const auto isSelf = [this](const Relay& relay) { return relay.address == m_settings.self.address; };
    const bool relaysItself = std::any_of(relays.begin(), relays.end(), isSelf);
    // Relays hear from the watchers, others from the relays beside them.
    const auto farness = [&](const Relay& relay)
    {
        const bool near = relay.dataCentre == m_settings.self.dataCentre;
        if (relaysItself)
            return relay.watcher ? 0 : 1 + (near ? 0 : 1);
        return near ? 0 : 1 + (relay.watcher ? 0 : 1);
    };
    // Among equals each node follows relays of its own choice, so that these share the work.
    std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> others;
    for (const Relay& relay : relays)
    {
        if (!isSelf(relay))
            others.push_back({{farness(relay), core::hash(relay.address + m_settings.self.address)}, relay.address});
    }
    std::sort(others.begin(), others.end());
    std::vector<std::string> upstreams;
    for (std::size_t i = 0; i < std::min<std::size_t>(others.size(), m_settings.upstreams); ++i)
        upstreams.push_back(std::move(others[i].second));
    return upstreams;
}

////////////////////////////////////////////////////////////
void Replica::manageUpstreams(core::Timestamp now)
{
    for (auto item = m_upstreams.begin(); item != m_upstreams.end();)
    {
        const Upstream& upstream = item->second;
        const auto      silent = now - std::max(upstream.since, upstream.heard);
        const auto      patience = upstream.open ? m_settings.linkSilence : core::Duration(connectPatience);
        if (silent <= patience)
        {
            ++item;
            continue;
        }
        m_actions.push_back(CloseLink{item->first});
        const std::string address = upstream.address;
        item = m_upstreams.erase(item);
        avoid(address, now, "relay-silent");
    }
    rank(now);
    const std::vector<std::string>& relays = m_wanted;
    bool                            allFed = true;
    for (const std::string& address : relays)
    {
        const auto link = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                       [&](const auto& item) { return item.second.address == address; });
        allFed = allFed && link != m_upstreams.end() && link->second.fed;
        if (link != m_upstreams.end())
            continue;
        const LinkId id = m_nextLink;
        m_nextLink += 2;
        m_upstreams[id] = Upstream{address, false, now, {}, false};
        m_actions.push_back(OpenLink{id, address});
    }
    if (!allFed)
        return;
    // Links to former relays end once the new ones have sent something.
    for (auto item = m_upstreams.begin(); item != m_upstreams.end();)
    {
        if (std::find(relays.begin(), relays.end(), item->second.address) != relays.end())
        {
            ++item;
            continue;
        }
        m_actions.push_back(CloseLink{item->first});
        item = m_upstreams.erase(item);
    }
}

////////////////////////////////////////////////////////////
bool Replica::shouldWatch(core::Timestamp now) const
{
    // Everybody reads the store once at its start: relays would choke on whole pictures for all.
    if (!m_booted || m_watchRole || (!m_followers.empty() && !fedSteadily(now)))
        return true;
    if (known() && !proved())
        return now >= m_proveAt;
    if (age(now) > m_settings.staleAfter && now - m_born > bootWait)
        return true;
    // Once begun, the own watch goes on until relays have proved steady.
    return m_store == StoreState::Watching && !fedSteadily(now);
}

////////////////////////////////////////////////////////////
bool Replica::fedSteadily(core::Timestamp now) const
{
    return m_relayFresh != core::Timestamp::min() && now - m_relayFresh < relaySteady;
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
    m_proving = age(now) > m_settings.staleAfter / 2;
    m_actions.push_back(WatchStore{m_table.at(), m_proving ? core::Duration(atOnce) : m_settings.watchWait});
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
                        core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_storeFailures = 0;
    m_needRead = false;
    m_table.takeAll(items, at, m_changes);
    if (asOf)
        noteFresh(*asOf, now);
    else if (!proved())
        m_proveAt = m_relaysLacking >= m_settings.upstreams ? now : now + m_settings.proofWait;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_storeFailures = 0;
    m_table.take(items, at, m_changes);
    noteFresh(now, now);
    if (!items.empty())
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
    const auto backoff = patience * std::min<core::Duration>(firstBackoff * (1U << doublings), longestBackoff);
    m_nextStore = now + core::fromMilliseconds(core::toMilliseconds(backoff) * (0.5 + m_random.unit()));
    tick(now);
}

////////////////////////////////////////////////////////////
bool Replica::hearsRelays() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto& item) { return item.second.open && item.second.fed; });
}

////////////////////////////////////////////////////////////
void Replica::linkOpened(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.open = true;
    found->second.heard = now;
    m_actions.push_back(SendHello{link, {m_settings.self, m_table.at()}});
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
    follower.wantsAll = hello.at == 0 || hello.at < m_table.oldestSince() || hello.at > m_table.at();
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
    Known& relay = m_known[upstream->second.address];
    relay.heard = now;
    if (update.illAgeMs != longestAge)
        m_ill = std::max(m_ill, now - core::Duration(std::chrono::milliseconds{update.illAgeMs}));
    if (update.at == 0)
    {
        noteLacking(now);
        return tick(now);
    }
    upstream->second.fed = true;
    if (update.full)
    {
        m_table.takeAll(update.items, update.at, m_changes);
        m_needRead = false;
    }
    else
        m_table.take(update.items, update.at, m_changes);
    const core::Duration old = std::chrono::milliseconds{update.ageMs};
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
void Replica::hear(const NodeAddress& node, core::Timestamp now)
{
    if (node.address == m_settings.self.address || node.address.empty())
        return;
    const auto heard = now - core::Duration(std::chrono::milliseconds{node.ageMs});
    if (now - heard > m_settings.nodeLife)
        return;
    Known& known = m_known[node.address];
    if (known.dataCentre.empty() || known.heard == core::Timestamp{})
        m_rankAt = {};
    known.dataCentre = node.dataCentre;
    known.capacity = node.capacity;
    known.heard = std::max(known.heard, heard);
}

////////////////////////////////////////////////////////////
void Replica::avoid(const std::string& address, core::Timestamp now, std::string_view why)
{
    Known& known = m_known[address];
    if (known.heard == core::Timestamp{})
        known.heard = now;
    const auto doublings = std::min(known.failures, 2U);
    ++known.failures;
    known.avoidUntil = now + m_settings.avoidance * (1U << doublings);
    m_rankAt = {};
    m_actions.push_back(Note{std::string(why), address, core::toMilliseconds(age(now))});
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
        const bool fresher = proved() && m_asOf - follower.fedAsOf > worthTelling;
        if (m_table.at() > follower.sentAt || fresher)
            follower.nextBeat = std::min(follower.nextBeat, follower.fedAt + m_settings.gather);
        if (now >= follower.nextBeat)
            feed(link, follower, now);
    }
}

////////////////////////////////////////////////////////////
void Replica::feed(LinkId link, Follower& follower, core::Timestamp now)
{
    Update update;
    update.at = proved() ? m_table.at() : 0;
    update.ageMs = ageMs(m_asOf, now);
    update.illAgeMs = ageMs(m_ill, now);
    if (update.at > 0)
    {
        update.full = follower.wantsAll;
        update.items = follower.wantsAll ? m_table.all() : m_table.since(follower.sentAt);
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
                                  (upstream.open ? m_settings.linkSilence : core::Duration(connectPatience)));
    if (m_store == StoreState::Idle)
        next = std::min(next, m_nextStore > m_now ? m_nextStore : staleAt());
    if (known() && !proved())
        next = std::min(next, std::max(m_proveAt, m_now));
    if (m_now - m_born < bootWait)
        next = std::min(next, m_born + bootWait);
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
bool Replica::usable(core::Timestamp now) const
{
    return proved() || (known() && now - m_born > bootWait);
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

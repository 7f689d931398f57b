// Ranks the nodes that a replica knows and maintains its links to the relays it follows.

#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Replica.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto rankingInterval = std::chrono::milliseconds{200};    // A relay that failed causes a ranking at once
constexpr auto newNodeRankingDelay = std::chrono::milliseconds{20}; // Nodes that arrive together are ranked together
constexpr auto initialRelayBackoff = std::chrono::milliseconds{80}; // While no relay has ever sent a fresh copy
constexpr auto relayFreshPeriod =
    std::chrono::milliseconds{1200}; // From a relay's last fresh update; after that, this node may watch the store

} // namespace

////////////////////////////////////////////////////////////
bool Replica::isSeed(const std::string& address) const
{
    return std::find(m_settings.seeds.begin(), m_settings.seeds.end(), address) != m_settings.seeds.end();
}

////////////////////////////////////////////////////////////
std::size_t Replica::desiredRelayCount(std::size_t dataCentres, core::Timestamp now) const
{
    const std::size_t known = nodeCount(now);
    const std::size_t bySize = std::max<std::size_t>(m_settings.watcherCount, known / m_settings.nodesPerRelay + 1);
    const std::size_t byDataCentre =
        known < m_settings.largeFleetSize ? 0 : m_settings.relaysPerDataCentre * dataCentres;
    return std::max(bySize, byDataCentre);
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
    // Before peers have told of other nodes, only seeds and nodes that seeds named rank as relays; otherwise every
    // node would be a relay.
    const bool             introduced = m_firstCopy.isRelay() || hadFreshRelay();
    if (now - m_startedAt > m_settings.startupPeriod || m_settings.seeds.empty() || introduced)
        candidates.push_back({m_settings.self.capacity,
                              core::hash(m_settings.self.address),
                              {m_settings.self.address, m_settings.self.dataCentre, false}});
    for (const auto& [address, known] : m_knownNodes)
    {
        if (now - known.lastHeardAt < m_settings.nodeTtl && now >= known.avoidUntil)
            candidates.push_back({known.capacity, core::hash(address), {address, known.dataCentre, false}});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& left, const Candidate& right)
              { return left.capacity != right.capacity ? left.capacity > right.capacity : left.rank < right.rank; });
    std::map<std::string, std::size_t> dataCentres;
    for (const Candidate& candidate : candidates)
        dataCentres[candidate.relay.dataCentre] = 0;
    const std::size_t  wanted = desiredRelayCount(dataCentres.size(), now);
    // Choose the first candidate of each data centre, then the second of each, and so on.
    std::vector<Relay> chosen;
    for (std::size_t round = 0; chosen.size() < std::min(wanted, candidates.size()); ++round)
    {
        std::map<std::string, std::size_t> seen;
        for (const Candidate& candidate : candidates)
        {
            if (seen[candidate.relay.dataCentre]++ != round || chosen.size() >= wanted)
                continue;
            chosen.push_back(candidate.relay);
            chosen.back().watcher = chosen.size() <= m_settings.watcherCount;
        }
    }
    return chosen;
}

////////////////////////////////////////////////////////////
void Replica::updateRanking(core::Timestamp now)
{
    if (!hasCopy())
    {
        m_wantedUpstreams = m_firstCopy.upstreamsToFollow(now);
        return;
    }
    if (now < m_nextRanking)
        return;
    m_nextRanking = now + rankingInterval;
    m_rankingPending = false;
    const std::vector<Relay> ranked = rankRelays(now);
    const bool               wasWatcher = m_isWatcher;
    m_isWatcher =
        std::any_of(ranked.begin(), ranked.end(),
                    [this](const Relay& relay) { return relay.watcher && relay.address == m_settings.self.address; });
    m_wantedUpstreams = chooseUpstreams(ranked);
    if (m_isWatcher && !wasWatcher)
        m_nextStoreCall = std::min<core::Timestamp>(m_nextStoreCall, now + m_settings.initialStoreBackoff);
}

////////////////////////////////////////////////////////////
std::vector<std::string> Replica::chooseUpstreams(const std::vector<Relay>& relays) const
{
    const auto isSelf = [this](const Relay& relay) { return relay.address == m_settings.self.address; };
    const bool selfIsRelay = std::any_of(relays.begin(), relays.end(), isSelf);
    // Relays prefer to follow watchers; other nodes prefer relays of their own data centre.
    const auto distance = [&](const Relay& relay)
    {
        const bool sameDataCentre = relay.dataCentre == m_settings.self.dataCentre;
        if (selfIsRelay)
            return relay.watcher ? 0 : 1 + (sameDataCentre ? 0 : 1);
        return sameDataCentre ? 0 : 1 + (relay.watcher ? 0 : 1);
    };
    // Each node orders equally distant relays by hashes of its own, which spreads the followers over the relays.
    std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> others;
    for (const Relay& relay : relays)
    {
        if (!isSelf(relay))
            others.push_back({{distance(relay), core::hash(relay.address + m_settings.self.address)}, relay.address});
    }
    std::sort(others.begin(), others.end());
    std::vector<std::string> upstreams;
    for (std::size_t i = 0; i < std::min<std::size_t>(others.size(), m_settings.upstreamCount); ++i)
        upstreams.push_back(std::move(others[i].second));
    return upstreams;
}

////////////////////////////////////////////////////////////
core::Duration Replica::upstreamTimeout(const Upstream& upstream) const
{
    if (upstream.open)
        return m_settings.linkTimeout;
    return hadFreshRelay() ? m_settings.connectTimeout : m_firstCopy.linkTimeout(upstream.startedAt);
}

////////////////////////////////////////////////////////////
void Replica::manageUpstreams(core::Timestamp now)
{
    for (auto item = m_upstreams.begin(); item != m_upstreams.end();)
    {
        const Upstream& upstream = item->second;
        const auto      silent = now - std::max(upstream.startedAt, upstream.lastReceivedAt);
        if (silent <= upstreamTimeout(upstream))
        {
            ++item;
            continue;
        }
        m_actions.push_back(CloseLink{item->first});
        const std::string address = upstream.address;
        item = m_upstreams.erase(item);
        if (hasCopy())
            avoidRelay(address, now, "relay-silent");
        else
            m_firstCopy.linkDown(address, now);
    }
    updateRanking(now);
    const std::vector<std::string>& relays = m_wantedUpstreams;
    bool                            allReceived = true;
    for (const std::string& address : relays)
    {
        const auto link = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                       [&](const auto& item) { return item.second.address == address; });
        allReceived = allReceived && link != m_upstreams.end() && link->second.receivedUpdate;
        if (link != m_upstreams.end())
            continue;
        const LinkId id = m_nextLink;
        m_nextLink += 2;
        m_upstreams[id] = Upstream{address, false, now, {}, false, {}, {}, {}};
        m_actions.push_back(OpenLink{id, address});
    }
    if (!allReceived)
        return;
    // Links to former relays are closed once all wanted relays have sent an update.
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
bool Replica::hadFreshRelay() const
{
    return m_relayFreshAt != core::Timestamp::min();
}

////////////////////////////////////////////////////////////
bool Replica::hasFreshRelay(core::Timestamp now) const
{
    return m_relayFreshAt != core::Timestamp::min() && now - m_relayFreshAt < relayFreshPeriod;
}

////////////////////////////////////////////////////////////
bool Replica::receivesUpdates() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto& item) { return item.second.open && item.second.receivedUpdate; });
}

////////////////////////////////////////////////////////////
void Replica::recordNode(const NodeAddress& node, core::Timestamp now)
{
    if (node.address == m_settings.self.address || node.address.empty())
        return;
    const auto heard = now - core::Duration(std::chrono::milliseconds{node.ageMs});
    if (now - heard > m_settings.nodeTtl)
        return;
    KnownNode& known = m_knownNodes[node.address];
    if (known.dataCentre.empty() || known.lastHeardAt == core::Timestamp{})
    {
        // A ranking for each of hundreds of nodes that arrive at once would take a small VM a second.
        m_nextRanking = std::min<core::Timestamp>(m_nextRanking, now + newNodeRankingDelay);
        m_rankingPending = true;
        ++m_newNodes;
    }
    known.dataCentre = node.dataCentre;
    known.capacity = node.capacity;
    known.lastHeardAt = std::max(known.lastHeardAt, heard);
    m_members.recordHeard(node.address, heard);
    m_membershipExchange.recordHeard(node.address, heard);
}

////////////////////////////////////////////////////////////
void Replica::avoidRelay(const std::string& address, core::Timestamp now, std::string_view event)
{
    KnownNode& known = m_knownNodes[address];
    if (known.lastHeardAt == core::Timestamp{})
        known.lastHeardAt = now;
    const auto doublings = std::min(known.failures, 2U);
    ++known.failures;
    // A node without a fresh relay so far retries seeds soon: seeds may get power last, and can introduce the node
    // to others only over a link.
    known.avoidUntil =
        now + (hadFreshRelay() ? m_settings.relayBackoff * (1U << doublings) : core::Duration(initialRelayBackoff));
    m_nextRanking = {};
    const auto ageOfCopy = proved() ? std::optional(core::toMilliseconds(age(now))) : std::nullopt;
    m_actions.push_back(LogEvent{std::string(event), address, ageOfCopy});
}

} // namespace sailpath::replication

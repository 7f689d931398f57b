// How a replica ranks the nodes it knows and keeps links to the relays it follows.

#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Replica.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto rankEvery = std::chrono::milliseconds{200};       // Also at once when a node failed
constexpr auto rankNewAfter = std::chrono::milliseconds{20};     // Nodes that are new are ranked together
constexpr auto unheardAvoidance = std::chrono::milliseconds{80}; // Of who could not be reached, before any relay was
constexpr auto relaySteady = std::chrono::milliseconds{1200};    // A relay is fresh this long before the own watch ends

} // namespace

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
    // Before peers have told of others, only seeds and who was named count as relays, or every node would be one.
    const bool             introduced = m_first.isRelay() || heardRelay();
    if (now - m_born > m_settings.bootWait || m_settings.seeds.empty() || introduced)
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
    if (!known())
    {
        m_wanted = m_first.upstreamsToFollow(now);
        return;
    }
    if (now < m_rankAt)
        return;
    m_rankAt = now + rankEvery;
    m_rankSoon = false;
    const std::vector<Relay> ranked = rankRelays(now);
    const bool               watched = m_watchRole;
    m_watchRole =
        std::any_of(ranked.begin(), ranked.end(),
                    [this](const Relay& relay) { return relay.watcher && relay.address == m_settings.self.address; });
    m_wanted = chooseUpstreams(ranked);
    if (m_watchRole && !watched)
        m_nextStore = std::min<core::Timestamp>(m_nextStore, now + m_settings.firstBackoff);
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
core::Duration Replica::patienceWith(const Upstream& upstream) const
{
    if (upstream.open)
        return m_settings.linkSilence;
    return heardRelay() ? m_settings.connectPatience : m_first.linkTimeout(upstream.since);
}

////////////////////////////////////////////////////////////
void Replica::manageUpstreams(core::Timestamp now)
{
    for (auto item = m_upstreams.begin(); item != m_upstreams.end();)
    {
        const Upstream& upstream = item->second;
        const auto      silent = now - std::max(upstream.since, upstream.heard);
        if (silent <= patienceWith(upstream))
        {
            ++item;
            continue;
        }
        m_actions.push_back(CloseLink{item->first});
        const std::string address = upstream.address;
        item = m_upstreams.erase(item);
        if (known())
            avoid(address, now, "relay-silent");
        else
            m_first.linkDown(address, now);
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
        m_upstreams[id] = Upstream{address, false, now, {}, false, {}, {}, {}};
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
bool Replica::heardRelay() const
{
    return m_relayFresh != core::Timestamp::min();
}

////////////////////////////////////////////////////////////
bool Replica::fedSteadily(core::Timestamp now) const
{
    return m_relayFresh != core::Timestamp::min() && now - m_relayFresh < relaySteady;
}

////////////////////////////////////////////////////////////
bool Replica::hearsRelays() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto& item) { return item.second.open && item.second.fed; });
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
    {
        // To rank anew at each of hundreds that come at once would take a small VM a second.
        m_rankAt = std::min<core::Timestamp>(m_rankAt, now + rankNewAfter);
        m_rankSoon = true;
        ++m_nodeChanges;
    }
    known.dataCentre = node.dataCentre;
    known.capacity = node.capacity;
    known.heard = std::max(known.heard, heard);
    m_members.heard(node.address, heard);
}

////////////////////////////////////////////////////////////
void Replica::avoid(const std::string& address, core::Timestamp now, std::string_view why)
{
    Known& known = m_known[address];
    if (known.heard == core::Timestamp{})
        known.heard = now;
    const auto doublings = std::min(known.failures, 2U);
    ++known.failures;
    // Who has heard nobody yet tries seeds again soon: these may get power last, and need it to introduce others.
    known.avoidUntil =
        now + (heardRelay() ? m_settings.avoidance * (1U << doublings) : core::Duration(unheardAvoidance));
    m_rankAt = {};
    const auto aged = proved() ? std::optional(core::toMilliseconds(age(now))) : std::nullopt;
    m_actions.push_back(Note{std::string(why), address, aged});
}

} // namespace sailpath::replication

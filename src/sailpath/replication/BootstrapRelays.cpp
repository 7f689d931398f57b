#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/BootstrapRelays.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr std::size_t   nodesPerRelay = 25;  // 25 compressed copies of 24 KB take 24 ms on 200 Mbit/s
constexpr std::uint32_t maxCapacityGap = 1;  // Capacity steps below the strongest node; 1 step is half its capacity
constexpr std::size_t   maxServedBySeed = 8; // For a seed of capacity 1: 8 copies of 24 KB take 77 ms on 20 Mbit/s
constexpr auto gatherDelay = std::chrono::milliseconds{50};        // From the beginning of a crowd to the first choice
constexpr auto baseServeInterval = std::chrono::milliseconds{100}; // Between copies of a crowded seed of capacity 0
constexpr std::uint32_t maxCapacity = 6;                           // Higher capacities count as this one
constexpr auto          sentWindow = std::chrono::seconds{1}; // Copies sent within this time may still be in transit
constexpr auto          awaitStrongerFor =
    std::chrono::milliseconds{150}; // From the beginning of a crowd; relays with a tenth of
                                    // the seed's capacity would cost more time than this wait
constexpr auto refreshInterval = std::chrono::milliseconds{10}; // Shortest time between two choices

} // namespace

////////////////////////////////////////////////////////////
std::vector<NodeAddress> chooseRelays(std::span<const NodeAddress> nodes, std::string_view dataCentre,
                                      std::span<const NodeAddress> current, std::uint32_t assumedCapacity)
{
    struct Candidate
    {
        const NodeAddress* node;
        bool               isCurrent;
        std::uint64_t      hash;
    };
    const auto isCurrentRelay = [&](const NodeAddress& node)
    {
        return std::any_of(current.begin(), current.end(),
                           [&](const NodeAddress& other) { return other.address == node.address; });
    };
    std::vector<Candidate> local;
    for (const NodeAddress& node : nodes)
    {
        if (node.dataCentre == dataCentre)
            local.push_back({&node, isCurrentRelay(node), core::hash(node.address)});
    }
    std::uint32_t strongest = assumedCapacity;
    for (const NodeAddress& node : nodes)
        strongest = std::max(strongest, node.capacity);
    const std::size_t relayCount = (local.size() + nodesPerRelay - 1) / nodesPerRelay;
    std::partial_sort(local.begin(), local.begin() + static_cast<std::ptrdiff_t>(relayCount), local.end(),
                      [](const Candidate& left, const Candidate& right)
                      {
                          return std::tuple(right.node->capacity, right.isCurrent, left.hash) <
                                 std::tuple(left.node->capacity, left.isCurrent, right.hash);
                      });
    std::vector<NodeAddress> relays;
    for (std::size_t i = 0; i < relayCount && local[i].node->capacity + maxCapacityGap >= strongest; ++i)
        relays.push_back(*local[i].node);
    return relays;
}

////////////////////////////////////////////////////////////
BootstrapRelays::BootstrapRelays(std::uint32_t capacity) :
m_capacity(capacity),
m_maxServed(maxServedBySeed << std::min(std::max(capacity, 1U) - 1, maxCapacity)),
m_serveInterval(core::Duration(baseServeInterval) / (1U << std::min(capacity, maxCapacity)))
{
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::tryServe(core::Timestamp now)
{
    if (now < m_nextServeAt)
        return false;
    m_nextServeAt = now + m_serveInterval;
    return true;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::updateWaiting(std::size_t followers, core::Timestamp now)
{
    while (!m_sentAt.empty() && now - m_sentAt.front() > sentWindow)
        m_sentAt.pop_front();
    const bool wasCrowded = std::exchange(m_isCrowded, followers + m_sentAt.size() > m_maxServed);
    if (wasCrowded == m_isCrowded)
        return;
    m_relays.clear();
    m_lastChanges = 0;
    m_crowdedSince = now;
    m_nextRefreshAt = now + gatherDelay;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::copySent(core::Timestamp now)
{
    m_sentAt.push_back(now);
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::isCrowded() const
{
    return m_isCrowded;
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::needsRefresh(std::uint64_t changes, core::Timestamp now) const
{
    return m_isCrowded && (changes != m_lastChanges || m_awaitsStronger) && now >= m_nextRefreshAt;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> BootstrapRelays::nextRefresh(std::uint64_t changes) const
{
    return m_isCrowded && (changes != m_lastChanges || m_awaitsStronger) ? std::optional(m_nextRefreshAt)
                                                                         : std::nullopt;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::refresh(std::span<const NodeAddress> nodes, std::uint64_t changes, core::Timestamp now)
{
    m_lastChanges = changes;
    m_nextRefreshAt = now + refreshInterval;
    m_awaitsStronger = false;
    // Nodes as strong as the seed itself are likely to connect soon.
    const std::uint32_t assumedCapacity = now - m_crowdedSince < awaitStrongerFor ? m_capacity : 0;
    std::map<std::string, std::vector<NodeAddress>, std::less<>> chosen;
    for (const NodeAddress& node : nodes)
    {
        if (chosen.count(node.dataCentre) > 0)
            continue;
        chosen[node.dataCentre] = chooseRelays(nodes, node.dataCentre, relaysOf(node.dataCentre), assumedCapacity);
        m_awaitsStronger = m_awaitsStronger || (assumedCapacity > 0 && chosen[node.dataCentre].empty());
    }
    m_relays = std::move(chosen);
}

////////////////////////////////////////////////////////////
std::span<const NodeAddress> BootstrapRelays::relaysOf(const std::string& dataCentre) const
{
    const auto found = m_relays.find(dataCentre);
    return found == m_relays.end() ? std::span<const NodeAddress>() : std::span<const NodeAddress>(found->second);
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::isRelay(const NodeAddress& node) const
{
    const auto relays = relaysOf(node.dataCentre);
    return std::any_of(relays.begin(), relays.end(),
                       [&](const NodeAddress& other) { return other.address == node.address; });
}

////////////////////////////////////////////////////////////
std::vector<NodeAddress> BootstrapRelays::relaysFor(const NodeAddress& node) const
{
    const auto               local = relaysOf(node.dataCentre);
    std::vector<NodeAddress> chosen(local.begin(), local.end());
    // If the node's data centre has no strong nodes, or none of them has connected yet, relays of other data centres
    // are faster. Relays receive all relays, because they have to agree later on which of them watch the store.
    if (!chosen.empty() && !isRelay(node))
        return chosen;
    for (const auto& [dataCentre, relays] : m_relays)
    {
        if (dataCentre != node.dataCentre)
            chosen.insert(chosen.end(), relays.begin(), relays.end());
    }
    return chosen;
}

////////////////////////////////////////////////////////////
std::uint64_t BootstrapRelays::relaysHashFor(const NodeAddress& node) const
{
    std::uint64_t hash = 0;
    for (const NodeAddress& relay : relaysFor(node))
        hash = hash * 31 + core::hash(relay.address);
    return hash;
}

} // namespace sailpath::replication

#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/BootstrapRelays.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr std::size_t   nodesPerRelay = 25; // 25 packed copies of 24 KB take 24 ms on 200 Mbit/s
constexpr std::uint32_t capacityStep = 1;   // Nodes of half the strongest's capacity may be relays beside it
constexpr std::size_t   fewWaiting = 8;     // Served by a seed of capacity 1 itself: 8 x 24 KB take 77 ms on 20 Mbit/s
constexpr auto          gather = std::chrono::milliseconds{50};   // From the first of a crowd to the first names
constexpr auto          ownPace = std::chrono::milliseconds{100}; // Between copies by a seed of capacity 0 in a crowd
constexpr std::uint32_t mostCapacity = 6;                         // That makes a difference here
constexpr auto          recently = std::chrono::seconds{1};       // Copies sent so lately may still be on their way
constexpr auto          awaitStrong = std::chrono::milliseconds{150}; // From the first of a crowd; relays of a tenth of
                                                                      // its capacity would be slower than the wait
constexpr auto          between = std::chrono::milliseconds{10};      // Of one choice and the next

} // namespace

////////////////////////////////////////////////////////////
std::vector<NodeAddress> chooseRelays(std::span<const NodeAddress> nodes, std::string_view dataCentre,
                                      std::span<const NodeAddress> named, std::uint32_t leastStrong)
{
    struct Candidate
    {
        const NodeAddress* node;
        bool               named;
        std::uint64_t      hash;
    };
    const auto isNamed = [&](const NodeAddress& node)
    {
        return std::any_of(named.begin(), named.end(),
                           [&](const NodeAddress& one) { return one.address == node.address; });
    };
    std::vector<Candidate> near;
    for (const NodeAddress& node : nodes)
    {
        if (node.dataCentre == dataCentre)
            near.push_back({&node, isNamed(node), core::hash(node.address)});
    }
    std::uint32_t strongest = leastStrong;
    for (const NodeAddress& node : nodes)
        strongest = std::max(strongest, node.capacity);
    const std::size_t wanted = (near.size() + nodesPerRelay - 1) / nodesPerRelay;
    std::partial_sort(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(wanted), near.end(),
                      [](const Candidate& left, const Candidate& right)
                      {
                          return std::tuple(right.node->capacity, right.named, left.hash) <
                                 std::tuple(left.node->capacity, left.named, right.hash);
                      });
    std::vector<NodeAddress> relays;
    for (std::size_t i = 0; i < wanted && near[i].node->capacity + capacityStep >= strongest; ++i)
        relays.push_back(*near[i].node);
    return relays;
}

////////////////////////////////////////////////////////////
BootstrapRelays::BootstrapRelays(std::uint32_t capacity) :
m_capacity(capacity),
m_few(fewWaiting << std::min(std::max(capacity, 1U) - 1, mostCapacity)),
m_pace(core::Duration(ownPace) / (1U << std::min(capacity, mostCapacity)))
{
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::mayServe(core::Timestamp now)
{
    if (now < m_serveNext)
        return false;
    m_serveNext = now + m_pace;
    return true;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::waiting(std::size_t followers, core::Timestamp now)
{
    while (!m_servedAt.empty() && now - m_servedAt.front() > recently)
        m_servedAt.pop_front();
    const bool before = std::exchange(m_crowd, followers + m_servedAt.size() > m_few);
    if (before == m_crowd)
        return;
    m_relays.clear();
    m_changes = 0;
    m_crowdSince = now;
    m_nextRefresh = now + gather;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::served(core::Timestamp now)
{
    m_servedAt.push_back(now);
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::crowd() const
{
    return m_crowd;
}

////////////////////////////////////////////////////////////
bool BootstrapRelays::wantsRefresh(std::uint64_t changes, core::Timestamp now) const
{
    return m_crowd && (changes != m_changes || m_lacks) && now >= m_nextRefresh;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> BootstrapRelays::nextRefresh(std::uint64_t changes) const
{
    return m_crowd && (changes != m_changes || m_lacks) ? std::optional(m_nextRefresh) : std::nullopt;
}

////////////////////////////////////////////////////////////
void BootstrapRelays::refresh(std::span<const NodeAddress> nodes, std::uint64_t changes, core::Timestamp now)
{
    m_changes = changes;
    m_nextRefresh = now + between;
    m_lacks = false;
    // Nodes as strong as the seed itself are likely to come yet.
    const std::uint32_t leastStrong = now - m_crowdSince < awaitStrong ? m_capacity : 0;
    std::map<std::string, std::vector<NodeAddress>, std::less<>> chosen;
    for (const NodeAddress& node : nodes)
    {
        if (chosen.count(node.dataCentre) > 0)
            continue;
        chosen[node.dataCentre] = chooseRelays(nodes, node.dataCentre, relaysOf(node.dataCentre), leastStrong);
        m_lacks = m_lacks || (leastStrong > 0 && chosen[node.dataCentre].empty());
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
                       [&](const NodeAddress& one) { return one.address == node.address; });
}

////////////////////////////////////////////////////////////
std::vector<NodeAddress> BootstrapRelays::namesFor(const NodeAddress& node) const
{
    const auto               near = relaysOf(node.dataCentre);
    std::vector<NodeAddress> names(near.begin(), near.end());
    // Where all are weak, or the strong ones are not there yet, strong ones elsewhere are quicker. Relays are told of
    // all, as they are to agree later on who of them watches the store.
    if (!names.empty() && !isRelay(node))
        return names;
    for (const auto& [dataCentre, relays] : m_relays)
    {
        if (dataCentre != node.dataCentre)
            names.insert(names.end(), relays.begin(), relays.end());
    }
    return names;
}

////////////////////////////////////////////////////////////
std::uint64_t BootstrapRelays::hashFor(const NodeAddress& node) const
{
    std::uint64_t hash = 0;
    for (const NodeAddress& relay : namesFor(node))
        hash = hash * 31 + core::hash(relay.address);
    return hash;
}

} // namespace sailpath::replication

// Exchanges lists of nodes with nodes outside the replica's own relays and followers, so that separate trees join.

#include <sailpath/replication/Replica.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto newNodesReportDelay = std::chrono::milliseconds{200}; // Nodes that become known together are reported
                                                                     // together
} // namespace

////////////////////////////////////////////////////////////
bool Replica::exchangesMembers() const
{
    return hasCopy() && (m_isWatcher || m_storeState == StoreState::Watching);
}

////////////////////////////////////////////////////////////
void Replica::manageExchange(core::Timestamp now)
{
    if (m_exchange && now - m_exchange->startedAt > m_settings.connectTimeout)
    {
        m_actions.push_back(CloseLink{m_exchange->link});
        m_exchange.reset();
    }
    if (m_exchange || !exchangesMembers())
        return;
    std::set<std::string> linked;
    for (const auto& [link, upstream] : m_upstreams)
        linked.insert(upstream.address);
    const auto partner = m_membershipExchange.choosePartner(linked, m_knownNodes.size() + 1, m_random, now);
    if (!partner)
        return;
    m_exchange = Exchange{m_nextLink, now};
    m_nextLink += 2;
    m_actions.push_back(OpenLink{m_exchange->link, *partner});
}

////////////////////////////////////////////////////////////
bool Replica::isExchange(LinkId link) const
{
    return m_exchange && m_exchange->link == link;
}

////////////////////////////////////////////////////////////
void Replica::exchangeReceived(LinkId link, core::Timestamp now)
{
    if (isExchange(link))
    {
        m_actions.push_back(CloseLink{link});
        m_exchange.reset();
    }
    else
        m_actions.push_back(SendReport{link, {nodeList(now), {}}});
}

////////////////////////////////////////////////////////////
void Replica::recordReportedNodes(std::span<const NodeAddress> nodes, core::Timestamp now)
{
    for (const NodeAddress& node : nodes)
    {
        const std::uint64_t before = m_newNodes;
        recordNode(node, now);
        if (m_newNodes != before)
            m_unreportedNodes.push_back(node);
    }
    if (!m_unreportedNodes.empty())
        m_nextFollowerReport = std::min<core::Timestamp>(m_nextFollowerReport, now + newNodesReportDelay);
}

////////////////////////////////////////////////////////////
std::size_t Replica::rememberedNodeCount(core::Timestamp now)
{
    return m_membershipExchange.rememberedCount(now);
}

} // namespace sailpath::replication

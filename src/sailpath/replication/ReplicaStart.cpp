// Helps other nodes to a first copy: a seed names relays to them and refers them to these relays.

#include <sailpath/replication/Replica.hpp>

#include <algorithm>

namespace sailpath::replication
{
namespace
{
constexpr auto maxReferral =
    std::chrono::milliseconds{500}; // From a follower's hello; then this node may serve the follower itself

} // namespace

////////////////////////////////////////////////////////////
void Replica::firstCopyReceived()
{
    // Relays that were asked for all items need not send them any more, which leaves their links to waiting nodes.
    for (const auto& [link, upstream] : m_upstreams)
    {
        if (upstream.open && !upstream.receivedUpdate)
            m_actions.push_back(SendHello{link, {m_settings.self, m_table.revision(), true}});
    }
    m_nextRanking = {};
    // While a fleet starts, its links are busy with copies.
    m_membershipExchange.postpone(m_now + m_settings.startupPeriod);
}

////////////////////////////////////////////////////////////
void Replica::updateIntroductions(core::Timestamp now)
{
    if (!isSeed(m_settings.self.address))
        return;
    const auto waiting = std::count_if(m_followers.begin(), m_followers.end(),
                                       [this](const auto& item)
                                       { return item.second.needsFullCopy && !isSeed(item.second.node.address); });
    m_introductions.updateWaiting(static_cast<std::size_t>(waiting), now);
    if (m_introductions.needsRefresh(m_newNodes, now))
    {
        std::vector<NodeAddress> candidates = nodeList(now);
        // Seeds are not named as relays: introductions occupy them.
        std::erase_if(candidates, [this](const NodeAddress& node) { return isSeed(node.address); });
        m_introductions.refresh(candidates, m_newNodes, now);
    }
}

////////////////////////////////////////////////////////////
std::uint64_t Replica::relayNamesHash(const Follower& follower) const
{
    if (!isSeed(m_settings.self.address))
        return follower.sentNamesHash;
    return isSeed(follower.node.address) ? m_newNodes : m_introductions.relaysHashFor(follower.node);
}

////////////////////////////////////////////////////////////
void Replica::addRelayNames(Update& update, Follower& follower, core::Timestamp now) const
{
    if (!isSeed(m_settings.self.address))
        return;
    follower.sentNamesHash = relayNamesHash(follower);
    // Seeds send each other all nodes, so that they name the same relays.
    update.nodes = isSeed(follower.node.address) ? nodeList(now) : m_introductions.relaysFor(follower.node);
}

////////////////////////////////////////////////////////////
bool Replica::refersToRelays(const Follower& follower, core::Timestamp now)
{
    if (!follower.needsFullCopy || !m_introductions.isCrowded())
        return false;
    if (now - follower.connectedAt >= maxReferral && canServeFollowers() && m_introductions.tryServe(now))
        return false;
    // A seed is occupied by introductions, and other seeds and relays need its copy first.
    return !isSeed(follower.node.address) && !m_introductions.isRelay(follower.node);
}

////////////////////////////////////////////////////////////
std::shared_ptr<const std::vector<Item>> Replica::wholeCopy()
{
    if (!m_wholeCopy || m_wholeCopySequence != m_table.sequence())
    {
        m_wholeCopy = std::make_shared<const std::vector<Item>>(m_table.all());
        m_wholeCopySequence = m_table.sequence();
    }
    return m_wholeCopy;
}

} // namespace sailpath::replication

// How a replica helps others to a first copy: what a seed names, and whom it refers to relays.

#include <sailpath/replication/Replica.hpp>

#include <algorithm>

namespace sailpath::replication
{
namespace
{
constexpr auto referFor = std::chrono::milliseconds{500}; // After that a follower is served here all the same

} // namespace

////////////////////////////////////////////////////////////
void Replica::firstCopyTaken()
{
    // Nodes that were asked for all items need not send them any more; links are left to those who still wait.
    for (const auto& [link, upstream] : m_upstreams)
    {
        if (upstream.open && !upstream.fed)
            m_actions.push_back(SendHello{link, {m_settings.self, m_table.revision(), true}});
    }
    m_rankAt = {};
}

////////////////////////////////////////////////////////////
void Replica::introduce(core::Timestamp now)
{
    if (!isSeed(m_settings.self.address))
        return;
    const auto waiting =
        std::count_if(m_followers.begin(), m_followers.end(),
                      [this](const auto& item) { return item.second.wantsAll && !isSeed(item.second.node.address); });
    m_introductions.updateWaiting(static_cast<std::size_t>(waiting), now);
    if (m_introductions.needsRefresh(m_nodeChanges, now))
    {
        std::vector<NodeAddress> others = nodeList(now);
        // Seeds have their hands full.
        std::erase_if(others, [this](const NodeAddress& node) { return isSeed(node.address); });
        m_introductions.refresh(others, m_nodeChanges, now);
    }
}

////////////////////////////////////////////////////////////
std::uint64_t Replica::namesHash(const Follower& follower) const
{
    if (!isSeed(m_settings.self.address))
        return follower.namesTold;
    return isSeed(follower.node.address) ? m_nodeChanges : m_introductions.relaysHashFor(follower.node);
}

////////////////////////////////////////////////////////////
void Replica::nameRelays(Update& update, Follower& follower, core::Timestamp now) const
{
    if (!isSeed(m_settings.self.address))
        return;
    follower.namesTold = namesHash(follower);
    // Seeds tell each other of all, so that they name the same.
    update.nodes = isSeed(follower.node.address) ? nodeList(now) : m_introductions.relaysFor(follower.node);
}

////////////////////////////////////////////////////////////
bool Replica::refers(const Follower& follower, core::Timestamp now)
{
    if (!follower.wantsAll || !m_introductions.isCrowded())
        return false;
    if (now - follower.since >= referFor && mayTell() && m_introductions.tryServe(now))
        return false;
    // A seed has its hands full with introductions, and with relays: these come first.
    return !isSeed(follower.node.address) && !m_introductions.isRelay(follower.node);
}

////////////////////////////////////////////////////////////
std::shared_ptr<const std::vector<Item>> Replica::wholeCopy()
{
    if (!m_whole || m_wholeSequence != m_table.sequence())
    {
        m_whole = std::make_shared<const std::vector<Item>>(m_table.all());
        m_wholeSequence = m_table.sequence();
    }
    return m_whole;
}

} // namespace sailpath::replication

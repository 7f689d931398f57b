#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Bootstrap.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr unsigned maxDoublings = 2; // Doublings of the retry delay of an unreachable node
constexpr int linkTimeoutShare = 3;  // The connect timeout is at least this fraction (1/3) of the time since the start
constexpr double failedStoreShare =
    0.25; // Fraction of `storeReadSpread`, used once the store failed a seed without a copy

} // namespace

////////////////////////////////////////////////////////////
Bootstrap::Bootstrap(NodeAddress self, std::vector<std::string> seeds, core::Timestamp startedAt,
                     core::Random& random) :
m_self(std::move(self)),
m_seeds(std::move(seeds)),
m_startedAt(startedAt)
{
    m_isSeed = std::erase(m_seeds, m_self.address) > 0;
    m_isRelay = m_isSeed;
    // Each node orders the seeds by its own hash, so that the seeds share the load of new nodes.
    std::sort(m_seeds.begin(), m_seeds.end(),
              [this](const std::string& left, const std::string& right)
              { return core::hash(left + m_self.address) < core::hash(right + m_self.address); });
    m_storeReadAt = m_startedAt + m_settings.storeReadAfter +
                    core::fromMilliseconds(core::toMilliseconds(m_settings.storeReadSpread) * random.unit());
}

////////////////////////////////////////////////////////////
void Bootstrap::setRelays(std::span<const NodeAddress> relays, core::Timestamp now)
{
    if (m_relays.empty() && !relays.empty())
        m_relaysSince = now;
    m_relays.assign(relays.begin(), relays.end());
    const auto isSelf = [this](const NodeAddress& node) { return node.address == m_self.address; };
    m_isRelay = m_isRelay || std::any_of(m_relays.begin(), m_relays.end(), isSelf);
    std::erase_if(m_relays, isSelf);
    std::sort(m_relays.begin(), m_relays.end(),
              [this](const NodeAddress& left, const NodeAddress& right)
              {
                  const bool leftRemote = left.dataCentre != m_self.dataCentre;
                  const bool rightRemote = right.dataCentre != m_self.dataCentre;
                  return std::pair(leftRemote, core::hash(left.address + m_self.address)) <
                         std::pair(rightRemote, core::hash(right.address + m_self.address));
              });
}

////////////////////////////////////////////////////////////
void Bootstrap::peerHasNoCopy()
{
    m_peerHasNoCopy = true;
}

////////////////////////////////////////////////////////////
void Bootstrap::peerStoreFailed(core::Timestamp now, core::Random& random)
{
    const core::Duration spread = m_settings.storeReadSpread;
    if (m_relays.empty())
        m_storeReadAt = std::min(m_storeReadAt, now + core::fromMilliseconds(core::toMilliseconds(spread) *
                                                                             failedStoreShare * random.unit()));
}

////////////////////////////////////////////////////////////
bool Bootstrap::allSeedsFailed() const
{
    return std::all_of(m_seeds.begin(), m_seeds.end(),
                       [this](const std::string& seed) { return m_failures.count(seed) > 0; });
}

////////////////////////////////////////////////////////////
void Bootstrap::linkUp(const std::string& address, core::Timestamp now)
{
    if (!m_seedLinkSince && std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end())
        m_seedLinkSince = now;
    m_linksUp.insert(address);
}

////////////////////////////////////////////////////////////
void Bootstrap::linkDown(const std::string& address, core::Timestamp now)
{
    m_linksUp.erase(address);
    Failure& failure = m_failures[address];
    failure.retryAt = now + m_settings.retryAfter * (1U << std::min(failure.count, maxDoublings));
    ++failure.count;
}

////////////////////////////////////////////////////////////
core::Duration Bootstrap::linkTimeout(core::Timestamp since) const
{
    // Seeds may get power last, and connection attempts before that are lost, so they are retried soon. If all seeds
    // are distant or slow, the timeout grows until links open.
    return std::max<core::Duration>(m_settings.linkTimeout, (since - m_startedAt) / linkTimeoutShare);
}

////////////////////////////////////////////////////////////
void Bootstrap::updateProgressed(core::Timestamp now)
{
    m_progressAt = now;
}

////////////////////////////////////////////////////////////
bool Bootstrap::isRelay() const
{
    return m_isRelay;
}

////////////////////////////////////////////////////////////
bool Bootstrap::mayTry(const std::string& address, core::Timestamp now) const
{
    const auto failure = m_failures.find(address);
    return failure == m_failures.end() || now >= failure->second.retryAt;
}

////////////////////////////////////////////////////////////
std::size_t Bootstrap::followLimit(core::Timestamp since, core::Timestamp now) const
{
    const auto extra = static_cast<std::size_t>((now - since) / m_settings.extraRelayAfter);
    return std::min<std::size_t>(1 + extra, m_settings.maxRelays);
}

////////////////////////////////////////////////////////////
std::vector<std::string> Bootstrap::seedsToFollow(core::Timestamp now) const
{
    // Seeds follow all other seeds and exchange the nodes they know, so that all of them choose the same relays.
    const std::size_t maxSeeds = m_isSeed ? m_seeds.size() : followLimit(m_seedLinkSince.value_or(m_startedAt), now);
    std::vector<std::string> seeds;
    const auto               add = [&](const std::string& seed, bool up)
    {
        if (seeds.size() < maxSeeds && up == (m_linksUp.count(seed) > 0) && mayTry(seed, now))
            seeds.push_back(seed);
    };
    // A node with a link to a seed keeps to this seed even if another one is up by now; otherwise every seed would have
    // to refer all nodes to relays.
    for (const std::string& seed : m_seeds)
        add(seed, true);
    for (const std::string& seed : m_seeds)
        add(seed, false);
    return seeds;
}

////////////////////////////////////////////////////////////
std::vector<std::string> Bootstrap::relaysToFollow(core::Timestamp now) const
{
    std::vector<std::string> relays;
    for (const NodeAddress& relay : m_relays)
    {
        if (relays.size() < followLimit(m_relaysSince, now) && mayTry(relay.address, now))
            relays.push_back(relay.address);
    }
    return relays;
}

////////////////////////////////////////////////////////////
std::vector<std::string> Bootstrap::upstreamsToFollow(core::Timestamp now) const
{
    std::vector<std::string> upstreams = seedsToFollow(now);
    for (std::string& relay : relaysToFollow(now))
    {
        if (std::find(upstreams.begin(), upstreams.end(), relay) == upstreams.end())
            upstreams.push_back(std::move(relay));
    }
    return upstreams;
}

////////////////////////////////////////////////////////////
bool Bootstrap::shouldReadStore(core::Timestamp now) const
{
    if (m_seeds.empty() || now >= m_startedAt + m_settings.maxStoreReadDelay)
        return true;
    // If no node has a copy, seeds and relays read the store; their number is small enough not to overload it.
    const auto seedWait = m_linksUp.empty() ? m_settings.seedConnectWait : m_settings.seedAnswerWait;
    if (m_isRelay && (m_peerHasNoCopy || allSeedsFailed() || now >= m_startedAt + seedWait))
        return true;
    const bool relayUp = std::any_of(m_relays.begin(), m_relays.end(),
                                     [this](const NodeAddress& relay) { return m_linksUp.count(relay.address) > 0; });
    const auto readAt = m_storeReadAt + (relayUp ? m_settings.relayUpExtension : core::Duration{});
    return now >= readAt && now - m_progressAt > m_settings.progressWindow;
}

////////////////////////////////////////////////////////////
bool Bootstrap::shouldReadEarly(core::Timestamp now) const
{
    return !m_earlyReadStarted && m_linksUp.empty() && !m_isSeed && now >= m_startedAt + m_settings.earlyReadAfter;
}

////////////////////////////////////////////////////////////
core::Timestamp Bootstrap::beginEarlyRead(core::Timestamp now)
{
    m_earlyReadStarted = true;
    return now + m_settings.earlyReadTimeout;
}

////////////////////////////////////////////////////////////
core::Timestamp Bootstrap::nextDue(core::Timestamp now) const
{
    core::Timestamp next = now + m_settings.extraRelayAfter;
    for (const core::Timestamp at :
         {m_startedAt + m_settings.earlyReadAfter, m_startedAt + m_settings.seedConnectWait,
          m_startedAt + m_settings.seedAnswerWait, m_storeReadAt, m_storeReadAt + m_settings.relayUpExtension})
    {
        if (now < at)
            next = std::min(next, at);
    }
    for (const auto& [address, failure] : m_failures)
    {
        if (now < failure.retryAt)
            next = std::min(next, failure.retryAt);
    }
    return next;
}

} // namespace sailpath::replication

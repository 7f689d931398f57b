#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Bootstrap.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr unsigned mostDoublings = 2; // Of the time until an unreachable node is tried again
constexpr int      patienceShare = 3; // Of the time since the start, as patience with a link
constexpr double   illShare = 0.25;   // Of the spread, when a seed is without a copy as the store failed it

} // namespace

////////////////////////////////////////////////////////////
Bootstrap::Bootstrap(NodeAddress self, std::vector<std::string> seeds, core::Timestamp born, core::Random& random) :
m_self(std::move(self)),
m_seeds(std::move(seeds)),
m_born(born)
{
    m_isSeed = std::erase(m_seeds, m_self.address) > 0;
    m_relays = m_isSeed;
    // Each node begins with a seed of its own choice, so that these share the introductions.
    std::sort(m_seeds.begin(), m_seeds.end(),
              [this](const std::string& left, const std::string& right)
              { return core::hash(left + m_self.address) < core::hash(right + m_self.address); });
    m_readAt = m_born + m_settings.ownReading +
               core::fromMilliseconds(core::toMilliseconds(m_settings.spread) * random.unit());
}

////////////////////////////////////////////////////////////
void Bootstrap::named(std::span<const NodeAddress> relays, core::Timestamp now)
{
    if (m_named.empty() && !relays.empty())
        m_namedAt = now;
    m_named.assign(relays.begin(), relays.end());
    const auto isSelf = [this](const NodeAddress& node) { return node.address == m_self.address; };
    m_relays = m_relays || std::any_of(m_named.begin(), m_named.end(), isSelf);
    std::erase_if(m_named, isSelf);
    std::sort(m_named.begin(), m_named.end(),
              [this](const NodeAddress& left, const NodeAddress& right)
              {
                  const bool leftFar = left.dataCentre != m_self.dataCentre;
                  const bool rightFar = right.dataCentre != m_self.dataCentre;
                  return std::pair(leftFar, core::hash(left.address + m_self.address)) <
                         std::pair(rightFar, core::hash(right.address + m_self.address));
              });
}

////////////////////////////////////////////////////////////
void Bootstrap::lacking()
{
    m_lacking = true;
}

////////////////////////////////////////////////////////////
void Bootstrap::storeIll(core::Timestamp now, core::Random& random)
{
    const core::Duration part = m_settings.spread;
    if (m_named.empty())
        m_readAt =
            std::min(m_readAt, now + core::fromMilliseconds(core::toMilliseconds(part) * illShare * random.unit()));
}

////////////////////////////////////////////////////////////
bool Bootstrap::noOtherSeed() const
{
    return std::all_of(m_seeds.begin(), m_seeds.end(),
                       [this](const std::string& seed) { return m_failures.count(seed) > 0; });
}

////////////////////////////////////////////////////////////
void Bootstrap::reached(const std::string& address, core::Timestamp now)
{
    if (!m_seedSince && std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end())
        m_seedSince = now;
    m_reached.insert(address);
}

////////////////////////////////////////////////////////////
void Bootstrap::unreachable(const std::string& address, core::Timestamp now)
{
    m_reached.erase(address);
    Failure& failure = m_failures[address];
    failure.until = now + m_settings.retryAfter * (1U << std::min(failure.count, mostDoublings));
    ++failure.count;
}

////////////////////////////////////////////////////////////
core::Duration Bootstrap::linkPatience(core::Timestamp since) const
{
    // Seeds may get power last. What was sent to them before is lost, so it is sent again soon; where all are far away
    // or slow, patience grows until links come up.
    return std::max<core::Duration>(m_settings.linkPatience, (since - m_born) / patienceShare);
}

////////////////////////////////////////////////////////////
void Bootstrap::bytesCame(core::Timestamp now)
{
    m_bytesAt = now;
}

////////////////////////////////////////////////////////////
bool Bootstrap::relays() const
{
    return m_relays;
}

////////////////////////////////////////////////////////////
bool Bootstrap::reachable(const std::string& address, core::Timestamp now) const
{
    const auto failure = m_failures.find(address);
    return failure == m_failures.end() || now >= failure->second.until;
}

////////////////////////////////////////////////////////////
std::size_t Bootstrap::patienceCount(core::Timestamp since, core::Timestamp now) const
{
    const auto more = static_cast<std::size_t>((now - since) / m_settings.oneMore);
    return std::min<std::size_t>(1 + more, m_settings.mostRelays);
}

////////////////////////////////////////////////////////////
std::vector<std::string> Bootstrap::seedsToFollow(core::Timestamp now) const
{
    // Seeds tell each other of all who came, so that they name the same relays.
    const std::size_t        most = m_isSeed ? m_seeds.size() : patienceCount(m_seedSince.value_or(m_born), now);
    std::vector<std::string> seeds;
    const auto               add = [&](const std::string& seed, bool up)
    {
        if (seeds.size() < most && up == (m_reached.count(seed) > 0) && reachable(seed, now))
            seeds.push_back(seed);
    };
    // Whoever has reached one does not go on to the next that is up by now: each of them would introduce all nodes.
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
    for (const NodeAddress& relay : m_named)
    {
        if (relays.size() < patienceCount(m_namedAt, now) && reachable(relay.address, now))
            relays.push_back(relay.address);
    }
    return relays;
}

////////////////////////////////////////////////////////////
std::vector<std::string> Bootstrap::upstreams(core::Timestamp now) const
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
bool Bootstrap::readsStore(core::Timestamp now) const
{
    if (m_seeds.empty() || now >= m_born + m_settings.longest)
        return true;
    // Nobody has a copy: so seeds and relays fetch it. They are few, so no crowd comes of it.
    const auto patience = m_reached.empty() ? m_settings.seedPatience : m_settings.seedAnswer;
    if (m_relays && (m_lacking || noOtherSeed() || now >= m_born + patience))
        return true;
    const bool relayUp = std::any_of(m_named.begin(), m_named.end(),
                                     [this](const NodeAddress& relay) { return m_reached.count(relay.address) > 0; });
    const auto readAt = m_readAt + (relayUp ? m_settings.relayPatience : core::Duration{});
    return now >= readAt && now - m_bytesAt > m_settings.aliveWithin;
}

////////////////////////////////////////////////////////////
bool Bootstrap::readsEarly(core::Timestamp now) const
{
    return !m_triedEarly && m_reached.empty() && !m_isSeed && now >= m_born + m_settings.earlyAfter;
}

////////////////////////////////////////////////////////////
core::Timestamp Bootstrap::earlyReading(core::Timestamp now)
{
    m_triedEarly = true;
    return now + m_settings.earlyPatience;
}

////////////////////////////////////////////////////////////
core::Timestamp Bootstrap::nextDue(core::Timestamp now) const
{
    core::Timestamp next = now + m_settings.oneMore;
    for (const core::Timestamp at : {m_born + m_settings.earlyAfter, m_born + m_settings.seedPatience,
                                     m_born + m_settings.seedAnswer, m_readAt, m_readAt + m_settings.relayPatience})
    {
        if (now < at)
            next = std::min(next, at);
    }
    for (const auto& [address, failure] : m_failures)
    {
        if (now < failure.until)
            next = std::min(next, failure.until);
    }
    return next;
}

} // namespace sailpath::replication

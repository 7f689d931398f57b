#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Replica.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto     maxTickInterval = std::chrono::milliseconds{500};
constexpr auto     minTickInterval = std::chrono::milliseconds{5};
constexpr auto     maxStoreBackoff = std::chrono::milliseconds{1500};
constexpr auto     immediateTimeout = std::chrono::milliseconds{1};
constexpr unsigned followerBackoffFactor = 3;  // Multiplies the backoff of store calls while relays send updates
constexpr unsigned nodesPerBackoffFactor = 50; // The factor is multiplied by the number of nodes divided by this

} // namespace

////////////////////////////////////////////////////////////
Replica::Replica(ReplicaSettings settings, core::Timestamp now) :
m_settings(std::move(settings)),
m_random(m_settings.randomSeed),
m_startedAt(now),
m_firstCopy(m_settings.self, m_settings.seeds, now, m_random),
m_news(static_cast<std::uint32_t>(core::hash(m_settings.self.address))),
m_introductions(m_settings.self.capacity),
m_membershipExchange(m_settings.self.address, m_settings.seeds),
m_now(now)
{
    for (const std::string& seed : m_settings.seeds)
    {
        if (seed != m_settings.self.address)
            m_knownNodes[seed].lastHeardAt = now;
    }
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::tick(core::Timestamp now)
{
    m_now = now;
    std::erase_if(m_knownNodes, [&](const auto& item) { return now - item.second.lastHeardAt > m_settings.countTtl; });
    manageUpstreams(now);
    manageExchange(now);
    manageStore(now);
    m_news.tick(now);
    updateFollowers(now);
    reportFollowers(now);
    sendServerReports(now);
}

////////////////////////////////////////////////////////////
void Replica::serverFailed(std::uint32_t server, core::Timestamp now)
{
    m_news.recordFailure(server);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::serverEnded(const EndRecord& record, core::Timestamp at, core::Timestamp now)
{
    m_news.recordEnd(record, at);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::requestServed(const core::ContentHash& content, core::Timestamp now)
{
    m_news.recordServed(content);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::serverLimited(const LimitRecord& record, core::Timestamp at, core::Timestamp now)
{
    m_news.recordLimit(record, at);
    tick(now);
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> Replica::takeServerReports()
{
    return m_news.takeReceived();
}

////////////////////////////////////////////////////////////
bool Replica::shouldCallStore(core::Timestamp now) const
{
    if (!hasCopy())
        return m_firstCopy.shouldReadStore(now);
    if (m_isWatcher || (!m_followers.empty() && !hasFreshRelay(now)))
        return true;
    if (hasCopy() && !proved())
        return now >= m_proveAt;
    if (!m_followers.empty() && !m_table.isExact())
        return true;
    if (age(now) > m_settings.staleAfter && now - m_startedAt > m_settings.startupPeriod)
        return true;
    // A watch that was begun continues until a relay sends fresh updates.
    return m_storeState == StoreState::Watching && !hasFreshRelay(now);
}

////////////////////////////////////////////////////////////
void Replica::manageStore(core::Timestamp now)
{
    cancelOverdueEarlyRead(now);
    if (m_storeState != StoreState::Idle || now < m_nextStoreCall)
        return;
    if (!hasCopy() && m_firstCopy.shouldReadEarly(now))
        return startEarlyRead(now);
    if (!shouldCallStore(now))
        return;
    if (m_needsRead || !hasCopy())
    {
        m_storeState = StoreState::Reading;
        m_actions.push_back(ReadStore{});
        return;
    }
    startWatch(now);
}

////////////////////////////////////////////////////////////
void Replica::startEarlyRead(core::Timestamp now)
{
    m_storeState = StoreState::Reading;
    m_earlyReadDeadline = m_firstCopy.beginEarlyRead(now);
    // An old reading suffices, because relays send the changes since then.
    m_actions.push_back(ReadStore{ReadMode::MayBeStale});
}

////////////////////////////////////////////////////////////
void Replica::cancelOverdueEarlyRead(core::Timestamp now)
{
    if (!m_earlyReadDeadline || m_storeState != StoreState::Reading || now < *m_earlyReadDeadline)
        return;
    m_earlyReadDeadline.reset();
    m_storeState = StoreState::Idle;
    m_actions.push_back(CancelStoreCall{});
}

////////////////////////////////////////////////////////////
void Replica::startWatch(core::Timestamp now)
{
    m_storeState = StoreState::Watching;
    // A copy that is already old is proved at once; a watch with the usual timeout proves it only when it ends.
    const bool proveNow = age(now) > m_settings.staleAfter / 4 || !m_table.isExact();
    m_watchStartedAt = now;
    m_watchTimeout = proveNow ? core::Duration(immediateTimeout) : m_settings.watchTimeout;
    m_actions.push_back(WatchStore{m_table.revision(), m_watchTimeout});
}

////////////////////////////////////////////////////////////
void Replica::recordProof(core::Timestamp asOf, core::Timestamp now)
{
    if (age(now) > m_settings.staleAfter && now - asOf <= m_settings.staleAfter)
        m_actions.push_back(LogEvent{"picture-fresh", "", core::toMilliseconds(now - asOf)});
    m_provedAt = std::max(m_provedAt, asOf);
}

////////////////////////////////////////////////////////////
void Replica::storeRead(std::span<const Item> items, std::uint64_t at, std::optional<core::Timestamp> asOf,
                        core::Timestamp now, std::uint64_t upTo)
{
    m_storeState = StoreState::Idle;
    m_lastContactAt = now;
    m_earlyReadDeadline.reset();
    m_storeFailures = 0;
    m_needsRead = false;
    m_actions.push_back(LogEvent{"store-read", asOf ? "snapshot" : "in-parts", static_cast<double>(at)});
    const bool first = !hasCopy();
    if (asOf)
    {
        m_table.applySnapshot(items, at, m_changes);
        recordProof(*asOf, now);
    }
    else
        m_table.applyNonAtomicRead(items, at, upTo, m_changes);
    // The wait for relays began at the start, not after the reading; a node that is itself a relay does not wait.
    const bool alone = m_firstCopy.isRelay() || m_relaysWithoutCopy >= m_settings.upstreamCount;
    if (!proved())
        m_proveAt = alone ? now : std::max(now, m_startedAt + m_settings.proofWait);
    if (first && hasCopy())
        firstCopyReceived();
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now)
{
    m_storeState = StoreState::Idle;
    m_lastContactAt = now;
    m_storeFailures = 0;
    // All keys are watched, so the copy is complete as of the last reported change, whatever revision is named.
    std::uint64_t latestChange = 0;
    for (const Item& item : items)
        latestChange = std::max(latestChange, item.revision);
    if (items.empty() && at > m_table.revision())
    {
        // The revision rose without a reported change: only a reading shows what changed.
        m_actions.push_back(LogEvent{"change-not-told", "", static_cast<double>(at)});
        m_needsRead = true;
        m_nextStoreCall = now + m_settings.initialStoreBackoff;
        return tick(now);
    }
    if (!items.empty())
        m_table.apply(items, std::min(latestChange, at), m_changes);
    // An answer without changes was given after the full wait, one with changes at some time after the call.
    const core::Timestamp answeredAt = items.empty() ? m_watchStartedAt + m_watchTimeout : m_watchStartedAt;
    recordProof(std::min(answeredAt, now), now);
    m_needsRead = m_needsRead || (items.empty() && !m_followers.empty() && !m_table.isExact());
    if (!items.empty() && age(now) <= m_settings.staleAfter / 2)
        m_nextStoreCall = now + m_settings.watchPause;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::historyLost(core::Timestamp now)
{
    m_storeState = StoreState::Idle;
    m_needsRead = true;
    m_actions.push_back(LogEvent{"history-lost", "", 0});
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeFailed(core::Timestamp now)
{
    m_storeState = StoreState::Idle;
    m_earlyReadDeadline.reset();
    if (m_storeFailures == 0)
        m_actions.push_back(LogEvent{"store-failed", "", 0});
    const auto doublings = std::min(m_storeFailures, 4U);
    ++m_storeFailures;
    m_storeFailedAt = now;
    // Watchers and relays look for the store's recovery on behalf of their followers. Calls of hundreds of followers
    // would be most of the load on a store that recovers.
    const bool     followsRelays = !m_isWatcher && m_followers.empty() && receivesUpdates();
    const unsigned backoffFactor =
        followsRelays ? followerBackoffFactor * std::max(1U, nodeCount(now) / nodesPerBackoffFactor) : 1;
    const auto backoff =
        backoffFactor * std::min<core::Duration>(m_settings.initialStoreBackoff * (1U << doublings), maxStoreBackoff);
    m_nextStoreCall = now + core::fromMilliseconds(core::toMilliseconds(backoff) * (0.5 + m_random.unit()));
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::linkOpened(LinkId link, core::Timestamp now)
{
    if (isExchange(link))
    {
        m_actions.push_back(SendReport{link, {nodeList(now), {}}});
        return;
    }
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.open = true;
    if (!hasCopy())
    {
        const std::vector<std::string> wanted = m_firstCopy.upstreamsToFollow(now);
        // If another seed connected first, one hello is enough: each seed introduces all nodes.
        if (std::find(wanted.begin(), wanted.end(), found->second.address) == wanted.end())
            return dropUpstream(link);
        m_firstCopy.linkUp(found->second.address, now);
    }
    found->second.lastReceivedAt = now;
    found->second.helloSentAt = now;
    found->second.sentReports = m_news.reportCount();
    const bool whole = m_fullCopyFrom.erase(found->second.address) > 0;
    m_actions.push_back(SendHello{link, {m_settings.self, whole ? 0 : m_table.revision(), true}});
}

////////////////////////////////////////////////////////////
void Replica::linkDataReceived(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.lastReceivedAt = now;
    m_firstCopy.updateProgressed(now);
}

////////////////////////////////////////////////////////////
void Replica::linkClosed(LinkId link, core::Timestamp now)
{
    const auto upstream = m_upstreams.find(link);
    if (upstream != m_upstreams.end())
    {
        const std::string address = upstream->second.address;
        m_upstreams.erase(upstream);
        if (hasCopy())
            avoidRelay(address, now, "relay-lost");
        else
            m_firstCopy.linkDown(address, now);
        recordRelayWithoutCopy(now);
    }
    m_followers.erase(link);
    if (isExchange(link))
        m_exchange.reset();
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::recordRelayWithoutCopy(core::Timestamp now)
{
    // As many relays as a node follows could not prove its first reading: all nodes may have just started, so this
    // node asks the store for the proof.
    m_firstCopy.peerHasNoCopy();
    ++m_relaysWithoutCopy;
    if (hasCopy() && !proved() && m_relaysWithoutCopy >= m_settings.upstreamCount)
        m_proveAt = std::min(m_proveAt, now);
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
    core::Timestamp next = m_now + maxTickInterval;
    for (const auto& [link, follower] : m_followers)
        next = std::min(next, follower.nextUpdateAt);
    for (const auto& [link, upstream] : m_upstreams)
        next = std::min(next, std::max(upstream.startedAt, upstream.lastReceivedAt) + upstreamTimeout(upstream));
    if (m_storeState == StoreState::Idle)
        next = std::min(next, m_nextStoreCall > m_now ? m_nextStoreCall : staleAt());
    if (hasCopy() && !proved())
        next = std::min(next, std::max(m_proveAt, m_now));
    if (m_now - m_startedAt < m_settings.startupPeriod)
        next = std::min(next, m_startedAt + m_settings.startupPeriod);
    if (!hasCopy())
        next = std::min(next, m_firstCopy.nextDue(m_now));
    if (m_earlyReadDeadline)
        next = std::min(next, *m_earlyReadDeadline);
    if (const auto urgent = m_news.nextReportDue())
        next = std::min(next, *urgent);
    next = std::min(next, serverReportsDue());
    if (const auto refresh = m_introductions.nextRefresh(m_newNodes))
        next = std::min(next, *refresh);
    if (m_rankingPending)
        next = std::min(next, m_nextRanking);
    if (m_exchange)
        next = std::min(next, m_exchange->startedAt + m_settings.connectTimeout);
    else if (exchangesMembers())
        next = std::min(next, m_membershipExchange.nextDue());
    return std::max(next, m_now) + minTickInterval;
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::serverReportsDue() const
{
    const bool waiting = std::any_of(m_upstreams.begin(), m_upstreams.end(),
                                     [this](const auto& item) {
                                         return item.second.open && item.second.receivedUpdate &&
                                                m_news.hasLimitsSince(item.second.sentReports);
                                     });
    return waiting ? m_nextLimitReport : m_now + maxTickInterval;
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::staleAt() const
{
    // No tick is due for a copy that is already stale: the steps to renew the copy are under way.
    const core::Timestamp at = hasCopy() ? m_provedAt + m_settings.staleAfter : m_now;
    return at > m_now ? at : m_now + maxTickInterval;
}

////////////////////////////////////////////////////////////
const ItemTable& Replica::table() const
{
    return m_table;
}

////////////////////////////////////////////////////////////
core::Duration Replica::age(core::Timestamp now) const
{
    return m_provedAt == core::Timestamp::min() ? core::Duration::max() : now - m_provedAt;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Replica::provedAt() const
{
    return proved() ? std::optional(m_provedAt) : std::nullopt;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Replica::lastContactAt() const
{
    return m_lastContactAt;
}

////////////////////////////////////////////////////////////
bool Replica::hasCopy() const
{
    return m_table.revision() > 0;
}

////////////////////////////////////////////////////////////
bool Replica::proved() const
{
    return m_provedAt != core::Timestamp::min();
}

////////////////////////////////////////////////////////////
bool Replica::usable(core::Timestamp now) const
{
    return proved() || (hasCopy() && now - m_startedAt > m_settings.startupPeriod);
}

////////////////////////////////////////////////////////////
bool Replica::storeFailedWithin(core::Timestamp now, core::Duration within) const
{
    return m_storeFailedAt != core::Timestamp::min() && now - m_storeFailedAt < within;
}

////////////////////////////////////////////////////////////
unsigned Replica::nodeCount(core::Timestamp now) const
{
    return 1 + static_cast<unsigned>(std::count_if(m_knownNodes.begin(), m_knownNodes.end(),
                                                   [&](const auto& item)
                                                   { return now - item.second.lastHeardAt < m_settings.countTtl; }));
}

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> Replica::memberHashes(core::Timestamp now)
{
    m_members.recordHeard(m_settings.self.address, now);
    std::vector<std::uint32_t> all = m_members.hashes(now);
    const bool                 hasOtherSeeds = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
                                                           [this](const std::string& seed) { return seed != m_settings.self.address; });
    if (all.size() == 1 && hasOtherSeeds)
        all.clear();
    return all;
}

////////////////////////////////////////////////////////////
std::vector<NodeAddress> Replica::listPeers(std::size_t most, core::Timestamp now) const
{
    std::vector<std::pair<std::uint64_t, NodeAddress>> ranked;
    const std::uint64_t                                seed = core::hash(m_settings.self.address);
    for (const auto& [address, known] : m_knownNodes)
    {
        if (now - known.lastHeardAt < m_settings.nodeTtl)
            ranked.emplace_back(core::hash(address, seed), NodeAddress{address, known.dataCentre, 0, known.capacity});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    ranked.resize(std::min(ranked.size(), most));
    std::vector<NodeAddress> peers;
    peers.reserve(ranked.size());
    for (auto& [rank, node] : ranked)
        peers.push_back(std::move(node));
    return peers;
}

////////////////////////////////////////////////////////////
bool Replica::isMember(std::string_view ip) const
{
    return std::any_of(m_knownNodes.begin(), m_knownNodes.end(),
                       [ip](const auto& known)
                       {
                           const std::string_view address = known.first;
                           return address.substr(0, address.rfind(':')) == ip;
                       });
}

////////////////////////////////////////////////////////////
bool Replica::storeCallPending() const
{
    return m_storeState != StoreState::Idle;
}

////////////////////////////////////////////////////////////
std::size_t Replica::followerCount() const
{
    return m_followers.size();
}

////////////////////////////////////////////////////////////
std::vector<std::string> Replica::followedRelays() const
{
    std::vector<std::string> relays;
    for (const auto& [link, upstream] : m_upstreams)
    {
        if (upstream.open)
            relays.push_back(upstream.address);
    }
    return relays;
}

} // namespace sailpath::replication

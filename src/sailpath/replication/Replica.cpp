#include <sailpath/core/Hash.hpp>
#include <sailpath/replication/Replica.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto     longestRest = std::chrono::milliseconds{500};
constexpr auto     leastRest = std::chrono::milliseconds{5};
constexpr auto     longestBackoff = std::chrono::milliseconds{1500};
constexpr auto     atOnce = std::chrono::milliseconds{1};
constexpr unsigned followerPatience = 3; // Times as long between calls of a store that fails, when watchers are heard
constexpr unsigned manyNodes = 50;       // And as many times more as there are so many nodes

} // namespace

////////////////////////////////////////////////////////////
Replica::Replica(ReplicaSettings settings, core::Timestamp now) :
m_settings(std::move(settings)),
m_random(m_settings.seed),
m_born(now),
m_first(m_settings.self, m_settings.seeds, now, m_random),
m_news(static_cast<std::uint32_t>(core::hash(m_settings.self.address))),
m_introductions(m_settings.self.capacity),
m_now(now)
{
    for (const std::string& seed : m_settings.seeds)
    {
        if (seed != m_settings.self.address)
            m_known[seed].heard = now;
    }
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::tick(core::Timestamp now)
{
    m_now = now;
    std::erase_if(m_known, [&](const auto& item) { return now - item.second.heard > m_settings.countLife; });
    manageUpstreams(now);
    manageStore(now);
    m_news.tick(now);
    feedFollowers(now);
    report(now);
    reportNews(now);
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
std::vector<ServerReport> Replica::takeNews()
{
    return m_news.takeReceived();
}

////////////////////////////////////////////////////////////
bool Replica::shouldWatch(core::Timestamp now) const
{
    if (!known())
        return m_first.shouldReadStore(now);
    if (m_watchRole || (!m_followers.empty() && !fedSteadily(now)))
        return true;
    if (known() && !proved())
        return now >= m_proveAt;
    if (!m_followers.empty() && !m_table.isExact())
        return true;
    if (age(now) > m_settings.staleAfter && now - m_born > m_settings.bootWait)
        return true;
    // Once begun, the own watch goes on until relays have proved steady.
    return m_store == StoreState::Watching && !fedSteadily(now);
}

////////////////////////////////////////////////////////////
void Replica::manageStore(core::Timestamp now)
{
    giveUpEarlyReading(now);
    if (m_store != StoreState::Idle || now < m_nextStore)
        return;
    if (!known() && m_first.shouldReadEarly(now))
        return readEarly(now);
    if (!shouldWatch(now))
        return;
    if (m_needRead || !known())
    {
        m_store = StoreState::Reading;
        m_actions.push_back(ReadStore{});
        return;
    }
    startWatch(now);
}

////////////////////////////////////////////////////////////
void Replica::readEarly(core::Timestamp now)
{
    m_store = StoreState::Reading;
    m_earlyUntil = m_first.beginEarlyRead(now);
    // An old reading will do, as relays tell what is new since.
    m_actions.push_back(ReadStore{ReadMode::MayBeStale});
}

////////////////////////////////////////////////////////////
void Replica::giveUpEarlyReading(core::Timestamp now)
{
    if (!m_earlyUntil || m_store != StoreState::Reading || now < *m_earlyUntil)
        return;
    m_earlyUntil.reset();
    m_store = StoreState::Idle;
    m_actions.push_back(GiveUpStore{});
}

////////////////////////////////////////////////////////////
void Replica::startWatch(core::Timestamp now)
{
    m_store = StoreState::Watching;
    // A picture that is old already is proved at once; a watch proves it at its end only.
    const bool prove = age(now) > m_settings.staleAfter / 4 || !m_table.isExact();
    m_watchedAt = now;
    m_watchedFor = prove ? core::Duration(atOnce) : m_settings.watchWait;
    m_actions.push_back(WatchStore{m_table.revision(), m_watchedFor});
}

////////////////////////////////////////////////////////////
void Replica::noteFresh(core::Timestamp asOf, core::Timestamp now)
{
    if (age(now) > m_settings.staleAfter && now - asOf <= m_settings.staleAfter)
        m_actions.push_back(Note{"picture-fresh", "", core::toMilliseconds(now - asOf)});
    m_asOf = std::max(m_asOf, asOf);
}

////////////////////////////////////////////////////////////
void Replica::storeRead(std::span<const Item> items, std::uint64_t at, std::optional<core::Timestamp> asOf,
                        core::Timestamp now, std::uint64_t upTo)
{
    m_store = StoreState::Idle;
    m_heardAt = now;
    m_earlyUntil.reset();
    m_storeFailures = 0;
    m_needRead = false;
    m_actions.push_back(Note{"store-read", asOf ? "snapshot" : "in-parts", static_cast<double>(at)});
    const bool first = !known();
    if (asOf)
    {
        m_table.applySnapshot(items, at, m_changes);
        noteFresh(*asOf, now);
    }
    else
        m_table.applyNonAtomicRead(items, at, upTo, m_changes);
    // Relays have had the time that the reading took, too; who is one itself has nobody to wait for.
    const bool alone = m_first.isRelay() || m_relaysLacking >= m_settings.upstreams;
    if (!proved())
        m_proveAt = alone ? now : std::max(now, m_born + m_settings.proofWait);
    if (first && known())
        firstCopyTaken();
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_heardAt = now;
    m_storeFailures = 0;
    // All keys are watched, so the copy is of the last change that was told, whatever revision is named.
    std::uint64_t told = 0;
    for (const Item& item : items)
        told = std::max(told, item.revision);
    if (items.empty() && at > m_table.revision())
    {
        // Something changed that was not told: only a reading shows it.
        m_actions.push_back(Note{"change-not-told", "", static_cast<double>(at)});
        m_needRead = true;
        m_nextStore = now + m_settings.firstBackoff;
        return tick(now);
    }
    if (!items.empty())
        m_table.apply(items, std::min(told, at), m_changes);
    // The store waited for all of the time asked for, or answered some time since.
    const core::Timestamp given = items.empty() ? m_watchedAt + m_watchedFor : m_watchedAt;
    noteFresh(std::min(given, now), now);
    m_needRead = m_needRead || (items.empty() && !m_followers.empty() && !m_table.isExact());
    if (!items.empty() && age(now) <= m_settings.staleAfter / 2)
        m_nextStore = now + m_settings.watchPause;
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::historyLost(core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_needRead = true;
    m_actions.push_back(Note{"history-lost", "", 0});
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::storeFailed(core::Timestamp now)
{
    m_store = StoreState::Idle;
    m_earlyUntil.reset();
    if (m_storeFailures == 0)
        m_actions.push_back(Note{"store-failed", "", 0});
    const auto doublings = std::min(m_storeFailures, 4U);
    ++m_storeFailures;
    m_ill = now;
    // The watchers and relays look for the store's return and tell those that follow them. Hundreds of followers that
    // call as well would be what the store is left with.
    const bool     led = !m_watchRole && m_followers.empty() && hearsRelays();
    const unsigned patience = led ? followerPatience * std::max(1U, nodes(now) / manyNodes) : 1;
    const auto     backoff =
        patience * std::min<core::Duration>(m_settings.firstBackoff * (1U << doublings), longestBackoff);
    m_nextStore = now + core::fromMilliseconds(core::toMilliseconds(backoff) * (0.5 + m_random.unit()));
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::linkOpened(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.open = true;
    if (!known())
    {
        const std::vector<std::string> wanted = m_first.upstreamsToFollow(now);
        if (std::find(wanted.begin(), wanted.end(), found->second.address) == wanted.end())
            return dropUpstream(link); // Another seed was quicker; each that is greeted introduces all nodes.
        m_first.linkUp(found->second.address, now);
    }
    found->second.heard = now;
    found->second.helloAt = now;
    found->second.newsTold = m_news.reportCount();
    const bool whole = m_wholeFrom.erase(found->second.address) > 0;
    m_actions.push_back(SendHello{link, {m_settings.self, whole ? 0 : m_table.revision(), true}});
}

////////////////////////////////////////////////////////////
void Replica::linkAlive(LinkId link, core::Timestamp now)
{
    const auto found = m_upstreams.find(link);
    if (found == m_upstreams.end())
        return;
    found->second.heard = now;
    m_first.updateProgressed(now);
}

////////////////////////////////////////////////////////////
void Replica::linkClosed(LinkId link, core::Timestamp now)
{
    const auto upstream = m_upstreams.find(link);
    if (upstream != m_upstreams.end())
    {
        const std::string address = upstream->second.address;
        m_upstreams.erase(upstream);
        if (known())
            avoid(address, now, "relay-lost");
        else
            m_first.linkDown(address, now);
        noteLacking(now);
    }
    m_followers.erase(link);
    tick(now);
}

////////////////////////////////////////////////////////////
void Replica::noteLacking(core::Timestamp now)
{
    // As many relays as a node follows could not prove its first reading: all nodes may have just started.
    m_first.peerHasNoCopy();
    ++m_relaysLacking;
    if (known() && !proved() && m_relaysLacking >= m_settings.upstreams)
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
    core::Timestamp next = m_now + longestRest;
    for (const auto& [link, follower] : m_followers)
        next = std::min(next, follower.nextBeat);
    for (const auto& [link, upstream] : m_upstreams)
        next = std::min(next, std::max(upstream.since, upstream.heard) + patienceWith(upstream));
    if (m_store == StoreState::Idle)
        next = std::min(next, m_nextStore > m_now ? m_nextStore : staleAt());
    if (known() && !proved())
        next = std::min(next, std::max(m_proveAt, m_now));
    if (m_now - m_born < m_settings.bootWait)
        next = std::min(next, m_born + m_settings.bootWait);
    if (!known())
        next = std::min(next, m_first.nextDue(m_now));
    if (m_earlyUntil)
        next = std::min(next, *m_earlyUntil);
    if (const auto urgent = m_news.nextReportDue())
        next = std::min(next, *urgent);
    next = std::min(next, newsDue());
    if (const auto refresh = m_introductions.nextRefresh(m_nodeChanges))
        next = std::min(next, *refresh);
    if (m_rankSoon)
        next = std::min(next, m_rankAt);
    return std::max(next, m_now) + leastRest;
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::newsDue() const
{
    const auto relay = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                    [](const auto& item) { return item.second.open && item.second.fed; });
    const bool waiting = relay != m_upstreams.end() && m_news.hasLimitsSince(relay->second.newsTold);
    return waiting ? m_newsSoon : m_now + longestRest;
}

////////////////////////////////////////////////////////////
core::Timestamp Replica::staleAt() const
{
    // Stale already: what can be done about it is under way.
    const core::Timestamp at = known() ? m_asOf + m_settings.staleAfter : m_now;
    return at > m_now ? at : m_now + longestRest;
}

////////////////////////////////////////////////////////////
const ItemTable& Replica::table() const
{
    return m_table;
}

////////////////////////////////////////////////////////////
core::Duration Replica::age(core::Timestamp now) const
{
    return m_asOf == core::Timestamp::min() ? core::Duration::max() : now - m_asOf;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Replica::provedAt() const
{
    return proved() ? std::optional(m_asOf) : std::nullopt;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> Replica::heardAt() const
{
    return m_heardAt;
}

////////////////////////////////////////////////////////////
bool Replica::known() const
{
    return m_table.revision() > 0;
}

////////////////////////////////////////////////////////////
bool Replica::proved() const
{
    return m_asOf != core::Timestamp::min();
}

////////////////////////////////////////////////////////////
bool Replica::usable(core::Timestamp now) const
{
    return proved() || (known() && now - m_born > m_settings.bootWait);
}

////////////////////////////////////////////////////////////
bool Replica::storeIll(core::Timestamp now, core::Duration within) const
{
    return m_ill != core::Timestamp::min() && now - m_ill < within;
}

////////////////////////////////////////////////////////////
unsigned Replica::nodes(core::Timestamp now) const
{
    return 1 + static_cast<unsigned>(std::count_if(m_known.begin(), m_known.end(),
                                                   [&](const auto& item)
                                                   { return now - item.second.heard < m_settings.countLife; }));
}

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> Replica::members(core::Timestamp now)
{
    m_members.heard(m_settings.self.address, now);
    std::vector<std::uint32_t> all = m_members.hashes(now);
    const bool                 hasOtherSeeds = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
                                                           [this](const std::string& seed) { return seed != m_settings.self.address; });
    if (all.size() == 1 && hasOtherSeeds)
        all.clear();
    return all;
}

////////////////////////////////////////////////////////////
bool Replica::watching() const
{
    return m_store != StoreState::Idle;
}

////////////////////////////////////////////////////////////
std::size_t Replica::followers() const
{
    return m_followers.size();
}

} // namespace sailpath::replication

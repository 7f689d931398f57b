#include <sailpath/replication/ItemTable.hpp>

#include <algorithm>
#include <set>

namespace sailpath::replication
{
namespace
{
constexpr std::size_t maxRemovals = 512;     // Removals stored, so that peers receive them
constexpr std::size_t maxPreviousValues = 4; // Earlier values stored per key
constexpr std::size_t maxChangedKeys = 4096; // Changed keys stored, from which `lateChanges` is computed
constexpr std::size_t maxIndexed = 4096;     // Keys indexed by revision: seconds of a release in the whole fleet
constexpr std::size_t maxGaps = 16;          // Gaps stored separately; older gaps are merged

} // namespace

////////////////////////////////////////////////////////////
void ItemTable::apply(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    // Newer changes were applied first, and may have skipped keys that were created and removed in between.
    if (at < m_revision)
        return;
    for (const Item& item : items)
        applyItem(item, changed);
    advanceTo(at);
}

////////////////////////////////////////////////////////////
void ItemTable::apply(const PeerChanges& changes, std::vector<Item>& changed)
{
    if (addsNothing(changes.at))
        return;
    if (changes.gapped)
        recordGap(changes.after, changes.at);
    removeUnlisted(changes.items, changes.after, changes.at, changed);
    apply(changes.items, changes.at, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::applySnapshot(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    if (addsNothing(at))
        return;
    applyAll(items, at, changed);
    m_lastGapOpen = false;
}

////////////////////////////////////////////////////////////
void ItemTable::applyNonAtomicRead(std::span<const Item> items, std::uint64_t at, std::uint64_t upTo,
                                   std::vector<Item>& changed)
{
    if (at <= m_revision)
        return;
    applyAll(items, at, changed);
    m_lastGapOpen = upTo > at;
    m_gapOpenUpTo = upTo;
}

////////////////////////////////////////////////////////////
bool ItemTable::addsNothing(std::uint64_t at) const
{
    return at < m_revision || (at == m_revision && at > 0 && !m_lastGapOpen);
}

////////////////////////////////////////////////////////////
void ItemTable::applyAll(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    recordGap(m_revision, at);
    removeUnlisted(items, 0, at, changed);
    apply(items, at, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::advanceTo(std::uint64_t at)
{
    m_revision = std::max(m_revision, at);
    if (m_lastGapOpen)
        m_gaps.back().to = m_revision;
    m_lastGapOpen = m_lastGapOpen && m_revision < m_gapOpenUpTo;
    pruneRemovals();
}

////////////////////////////////////////////////////////////
void ItemTable::recordGap(std::uint64_t from, std::uint64_t to)
{
    // The other copy's gap may begin before this table's revision. Removals that the other copy inferred have revisions
    // from the beginning of that gap on, and a third copy with this table's revision lacks them.
    if (m_lastGapOpen)
        m_gaps.back().from = std::min(m_gaps.back().from, from);
    if (m_lastGapOpen || to <= m_revision)
        return;
    m_gaps.push_back({std::min(from, m_revision), to});
    if (m_gaps.size() <= maxGaps)
        return;
    // The two oldest gaps and the range between them become one gap.
    m_gaps[1].from = m_gaps[0].from;
    m_gaps.erase(m_gaps.begin());
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::resendAfter(std::uint64_t revision) const
{
    std::uint64_t after = revision;
    for (auto gap = m_gaps.rbegin(); gap != m_gaps.rend(); ++gap)
    {
        const bool within = revision > gap->from && revision < gap->to;
        if (within || (m_lastGapOpen && gap == m_gaps.rbegin() && revision >= gap->to))
            after = std::min(after, gap->from);
    }
    return after < m_prunedUpTo ? 0 : after;
}

////////////////////////////////////////////////////////////
bool ItemTable::hasGapAfter(std::uint64_t revision) const
{
    return m_lastGapOpen || (!m_gaps.empty() && m_gaps.back().to > revision);
}

////////////////////////////////////////////////////////////
void ItemTable::removeUnlisted(std::span<const Item> items, std::uint64_t after, std::uint64_t at,
                               std::vector<Item>& changed)
{
    std::set<std::string_view> listed;
    // Removals do not count as listed: even one that is older than the item here means that the key no longer exists.
    for (const Item& item : items)
    {
        if (!item.gone)
            listed.insert(item.key);
    }
    std::vector<Item> removals;
    forEachChangedAfter(after,
                        [&](const Item& item)
                        {
                            if (!item.gone && item.revision < at && listed.find(item.key) == listed.end())
                                removals.push_back({item.key, {}, at, true});
                        });
    for (const Item& removal : removals)
        applyItem(removal, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::applyItem(const Item& item, std::vector<Item>& changed)
{
    Item& known = m_items[item.key];
    if (known.revision >= item.revision)
        return;
    indexChange(known, item);
    if (known.value.size() >= largeValueSize)
        keepPrevious(std::move(known));
    known = item;
    changed.push_back(item);
    ++m_sequence;
    m_changedKeys.push_back(item.key);
    if (m_changedKeys.size() > maxChangedKeys)
        m_changedKeys.pop_front();
}

////////////////////////////////////////////////////////////
void ItemTable::indexChange(const Item& previous, const Item& item)
{
    const auto erase = [&item](auto& keys, std::uint64_t revision)
    {
        const auto [begin, end] = keys.equal_range(revision);
        const auto found = std::find_if(begin, end, [&item](const auto& entry) { return entry.second == item.key; });
        if (found != end)
            keys.erase(found);
    };
    erase(m_byRevision, previous.revision);
    if (previous.gone)
        erase(m_removals, previous.revision);
    if (item.gone)
        m_removals.emplace(item.revision, item.key);
    m_byRevision.emplace(item.revision, item.key);
    if (m_byRevision.size() <= maxIndexed)
        return;
    m_indexedAfter = std::max(m_indexedAfter, m_byRevision.begin()->first);
    m_byRevision.erase(m_byRevision.begin());
}

////////////////////////////////////////////////////////////
template <typename Visit>
void ItemTable::forEachChangedAfter(std::uint64_t revision, Visit visit) const
{
    // Followers are sent a few changes many times a second; the index makes the cost independent of the item count.
    if (revision >= m_indexedAfter)
    {
        for (auto entry = m_byRevision.upper_bound(revision); entry != m_byRevision.end(); ++entry)
        {
            ++m_examinedItems;
            visit(m_items.find(entry->second)->second);
        }
        return;
    }
    for (const auto& [key, item] : m_items)
    {
        ++m_examinedItems;
        if (item.revision > revision)
            visit(item);
    }
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::examinedItems() const
{
    return m_examinedItems;
}

////////////////////////////////////////////////////////////
std::vector<Item> ItemTable::lateChanges(std::uint64_t sequence, std::uint64_t revision) const
{
    std::set<std::string_view> keys;
    const std::uint64_t        firstChange = std::max(sequence, oldestSequence());
    for (std::uint64_t change = firstChange; change < m_sequence; ++change)
        keys.insert(m_changedKeys[change - oldestSequence()]);
    std::vector<Item> items;
    for (const std::string_view key : keys)
    {
        const auto found = m_items.find(key);
        if (found != m_items.end() && found->second.revision <= revision)
            items.push_back(found->second);
    }
    return items;
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::sequence() const
{
    return m_sequence;
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::oldestSequence() const
{
    return m_sequence - m_changedKeys.size();
}

////////////////////////////////////////////////////////////
void ItemTable::keepPrevious(Item item)
{
    auto& previous = m_previousValues[item.key];
    previous.push_front(std::move(item));
    if (previous.size() > maxPreviousValues)
        previous.pop_back();
}

////////////////////////////////////////////////////////////
const Item* ItemTable::itemAsOf(std::string_view key, std::uint64_t at) const
{
    const auto known = m_items.find(key);
    if (known == m_items.end())
        return nullptr;
    if (known->second.revision <= at)
        return &known->second;
    const auto previous = m_previousValues.find(key);
    if (previous == m_previousValues.end())
        return nullptr;
    const auto found = std::find_if(previous->second.begin(), previous->second.end(),
                                    [at](const Item& item) { return item.revision <= at; });
    return found == previous->second.end() ? nullptr : &*found;
}

////////////////////////////////////////////////////////////
void ItemTable::pruneRemovals()
{
    while (m_removals.size() > maxRemovals)
    {
        const auto oldest = m_removals.begin();
        const auto item = m_items.find(oldest->second);
        m_prunedUpTo = std::max(m_prunedUpTo, oldest->first);
        // The removal leaves the index of changes too.
        const auto [begin, end] = m_byRevision.equal_range(oldest->first);
        const auto indexed =
            std::find_if(begin, end, [&](const auto& entry) { return entry.second == oldest->second; });
        if (indexed != end)
            m_byRevision.erase(indexed);
        m_items.erase(item);
        m_removals.erase(oldest);
    }
}

////////////////////////////////////////////////////////////
std::vector<Item> ItemTable::changesAfter(std::uint64_t revision) const
{
    std::vector<Item> items;
    forEachChangedAfter(revision, [&items](const Item& item) { items.push_back(item); });
    return items;
}

////////////////////////////////////////////////////////////
std::vector<Item> ItemTable::all() const
{
    std::vector<Item> items;
    for (const auto& [key, item] : m_items)
    {
        if (!item.gone)
            items.push_back(item);
    }
    return items;
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::revision() const
{
    return m_revision;
}

////////////////////////////////////////////////////////////
bool ItemTable::isExact() const
{
    return !m_lastGapOpen;
}

} // namespace sailpath::replication

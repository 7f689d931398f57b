#include <sailpath/replication/ItemTable.hpp>

#include <algorithm>
#include <set>

namespace sailpath::replication
{
namespace
{
constexpr std::size_t mostRemovals = 512; // Kept, so that peers hear of them
constexpr std::size_t mostFormer = 4;     // Earlier values kept of a key
constexpr std::size_t mostGaps = 16;      // Kept apart; older ones are taken for one

} // namespace

////////////////////////////////////////////////////////////
void ItemTable::take(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    for (const Item& item : items)
        put(item, changed);
    advance(at);
}

////////////////////////////////////////////////////////////
void ItemTable::take(const Changes& changes, std::vector<Item>& changed)
{
    if (changes.at < m_at)
        return;
    if (changes.gapped)
        noteGap(changes.at);
    removeUnlisted(changes.items, changes.after, changes.at, changed);
    take(changes.items, changes.at, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::takeSnapshot(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    if (at < m_at)
        return;
    takeAll(items, at, changed);
    settle();
}

////////////////////////////////////////////////////////////
void ItemTable::takeReading(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    if (at <= m_at)
        return;
    takeAll(items, at, changed);
    m_open = true;
}

////////////////////////////////////////////////////////////
void ItemTable::takeAll(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    noteGap(at);
    removeUnlisted(items, 0, at, changed);
    take(items, at, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::settle()
{
    m_open = false;
}

////////////////////////////////////////////////////////////
void ItemTable::advance(std::uint64_t at)
{
    m_at = std::max(m_at, at);
    if (m_open)
        m_gaps.back().to = m_at;
    forgetRemovals();
}

////////////////////////////////////////////////////////////
void ItemTable::noteGap(std::uint64_t to)
{
    if (m_open || to <= m_at)
        return;
    m_gaps.push_back({m_at, to});
    if (m_gaps.size() <= mostGaps)
        return;
    // The two oldest become one, with what lies between.
    m_gaps[1].from = m_gaps[0].from;
    m_gaps.erase(m_gaps.begin());
}

////////////////////////////////////////////////////////////
std::uint64_t ItemTable::tellAfter(std::uint64_t revision) const
{
    if (revision < m_forgotten)
        return 0;
    for (auto gap = m_gaps.rbegin(); gap != m_gaps.rend(); ++gap)
    {
        const bool within = revision > gap->from && revision < gap->to;
        if (within || (m_open && gap == m_gaps.rbegin() && revision >= gap->to))
            return gap->from;
    }
    return revision;
}

////////////////////////////////////////////////////////////
bool ItemTable::gapAfter(std::uint64_t revision) const
{
    return m_open || (!m_gaps.empty() && m_gaps.back().to > revision);
}

////////////////////////////////////////////////////////////
void ItemTable::removeUnlisted(std::span<const Item> items, std::uint64_t after, std::uint64_t at,
                               std::vector<Item>& changed)
{
    std::set<std::string_view> listed;
    for (const Item& item : items)
        listed.insert(item.key);
    std::vector<Item> removals;
    for (const auto& [key, item] : m_items)
    {
        const bool covered = item.revision > after && item.revision < at;
        if (!item.gone && covered && listed.find(key) == listed.end())
            removals.push_back({key, {}, at, true});
    }
    for (const Item& removal : removals)
        put(removal, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::put(const Item& item, std::vector<Item>& changed)
{
    Item& known = m_items[item.key];
    if (known.revision >= item.revision)
        return;
    m_removals += item.gone ? 1 : 0;
    m_removals -= known.gone ? 1 : 0;
    if (known.value.size() >= largeValue)
        keepFormer(std::move(known));
    known = item;
    changed.push_back(item);
}

////////////////////////////////////////////////////////////
void ItemTable::keepFormer(Item item)
{
    auto& former = m_former[item.key];
    former.push_front(std::move(item));
    if (former.size() > mostFormer)
        former.pop_back();
}

////////////////////////////////////////////////////////////
const Item* ItemTable::asOf(std::string_view key, std::uint64_t at) const
{
    const auto known = m_items.find(key);
    if (known == m_items.end())
        return nullptr;
    if (known->second.revision <= at)
        return &known->second;
    const auto former = m_former.find(key);
    if (former == m_former.end())
        return nullptr;
    const auto found = std::find_if(former->second.begin(), former->second.end(),
                                    [at](const Item& item) { return item.revision <= at; });
    return found == former->second.end() ? nullptr : &*found;
}

////////////////////////////////////////////////////////////
void ItemTable::forgetRemovals()
{
    while (m_removals > mostRemovals)
    {
        auto oldest = m_items.end();
        for (auto item = m_items.begin(); item != m_items.end(); ++item)
        {
            if (item->second.gone && (oldest == m_items.end() || item->second.revision < oldest->second.revision))
                oldest = item;
        }
        m_forgotten = std::max(m_forgotten, oldest->second.revision);
        m_items.erase(oldest);
        --m_removals;
    }
}

////////////////////////////////////////////////////////////
std::vector<Item> ItemTable::since(std::uint64_t revision) const
{
    std::vector<Item> items;
    for (const auto& [key, item] : m_items)
    {
        if (item.revision > revision)
            items.push_back(item);
    }
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
std::uint64_t ItemTable::at() const
{
    return m_at;
}

////////////////////////////////////////////////////////////
bool ItemTable::exact() const
{
    return !m_open;
}

} // namespace sailpath::replication

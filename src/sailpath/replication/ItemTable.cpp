#include <sailpath/replication/ItemTable.hpp>

#include <algorithm>
#include <set>

namespace sailpath::replication
{
namespace
{
constexpr std::size_t mostRemovals = 512; // Kept, so that peers hear of them

} // namespace

////////////////////////////////////////////////////////////
void ItemTable::take(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    for (const Item& item : items)
        put(item, changed);
    m_at = std::max(m_at, at);
    forgetRemovals();
}

////////////////////////////////////////////////////////////
void ItemTable::takeAll(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed)
{
    std::set<std::string_view> present;
    for (const Item& item : items)
        present.insert(item.key);
    std::vector<Item> removals;
    for (const auto& [key, item] : m_items)
    {
        if (!item.gone && item.revision < at && present.find(key) == present.end())
            removals.push_back({key, {}, at, true});
    }
    for (const Item& removal : removals)
        put(removal, changed);
    take(items, at, changed);
}

////////////////////////////////////////////////////////////
void ItemTable::put(const Item& item, std::vector<Item>& changed)
{
    Item& known = m_items[item.key];
    if (known.revision >= item.revision)
        return;
    m_removals += item.gone ? 1 : 0;
    m_removals -= known.gone ? 1 : 0;
    known = item;
    changed.push_back(item);
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
std::uint64_t ItemTable::oldestSince() const
{
    return m_forgotten;
}

} // namespace sailpath::replication

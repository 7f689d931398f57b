#include <sailpath/deployment/InstanceBook.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::deployment
{
namespace
{
constexpr auto        remembrance = std::chrono::seconds{60}; // Of instances that left, to know late writes by
constexpr std::size_t mostEarlier = 16; // Lives of one server that are remembered; more than start in a minute
constexpr double      most = 0.5;       // Share of a service
constexpr double      many = 0.25;      // Share of all instances

} // namespace

////////////////////////////////////////////////////////////
InstanceBook::InstanceBook(BeliefSettings settings) :
m_settings(settings)
{
}

////////////////////////////////////////////////////////////
void InstanceBook::renewed(core::Duration before, core::Timestamp now)
{
    if (before > m_settings.outage && !m_entries.empty())
        m_lapseUntil = now + m_settings.reannounce;
}

////////////////////////////////////////////////////////////
bool InstanceBook::announced(const Announcement& announcement)
{
    Entry&              entry = m_entries[announcement.instance.id];
    const std::uint64_t born = announcement.instance.born;
    const bool          known = !entry.last.instance.id.empty();
    if (known && born != entry.last.instance.born)
    {
        if (std::find(entry.earlier.begin(), entry.earlier.end(), born) != entry.earlier.end())
            return false;
        begin(entry);
    }
    if (announcement.sequence < entry.last.sequence)
        return false;
    entry.last = announcement;
    entry.drained = entry.drained || announcement.instance.draining;
    entry.last.instance.draining = entry.drained;
    entry.believeUntil.reset();
    entry.forgetAt.reset();
    entry.lapsed = false;
    return true;
}

////////////////////////////////////////////////////////////
void InstanceBook::begin(Entry& entry)
{
    std::vector<std::uint64_t> earlier = std::move(entry.earlier);
    if (earlier.size() >= mostEarlier)
        earlier.erase(earlier.begin());
    earlier.push_back(entry.last.instance.born);
    entry = Entry{};
    entry.earlier = std::move(earlier);
}

////////////////////////////////////////////////////////////
void InstanceBook::unreadable(std::string_view id, core::Timestamp now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.believeUntil.reset();
    entry.lapsed = false;
    entry.forgetAt = now + remembrance;
}

////////////////////////////////////////////////////////////
bool InstanceBook::mostVanished(const std::string& service) const
{
    std::size_t all = 0;
    std::size_t vanished = 0;
    for (const auto& [id, entry] : m_entries)
    {
        if (entry.drained || entry.forgetAt || entry.last.instance.service != service)
            continue;
        ++all;
        vanished += entry.believeUntil ? 1 : 0;
    }
    return static_cast<double>(vanished) > most * static_cast<double>(all);
}

////////////////////////////////////////////////////////////
void InstanceBook::vanished(std::string_view id, core::Timestamp earliest)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.believeUntil || found->second.forgetAt)
        return;
    found->second.lapsed = m_lapseUntil && !found->second.drained;
    found->second.believeUntil = found->second.lapsed ? *m_lapseUntil : earliest + m_settings.belief;
}

////////////////////////////////////////////////////////////
bool InstanceBook::manyLapsed() const
{
    std::size_t all = 0;
    std::size_t lapsed = 0;
    for (const auto& [id, entry] : m_entries)
    {
        if (entry.drained || entry.forgetAt)
            continue;
        ++all;
        lapsed += entry.lapsed ? 1 : 0;
    }
    return static_cast<double>(lapsed) > many * static_cast<double>(all);
}

////////////////////////////////////////////////////////////
void InstanceBook::settle(bool storeIll, core::Timestamp now)
{
    if (m_lapseUntil && now >= *m_lapseUntil)
        m_lapseUntil.reset();
    const bool                  sparesLapsed = manyLapsed();
    std::map<std::string, bool> mostGone; // By service
    for (const auto& [id, entry] : m_entries)
    {
        const std::string& service = entry.last.instance.service;
        if (entry.believeUntil && mostGone.find(service) == mostGone.end())
            mostGone[service] = mostVanished(service);
    }
    for (auto item = m_entries.begin(); item != m_entries.end();)
    {
        Entry& entry = item->second;
        if (entry.forgetAt && now >= *entry.forgetAt)
        {
            item = m_entries.erase(item);
            continue;
        }
        const bool reason = mostGone[entry.last.instance.service] || (entry.lapsed ? sparesLapsed : storeIll);
        const bool believed = entry.believeUntil && !entry.drained && reason && now < *entry.believeUntil;
        if (entry.believeUntil && !believed)
        {
            entry.believeUntil.reset();
            entry.lapsed = false;
            entry.forgetAt = now + remembrance;
        }
        ++item;
    }
}

////////////////////////////////////////////////////////////
std::vector<Instance> InstanceBook::list() const
{
    std::vector<Instance> instances;
    for (const auto& [id, entry] : m_entries)
    {
        if (!entry.forgetAt)
            instances.push_back(entry.last.instance);
    }
    return instances;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> InstanceBook::nextDue() const
{
    std::optional<core::Timestamp> next;
    for (const auto& [id, entry] : m_entries)
    {
        if (entry.believeUntil && (!next || *entry.believeUntil < *next))
            next = entry.believeUntil;
    }
    return next;
}

} // namespace sailpath::deployment

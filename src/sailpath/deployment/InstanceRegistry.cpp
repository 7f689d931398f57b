#include <sailpath/deployment/InstanceRegistry.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::deployment
{
namespace
{
constexpr auto tombstoneTime =
    std::chrono::seconds{60};               // Time that dropped instances are remembered, to recognise late writes
constexpr std::size_t maxEarlierLives = 16; // Lives of one server that are remembered; more than start in a minute
constexpr double      removedShare = 0.5;   // Above this share of a service, most of the service counts as removed
constexpr double      lostShare = 0.25;     // Above this share of all instances, their loss is ascribed to the outage

} // namespace

////////////////////////////////////////////////////////////
InstanceRegistry::InstanceRegistry(InstanceRetentionSettings settings) :
m_settings(settings)
{
}

////////////////////////////////////////////////////////////
void InstanceRegistry::applyRefresh(core::Duration before, core::Timestamp now)
{
    if (before > m_settings.outageThreshold && !m_entries.empty())
        m_reannounceUntil = now + m_settings.reannounceWindow;
}

////////////////////////////////////////////////////////////
void InstanceRegistry::count(const Entry& entry, bool in)
{
    if (entry.last.instance.id.empty() || entry.drained || entry.forgetAt)
        return;
    Count&     counts = m_counts[entry.last.instance.service];
    const auto add = [in](std::size_t& to, bool applies) { to = in ? to + applies : to - applies; };
    add(counts.all, true);
    add(counts.removed, entry.retainUntil.has_value());
    add(counts.lostInOutage, entry.lostInOutage);
}

////////////////////////////////////////////////////////////
void InstanceRegistry::recordChange(const std::string& id, const Entry& entry, const std::optional<Instance>& before)
{
    const bool listed = !entry.last.instance.id.empty() && !entry.forgetAt;
    if (listed != before.has_value() || (listed && *before != entry.last.instance))
        m_changes.try_emplace(id, before);
}

////////////////////////////////////////////////////////////
template <typename Change>
void InstanceRegistry::change(const std::string& id, Entry& entry, Change apply)
{
    ++m_entriesExamined;
    const bool                    listed = !entry.last.instance.id.empty() && !entry.forgetAt;
    const std::optional<Instance> before = listed ? std::optional(entry.last.instance) : std::nullopt;
    count(entry, false);
    if (entry.forgetAt)
        m_tombstones.erase({*entry.forgetAt, id});
    apply();
    count(entry, true);
    recordChange(id, entry, before);
    if (entry.forgetAt)
        m_tombstones.emplace(*entry.forgetAt, id);
    if (entry.retainUntil)
        m_retained.insert(id);
    else
        m_retained.erase(id);
}

////////////////////////////////////////////////////////////
bool InstanceRegistry::applyAnnouncement(const Announcement& announcement)
{
    const std::string&  id = announcement.instance.id;
    Entry&              entry = m_entries[id];
    const std::uint64_t born = announcement.instance.born;
    const bool          known = !entry.last.instance.id.empty();
    const bool          newLife = known && born != entry.last.instance.born;
    if (newLife && std::find(entry.earlierLives.begin(), entry.earlierLives.end(), born) != entry.earlierLives.end())
        return false;
    const bool stale = !newLife && announcement.sequence < entry.last.sequence;
    change(id, entry,
           [&]
           {
               if (newLife)
                   startNewLife(entry);
               if (stale)
                   return;
               entry.last = announcement;
               entry.drained = entry.drained || announcement.instance.draining;
               entry.last.instance.draining = entry.drained;
               entry.retainUntil.reset();
               entry.forgetAt.reset();
               entry.lostInOutage = false;
           });
    return !stale;
}

////////////////////////////////////////////////////////////
void InstanceRegistry::startNewLife(Entry& entry)
{
    std::vector<std::uint64_t> earlierLives = std::move(entry.earlierLives);
    if (earlierLives.size() >= maxEarlierLives)
        earlierLives.erase(earlierLives.begin());
    earlierLives.push_back(entry.last.instance.born);
    entry = Entry{};
    entry.earlierLives = std::move(earlierLives);
}

////////////////////////////////////////////////////////////
void InstanceRegistry::applyUnreadableEntry(std::string_view id, core::Timestamp now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    change(found->first, entry,
           [&]
           {
               entry.retainUntil.reset();
               entry.lostInOutage = false;
               entry.forgetAt = now + tombstoneTime;
           });
}

////////////////////////////////////////////////////////////
bool InstanceRegistry::mostRemoved(const std::string& service) const
{
    const auto found = m_counts.find(service);
    return found != m_counts.end() &&
           static_cast<double>(found->second.removed) > removedShare * static_cast<double>(found->second.all);
}

////////////////////////////////////////////////////////////
void InstanceRegistry::applyRemoval(std::string_view id, core::Timestamp earliest)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.retainUntil || found->second.forgetAt)
        return;
    Entry& entry = found->second;
    change(found->first, entry,
           [&]
           {
               entry.lostInOutage = m_reannounceUntil && !entry.drained;
               entry.retainUntil = entry.lostInOutage ? *m_reannounceUntil : earliest + m_settings.retention;
           });
}

////////////////////////////////////////////////////////////
bool InstanceRegistry::manyLostInOutage() const
{
    std::size_t all = 0;
    std::size_t lostInOutage = 0;
    for (const auto& [service, counts] : m_counts)
    {
        all += counts.all;
        lostInOutage += counts.lostInOutage;
    }
    return static_cast<double>(lostInOutage) > lostShare * static_cast<double>(all);
}

////////////////////////////////////////////////////////////
void InstanceRegistry::expire(bool storeIll, core::Timestamp now)
{
    if (m_reannounceUntil && now >= *m_reannounceUntil)
        m_reannounceUntil.reset();
    const bool retainLost = manyLostInOutage();
    std::map<std::string, bool>
        mostRemovedByService; // Evaluated before any instance is dropped, so that all are judged alike
    const std::vector<std::string> retained(m_retained.begin(), m_retained.end());
    for (const std::string& id : retained)
    {
        const std::string& service = m_entries.find(id)->second.last.instance.service;
        mostRemovedByService.try_emplace(service, mostRemoved(service));
    }
    for (; !m_tombstones.empty() && now >= m_tombstones.begin()->first; m_tombstones.erase(m_tombstones.begin()))
        m_entries.erase(m_tombstones.begin()->second);
    for (const std::string& id : retained)
    {
        Entry&     entry = m_entries.find(id)->second;
        const bool retain =
            mostRemovedByService[entry.last.instance.service] || (entry.lostInOutage ? retainLost : storeIll);
        if (!entry.drained && retain && now < *entry.retainUntil)
            continue;
        change(id, entry,
               [&]
               {
                   entry.retainUntil.reset();
                   entry.lostInOutage = false;
                   entry.forgetAt = now + tombstoneTime;
               });
    }
}

////////////////////////////////////////////////////////////
InstanceChanges InstanceRegistry::takeChanges()
{
    InstanceChanges changes;
    for (auto& [id, before] : std::exchange(m_changes, {}))
    {
        const auto   found = m_entries.find(id);
        const Entry  none;
        const Entry& entry = found == m_entries.end() ? none : found->second;
        const bool   listed = found != m_entries.end() && !entry.forgetAt;
        // A server may come back under another service, whose pool does not know the instances of the former one.
        if (before && (!listed || before->service != entry.last.instance.service))
            changes.gone.push_back(std::move(*before));
        else if (before && *before == entry.last.instance)
            continue;
        if (listed)
            changes.present.push_back(entry.last.instance);
    }
    return changes;
}

////////////////////////////////////////////////////////////
std::vector<Instance> InstanceRegistry::list() const
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
std::optional<core::Timestamp> InstanceRegistry::nextDue() const
{
    std::optional<core::Timestamp> next;
    for (const std::string& id : m_retained)
    {
        ++m_entriesExamined;
        const Entry& entry = m_entries.find(id)->second;
        if (entry.retainUntil && (!next || *entry.retainUntil < *next))
            next = entry.retainUntil;
    }
    return next;
}

////////////////////////////////////////////////////////////
std::uint64_t InstanceRegistry::entriesExamined() const
{
    return m_entriesExamined;
}

} // namespace sailpath::deployment

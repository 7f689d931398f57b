#include <sailpath/deployment/InstanceRegistry.hpp>

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
void InstanceBook::count(const Entry& entry, bool in)
{
    if (entry.last.instance.id.empty() || entry.drained || entry.forgetAt)
        return;
    Count&     counted = m_counts[entry.last.instance.service];
    const auto add = [in](std::size_t& to, bool applies) { to = in ? to + applies : to - applies; };
    add(counted.all, true);
    add(counted.vanished, entry.believeUntil.has_value());
    add(counted.lapsed, entry.lapsed);
}

////////////////////////////////////////////////////////////
void InstanceBook::noteTold(const std::string& id, const Entry& entry, const std::optional<Instance>& before)
{
    const bool believed = !entry.last.instance.id.empty() && !entry.forgetAt;
    if (believed != before.has_value() || (believed && *before != entry.last.instance))
        m_changes.try_emplace(id, before);
}

////////////////////////////////////////////////////////////
template <typename Change>
void InstanceBook::change(const std::string& id, Entry& entry, Change apply)
{
    ++m_looked;
    const bool                    believed = !entry.last.instance.id.empty() && !entry.forgetAt;
    const std::optional<Instance> before = believed ? std::optional(entry.last.instance) : std::nullopt;
    count(entry, false);
    if (entry.forgetAt)
        m_left.erase({*entry.forgetAt, id});
    apply();
    count(entry, true);
    noteTold(id, entry, before);
    if (entry.forgetAt)
        m_left.emplace(*entry.forgetAt, id);
    if (entry.believeUntil)
        m_waiting.insert(id);
    else
        m_waiting.erase(id);
}

////////////////////////////////////////////////////////////
bool InstanceBook::announced(const Announcement& announcement)
{
    const std::string&  id = announcement.instance.id;
    Entry&              entry = m_entries[id];
    const std::uint64_t born = announcement.instance.born;
    const bool          known = !entry.last.instance.id.empty();
    const bool          anew = known && born != entry.last.instance.born;
    if (anew && std::find(entry.earlier.begin(), entry.earlier.end(), born) != entry.earlier.end())
        return false;
    const bool late = !anew && announcement.sequence < entry.last.sequence;
    change(id, entry,
           [&]
           {
               if (anew)
                   begin(entry);
               if (late)
                   return;
               entry.last = announcement;
               entry.drained = entry.drained || announcement.instance.draining;
               entry.last.instance.draining = entry.drained;
               entry.believeUntil.reset();
               entry.forgetAt.reset();
               entry.lapsed = false;
           });
    return !late;
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
    change(found->first, entry,
           [&]
           {
               entry.believeUntil.reset();
               entry.lapsed = false;
               entry.forgetAt = now + remembrance;
           });
}

////////////////////////////////////////////////////////////
bool InstanceBook::mostVanished(const std::string& service) const
{
    const auto found = m_counts.find(service);
    return found != m_counts.end() &&
           static_cast<double>(found->second.vanished) > most * static_cast<double>(found->second.all);
}

////////////////////////////////////////////////////////////
void InstanceBook::vanished(std::string_view id, core::Timestamp earliest)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.believeUntil || found->second.forgetAt)
        return;
    Entry& entry = found->second;
    change(found->first, entry,
           [&]
           {
               entry.lapsed = m_lapseUntil && !entry.drained;
               entry.believeUntil = entry.lapsed ? *m_lapseUntil : earliest + m_settings.belief;
           });
}

////////////////////////////////////////////////////////////
bool InstanceBook::manyLapsed() const
{
    std::size_t all = 0;
    std::size_t lapsed = 0;
    for (const auto& [service, counted] : m_counts)
    {
        all += counted.all;
        lapsed += counted.lapsed;
    }
    return static_cast<double>(lapsed) > many * static_cast<double>(all);
}

////////////////////////////////////////////////////////////
void InstanceBook::settle(bool storeIll, core::Timestamp now)
{
    if (m_lapseUntil && now >= *m_lapseUntil)
        m_lapseUntil.reset();
    const bool                     sparesLapsed = manyLapsed();
    std::map<std::string, bool>    mostGone; // By service, as of now: those that follow are judged alike
    const std::vector<std::string> waiting(m_waiting.begin(), m_waiting.end());
    for (const std::string& id : waiting)
    {
        const std::string& service = m_entries.find(id)->second.last.instance.service;
        mostGone.try_emplace(service, mostVanished(service));
    }
    for (; !m_left.empty() && now >= m_left.begin()->first; m_left.erase(m_left.begin()))
        m_entries.erase(m_left.begin()->second);
    for (const std::string& id : waiting)
    {
        Entry&     entry = m_entries.find(id)->second;
        const bool reason = mostGone[entry.last.instance.service] || (entry.lapsed ? sparesLapsed : storeIll);
        if (!entry.drained && reason && now < *entry.believeUntil)
            continue;
        change(id, entry,
               [&]
               {
                   entry.believeUntil.reset();
                   entry.lapsed = false;
                   entry.forgetAt = now + remembrance;
               });
    }
}

////////////////////////////////////////////////////////////
InstanceChanges InstanceBook::takeChanges()
{
    InstanceChanges changes;
    for (auto& [id, before] : std::exchange(m_changes, {}))
    {
        const auto   found = m_entries.find(id);
        const Entry  none;
        const Entry& entry = found == m_entries.end() ? none : found->second;
        const bool   believed = found != m_entries.end() && !entry.forgetAt;
        // A server may come back under another service, whose pool knows nothing of the former one's.
        if (before && (!believed || before->service != entry.last.instance.service))
            changes.gone.push_back(std::move(*before));
        else if (before && *before == entry.last.instance)
            continue;
        if (believed)
            changes.present.push_back(entry.last.instance);
    }
    return changes;
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
    for (const std::string& id : m_waiting)
    {
        ++m_looked;
        const Entry& entry = m_entries.find(id)->second;
        if (entry.believeUntil && (!next || *entry.believeUntil < *next))
            next = entry.believeUntil;
    }
    return next;
}

////////////////////////////////////////////////////////////
std::uint64_t InstanceBook::looked() const
{
    return m_looked;
}

} // namespace sailpath::deployment

#include <sailpath/balance/quotas/FleetPresence.hpp>

#include <algorithm>
#include <vector>

namespace sailpath::balance::quotas
{
namespace
{
constexpr std::size_t maxChosen = 128;                        // Bounds the reports that each node receives
constexpr auto        rememberFor = std::chrono::minutes{10}; // As long as `replication::Replica` remembers nodes
// Of the fleet for a node that hears no chosen node; what all such nodes use is a part of the tolerated excess.
constexpr double      minShareOfAll = 0.05;

} // namespace

////////////////////////////////////////////////////////////
FleetPresence::FleetPresence(std::uint32_t self) :
m_self(self)
{
}

////////////////////////////////////////////////////////////
void FleetPresence::setMembers(std::span<const std::uint32_t> members, core::Timestamp now)
{
    const std::size_t before = m_members.size();
    bool              isNew = false;
    for (const std::uint32_t member : members)
    {
        const auto [found, added] = m_members.try_emplace(member, Member{now, now});
        found->second.listedAt = now;
        isNew = isNew || added;
    }
    std::erase_if(m_members, [now](const auto& item) { return now - item.second.listedAt > rememberFor; });
    if (isNew || m_members.size() != before)
        choose();
}

////////////////////////////////////////////////////////////
void FleetPresence::choose()
{
    std::vector<std::uint32_t> hashes;
    hashes.reserve(m_members.size());
    for (const auto& [hash, member] : m_members)
        hashes.push_back(hash);
    m_chosen = std::min(hashes.size(), maxChosen);
    std::nth_element(hashes.begin(), hashes.begin() + static_cast<std::ptrdiff_t>(m_chosen), hashes.end());
    for (auto& [hash, member] : m_members)
        member.chosen = m_chosen == hashes.size() || hash < hashes[m_chosen];
}

////////////////////////////////////////////////////////////
void FleetPresence::setWatching(bool watching, core::Timestamp now)
{
    if (watching && !m_watching)
    {
        for (auto& [hash, member] : m_members)
            member.heardAt = now;
    }
    m_watching = watching;
}

////////////////////////////////////////////////////////////
void FleetPresence::recordReport(std::uint32_t node, core::Timestamp now)
{
    if (const auto found = m_members.find(node); found != m_members.end())
        found->second.heardAt = now;
}

////////////////////////////////////////////////////////////
bool FleetPresence::takeReportDue(core::Timestamp now)
{
    const auto self = m_members.find(m_self);
    if (!m_watching || self == m_members.end() || !self->second.chosen || m_members.size() < 2)
        return false;
    if (m_reportedAt && now - *m_reportedAt < interval)
        return false;
    m_reportedAt = now;
    return true;
}

////////////////////////////////////////////////////////////
double FleetPresence::share(core::Timestamp now) const
{
    if (!m_watching || m_members.size() < 2)
        return 1;
    return std::max(minShareOfAll / static_cast<double>(m_members.size()),
                    static_cast<double>(heardCount(now)) / static_cast<double>(m_chosen));
}

////////////////////////////////////////////////////////////
std::size_t FleetPresence::memberCount() const
{
    return m_members.size();
}

////////////////////////////////////////////////////////////
std::size_t FleetPresence::heardCount(core::Timestamp now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(),
        [&](const auto& item)
        { return item.second.chosen && (item.first == m_self || now - item.second.heardAt <= timeout); }));
}

////////////////////////////////////////////////////////////
std::size_t FleetPresence::chosenCount() const
{
    return m_chosen;
}

} // namespace sailpath::balance::quotas

#include <sailpath/paths/PathMonitor.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sailpath::paths
{
namespace
{
constexpr auto     evidenceLife = std::chrono::seconds{3}; // Between a direct failure and a helper's success
constexpr auto     firstLoss = std::chrono::seconds{2};    // Until a lost path is tried again by requests
constexpr unsigned maxLossDoublings = 2;
constexpr auto     unreachableFor = std::chrono::seconds{1};
constexpr auto     recheckInterval = std::chrono::milliseconds{400};
constexpr auto     recordLife = std::chrono::seconds{10}; // Without new evidence
constexpr auto freshFor = std::chrono::seconds{1}; // A connection that was opened this lately shows that new ones work
constexpr std::size_t serversForGroup = 2;
constexpr std::size_t maxRecords = 1024; // Further failures are not recorded

////////////////////////////////////////////////////////////
std::array<std::string, 2> groupsOf(const deployment::Instance& server)
{
    return {"service/" + server.service, "data-centre/" + server.dataCentre};
}

} // namespace

////////////////////////////////////////////////////////////
void PathMonitor::recordHeard(const deployment::Instance& server, core::Timestamp openedAt, core::Timestamp now)
{
    m_heardAt = now;
    if (now - openedAt < freshFor)
        m_freshHeardAt = now;
    if (m_records.empty())
        return;
    const auto found = m_records.find(server.id);
    if (found != m_records.end() && openedAt >= found->second.failedAt)
        m_records.erase(found);
    for (const std::string& name : groupsOf(server))
    {
        const auto group = m_groups.find(name);
        if (group != m_groups.end() && openedAt >= group->second.firstFailedAt)
            regain(group, server.id, now);
    }
}

////////////////////////////////////////////////////////////
void PathMonitor::recordFailed(const deployment::Instance& server, core::Timestamp startedAt, core::Timestamp now)
{
    expire(now);
    if (m_records.size() >= maxRecords && !m_records.contains(server.id))
        return;
    Record& record = m_records[server.id];
    if (record.failedAt == core::Timestamp{})
        record.firstFailedAt = now;
    record.instance = server;
    record.failedAt = now;
    record.lastStartedAt = std::max(record.lastStartedAt, startedAt);
    conclude(record, now);
}

////////////////////////////////////////////////////////////
void PathMonitor::recordReached(const deployment::Instance& server, core::Timestamp now)
{
    const auto found = m_records.find(server.id);
    if (found == m_records.end())
        return;
    Record& record = found->second;
    if (!record.reachedAt || now - *record.reachedAt >= evidenceLife)
        record.firstReachedAt = now;
    record.reachedAt = now;
    record.unreachableUntil = {};
    conclude(record, now);
}

////////////////////////////////////////////////////////////
void PathMonitor::recordUnreachable(const deployment::Instance& server, bool refused, core::Timestamp now)
{
    const auto found = m_records.find(server.id);
    if (found == m_records.end())
        return;
    found->second.unreachableUntil = now + unreachableFor;
    found->second.refused = refused;
}

////////////////////////////////////////////////////////////
void PathMonitor::forget(const deployment::Instance& server, core::Timestamp now)
{
    m_records.erase(server.id);
    for (const std::string& name : groupsOf(server))
    {
        const auto group = m_groups.find(name);
        if (group == m_groups.end())
            continue;
        group->second.lostServers.erase(server.id);
        if (group->second.lostServers.empty())
            regain(group, server.id, now);
    }
}

////////////////////////////////////////////////////////////
void PathMonitor::conclude(Record& record, core::Timestamp now)
{
    const bool confirmed = record.reachedAt && now - *record.reachedAt < evidenceLife &&
                           now - record.failedAt < evidenceLife && record.lastStartedAt >= *record.firstReachedAt;
    if (!confirmed)
        return;
    if (now >= record.lostUntil)
    {
        const unsigned doublings = std::min(record.losses++, maxLossDoublings);
        record.lostUntil = now + firstLoss * (1U << doublings);
    }
    for (const std::string& name : groupsOf(record.instance))
        addToGroup(name, record, now);
}

////////////////////////////////////////////////////////////
void PathMonitor::addToGroup(const std::string& name, const Record& record, core::Timestamp now)
{
    Group& group = m_groups[name];
    if (group.lostServers.empty())
        group.firstFailedAt = record.firstFailedAt;
    group.lostServers[record.instance.id] = now;
    if (group.lost || group.lostServers.size() < serversForGroup)
        return;
    group.lost = true;
    m_changes.push_back({name, true, group.lostServers.size(), {}, record.instance.id});
}

////////////////////////////////////////////////////////////
void PathMonitor::regain(Groups::iterator group, const std::string& evidenceFrom, core::Timestamp now)
{
    if (group->second.lost)
    {
        m_changes.push_back({group->first, false, 0, now - group->second.firstFailedAt, evidenceFrom});
        // The others are tried directly again by the next connections, beside a helper.
        for (const auto& [id, at] : group->second.lostServers)
        {
            if (const auto record = m_records.find(id); record != m_records.end())
                record->second.lostUntil = now;
        }
    }
    m_groups.erase(group);
}

////////////////////////////////////////////////////////////
void PathMonitor::expire(core::Timestamp now)
{
    std::vector<deployment::Instance> expired;
    for (const auto& [id, record] : m_records)
    {
        if (now - std::max(record.failedAt, record.reachedAt.value_or(record.failedAt)) > recordLife)
            expired.push_back(record.instance);
    }
    for (const deployment::Instance& server : expired)
        forget(server, now);
}

////////////////////////////////////////////////////////////
const PathMonitor::Group* PathMonitor::lostGroupOf(const deployment::Instance& server) const
{
    if (m_groups.empty())
        return nullptr;
    for (const std::string& name : groupsOf(server))
    {
        const auto group = m_groups.find(name);
        if (group != m_groups.end() && group->second.lost)
            return &group->second;
    }
    return nullptr;
}

////////////////////////////////////////////////////////////
bool PathMonitor::isLost(const Record& record, core::Timestamp now) const
{
    return now < record.lostUntil || lostGroupOf(record.instance) != nullptr;
}

////////////////////////////////////////////////////////////
PathState PathMonitor::state(const deployment::Instance& server, core::Timestamp now) const
{
    if (m_records.empty())
        return PathState::Direct;
    if (lostGroupOf(server) != nullptr)
        return PathState::Lost;
    const auto found = m_records.find(server.id);
    if (found == m_records.end() || found->second.instance.born != server.born)
        return PathState::Direct;
    if (now < found->second.lostUntil)
        return PathState::Lost;
    return now - found->second.failedAt < evidenceLife ? PathState::Suspect : PathState::Direct;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> PathMonitor::lostSince(const deployment::Instance& server, core::Timestamp now) const
{
    if (m_records.empty())
        return std::nullopt;
    if (const Group* group = lostGroupOf(server))
        return group->firstFailedAt;
    const auto found = m_records.find(server.id);
    if (found == m_records.end() || now >= found->second.lostUntil)
        return std::nullopt;
    return found->second.firstFailedAt;
}

////////////////////////////////////////////////////////////
bool PathMonitor::isUnreachable(const deployment::Instance& server, core::Timestamp now) const
{
    const auto found = m_records.find(server.id);
    return found != m_records.end() && now < found->second.unreachableUntil;
}

////////////////////////////////////////////////////////////
bool PathMonitor::isRefusing(const deployment::Instance& server, core::Timestamp now) const
{
    const auto found = m_records.find(server.id);
    return found != m_records.end() && found->second.refused && now < found->second.unreachableUntil &&
           deployment::sameInstance(found->second.instance, server);
}

////////////////////////////////////////////////////////////
bool PathMonitor::heardWithin(core::Duration age, core::Timestamp now) const
{
    return m_heardAt != core::Timestamp{} && now - m_heardAt <= age;
}

////////////////////////////////////////////////////////////
bool PathMonitor::freshHeardWithin(core::Duration age, core::Timestamp now) const
{
    return m_freshHeardAt != core::Timestamp{} && now - m_freshHeardAt <= age;
}

////////////////////////////////////////////////////////////
bool PathMonitor::anyFailed() const
{
    return !m_records.empty();
}

////////////////////////////////////////////////////////////
bool PathMonitor::anyLost(core::Timestamp now) const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [&](const auto& entry) { return isLost(entry.second, now); });
}

////////////////////////////////////////////////////////////
bool PathMonitor::needsTrial(const deployment::Instance& server, core::Timestamp now) const
{
    const auto found = m_records.find(server.id);
    if (found == m_records.end() || isLost(found->second, now))
        return false;
    const Record& record = found->second;
    return record.reachedAt && now - *record.reachedAt < evidenceLife && record.lastStartedAt < *record.firstReachedAt;
}

////////////////////////////////////////////////////////////
std::optional<deployment::Instance> PathMonitor::nextRecheck(core::Timestamp now)
{
    if (m_records.empty() || now - m_recheckedAt < recheckInterval)
        return std::nullopt;
    expire(now);
    Record* oldest = nullptr;
    for (auto& [id, record] : m_records)
    {
        if (isLost(record, now) && (oldest == nullptr || record.recheckedAt < oldest->recheckedAt))
            oldest = &record;
    }
    if (oldest == nullptr)
        return std::nullopt;
    oldest->recheckedAt = m_recheckedAt = now;
    return oldest->instance;
}

////////////////////////////////////////////////////////////
std::vector<PathChange> PathMonitor::takeChanges()
{
    return std::exchange(m_changes, {});
}

////////////////////////////////////////////////////////////
std::vector<FailedPath> PathMonitor::list(core::Timestamp now) const
{
    std::vector<FailedPath> all;
    for (const auto& [id, record] : m_records)
        all.push_back({record.instance, state(record.instance, now), now - record.firstFailedAt});
    return all;
}

} // namespace sailpath::paths

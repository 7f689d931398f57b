#include <sailpath/replication/ServerGossip.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto reportInterval =
    std::chrono::milliseconds{350}; // Between reports of this node; equals the interval of updates
constexpr auto urgentInterval =
    std::chrono::milliseconds{20};  // Between urgent reports; batches the records that the end of one server causes
constexpr std::size_t maxEnds = 32; // Per report; a node that reports more has a bad link or is faulty
constexpr auto        reportLifetime = std::chrono::seconds{3}; // Time for which a report is forwarded
constexpr std::size_t maxLimits = 64; // Per report, and pending; enough for overloaded servers of several services
constexpr std::size_t maxKnownLimits = 1024; // Limited servers and workspaces with quotas, stored for new followers
constexpr std::size_t maxServers = 16;  // Per report; a node that reports more failing servers has a bad link itself
constexpr std::size_t maxEntries = 512; // Reports stored: a third of a second if all of 473 nodes report failures
constexpr auto        knownLimitLifetime =
    std::chrono::seconds{30};                // Time for which a limit is valid; servers in use announce it again
constexpr std::uint32_t acceptedSpan = 3000; // In report numbers, which are ms; equals `reportLifetime`
constexpr std::size_t   maxOrigins = 4096;   // Origins whose last report number is stored
constexpr std::uint32_t maxNumberLag =
    60'000; // Report numbers are ms; a number that lags by more means that the node's clock was reset

} // namespace

////////////////////////////////////////////////////////////
ServerGossip::ServerGossip(std::uint32_t self) :
m_self(self)
{
}

////////////////////////////////////////////////////////////
void ServerGossip::recordFailure(std::uint32_t server)
{
    auto& servers = m_pending.servers;
    if (servers.size() < maxServers && std::find(servers.begin(), servers.end(), server) == servers.end())
        servers.push_back(server);
}

////////////////////////////////////////////////////////////
void ServerGossip::recordEnd(const EndRecord& record, core::Timestamp at)
{
    if (m_pending.ends.size() < maxEnds)
        m_pending.ends.emplace_back(record, at);
}

////////////////////////////////////////////////////////////
void ServerGossip::recordServed(const core::ContentHash& content)
{
    if (m_pending.served.size() < maxEnds)
        m_pending.served.push_back(content);
}

////////////////////////////////////////////////////////////
void ServerGossip::recordLimit(const LimitRecord& record, core::Timestamp at)
{
    auto&      limits = m_pending.limits;
    const auto known = std::find_if(limits.begin(), limits.end(),
                                    [&](const auto& item)
                                    { return item.first.server == record.server && item.first.topic == record.topic; });
    if (known == limits.end() && limits.size() < maxLimits)
        limits.emplace_back(record, at);
    else if (known != limits.end())
    {
        const double sent = known->first.sent + record.sent;
        *known = {record, at};
        known->first.sent = sent;
    }
}

////////////////////////////////////////////////////////////
void ServerGossip::receive(std::span<const ServerReport> reports, ReportSource source, core::Timestamp now)
{
    for (const ServerReport& report : reports)
    {
        const bool oversized = report.servers.size() > maxServers || report.ends.size() > maxEnds ||
                               report.served.size() > maxEnds || report.limits.size() > maxLimits;
        if (report.origin == m_self || oversized || !isNew(report))
            continue;
        m_received.push_back(report);
        append(report, source, now);
    }
}

////////////////////////////////////////////////////////////
bool ServerGossip::isNew(const ServerReport& report) const
{
    const auto found = m_accepted.find(report.origin);
    if (found == m_accepted.end())
        return true;
    const AcceptedNumbers& accepted = found->second;
    if (report.number > accepted.last || accepted.last - report.number >= maxNumberLag)
        return true;
    return accepted.last - report.number < acceptedSpan && accepted.recent.count(report.number) == 0;
}

////////////////////////////////////////////////////////////
void ServerGossip::recordAccepted(const ServerReport& report)
{
    if (m_accepted.size() >= maxOrigins)
        m_accepted.clear();
    AcceptedNumbers& accepted = m_accepted[report.origin];
    const bool       restarted = accepted.last > report.number && accepted.last - report.number >= maxNumberLag;
    if (restarted)
        accepted.recent.clear();
    accepted.last = restarted ? report.number : std::max(accepted.last, report.number);
    accepted.recent.insert(report.number);
    while (accepted.last - *accepted.recent.begin() >= acceptedSpan)
        accepted.recent.erase(accepted.recent.begin());
}

////////////////////////////////////////////////////////////
void ServerGossip::tick(core::Timestamp now)
{
    while (!m_entries.empty() && (now - m_entries.front().at > reportLifetime || m_entries.size() > maxEntries))
    {
        m_entries.pop_front();
        ++m_dropped;
    }
    if (!isReportDue(now))
        return;
    m_nextRegularAt = now + reportInterval;
    m_nextUrgentAt = now + urgentInterval;
    m_nextLimitsAt = now + batchDelay;
    const auto   number = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    Pending      pending = std::exchange(m_pending, {});
    ServerReport report{
        m_self, static_cast<std::uint32_t>(number), std::move(pending.servers), {}, std::move(pending.served)};
    for (auto& [record, at] : pending.ends)
    {
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - at)));
        report.ends.push_back(record);
    }
    for (auto& [record, at] : pending.limits)
    {
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - at)));
        report.limits.push_back(record);
    }
    append(std::move(report), {}, now);
}

////////////////////////////////////////////////////////////
bool ServerGossip::isReportDue(core::Timestamp now) const
{
    const auto isUrgent = nextReportDue();
    return (isUrgent && now >= *isUrgent) || (!m_pending.servers.empty() && now >= m_nextRegularAt);
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> ServerGossip::nextReportDue() const
{
    const bool nearLimit = std::any_of(m_pending.limits.begin(), m_pending.limits.end(),
                                       [](const auto& item) { return item.first.isNearLimit(); });
    if (!m_pending.ends.empty() || !m_pending.served.empty() || nearLimit)
        return m_nextUrgentAt;
    return m_pending.limits.empty() ? std::nullopt : std::optional(m_nextLimitsAt);
}

////////////////////////////////////////////////////////////
bool ServerGossip::hasUrgentSince(std::uint64_t count) const
{
    for (std::uint64_t i = std::max(count, m_dropped); i < reportCount(); ++i)
    {
        if (m_entries[i - m_dropped].report.isUrgent())
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
bool ServerGossip::hasLimitsSince(std::uint64_t count) const
{
    for (std::uint64_t i = std::max(count, m_dropped); i < reportCount(); ++i)
    {
        if (m_entries[i - m_dropped].report.hasLimits())
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
void ServerGossip::rememberLimits(const ServerReport& report, core::Timestamp now)
{
    std::erase_if(m_knownLimits, [now](const auto& item) { return now - item.second.at > knownLimitLifetime; });
    for (const LimitRecord& record : report.limits)
    {
        if (record.topic != 0)
            continue;
        const core::Timestamp at = now - std::chrono::milliseconds{record.agoMs};
        const auto            known = m_knownLimits.find(record.server);
        if (known != m_knownLimits.end() && at < known->second.at)
            continue;
        if (std::isinf(record.perSecond))
            m_knownLimits.erase(record.server);
        else if (known != m_knownLimits.end() || m_knownLimits.size() < maxKnownLimits)
            m_knownLimits[record.server] = {record, at};
    }
}

////////////////////////////////////////////////////////////
std::optional<ServerReport> ServerGossip::currentLimits(core::Timestamp now) const
{
    if (m_knownLimits.empty())
        return std::nullopt;
    const auto   number = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    ServerReport report{m_self, static_cast<std::uint32_t>(number) - 1, {}, {}, {},
                        {}}; // Below the numbers of this node's next reports
    for (const auto& [server, limit] : m_knownLimits)
    {
        LimitRecord record = limit.record;
        record.sent = 0;
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - limit.at)));
        report.limits.push_back(record);
    }
    // If there are too many, those with the lowest probability are sent; a new node treats the others as not limited.
    std::sort(report.limits.begin(), report.limits.end(),
              [](const auto& left, const auto& right) { return left.doublings < right.doublings; });
    if (report.limits.size() > maxLimits)
        report.limits.resize(maxLimits);
    return report;
}

////////////////////////////////////////////////////////////
void ServerGossip::append(ServerReport report, const ReportSource& source, core::Timestamp now)
{
    recordAccepted(report);
    rememberLimits(report, now);
    m_entries.push_back({std::move(report), source, now});
}

////////////////////////////////////////////////////////////
std::uint64_t ServerGossip::reportCount() const
{
    return m_dropped + m_entries.size();
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::reportsForFollower(std::uint64_t count, std::uint64_t link) const
{
    std::vector<ServerReport> reports;
    for (std::uint64_t i = std::max(count, m_dropped); i < reportCount(); ++i)
    {
        if (m_entries[i - m_dropped].source.link != link)
            reports.push_back(m_entries[i - m_dropped].report);
    }
    return reports;
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::reportsForRelay(std::uint64_t count) const
{
    std::vector<ServerReport> reports;
    for (std::uint64_t i = std::max(count, m_dropped); i < reportCount(); ++i)
    {
        if (!m_entries[i - m_dropped].source.fromRelay)
            reports.push_back(m_entries[i - m_dropped].report);
    }
    return reports;
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::takeReceived()
{
    return std::exchange(m_received, {});
}

} // namespace sailpath::replication

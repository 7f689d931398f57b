#include <sailpath/replication/ServerGossip.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto span = std::chrono::milliseconds{350};      // Between own reports; updates travel as often
constexpr auto urgentSpan = std::chrono::milliseconds{20}; // Between own reports that are urgent: what one end brings
constexpr std::size_t mostEnds = 32;                       // In a report; who sees more end has a bad link or lies
constexpr auto        life = std::chrono::seconds{3};      // Of a report on its way
constexpr std::size_t mostLimits = 64;   // In a report, and waiting for one; servers of several services in need
constexpr std::size_t mostWords = 1024;  // Limited servers and workspaces with quotas, kept for nodes that start
constexpr std::size_t mostServers = 16;  // In a report; who sees more fail has a bad link itself
constexpr std::size_t mostEntries = 512; // Kept; a third of a second of 473 nodes that all see failures
constexpr auto wordLife = std::chrono::seconds{30}; // Of what a limited server said; while it is used it says it again
constexpr std::size_t   mostOrigins = 4096;         // Remembered
constexpr std::uint32_t farApart = 60'000;          // Numbers, ms: the node's clock began anew

} // namespace

////////////////////////////////////////////////////////////
ServerGossip::ServerGossip(std::uint32_t self) :
m_self(self)
{
}

////////////////////////////////////////////////////////////
void ServerGossip::saw(std::uint32_t server)
{
    auto& servers = m_seen.servers;
    if (servers.size() < mostServers && std::find(servers.begin(), servers.end(), server) == servers.end())
        servers.push_back(server);
}

////////////////////////////////////////////////////////////
void ServerGossip::sawEnd(const EndRecord& record, core::Timestamp at)
{
    if (m_seen.ends.size() < mostEnds)
        m_seen.ends.emplace_back(record, at);
}

////////////////////////////////////////////////////////////
void ServerGossip::sawServed(const core::ContentHash& content)
{
    if (m_seen.served.size() < mostEnds)
        m_seen.served.push_back(content);
}

////////////////////////////////////////////////////////////
void ServerGossip::limited(const LimitRecord& record, core::Timestamp at)
{
    auto&      limits = m_seen.limits;
    const auto known = std::find_if(limits.begin(), limits.end(),
                                    [&](const auto& item) { return item.first.server == record.server; });
    if (known == limits.end() && limits.size() < mostLimits)
        limits.emplace_back(record, at);
    else if (known != limits.end())
    {
        const double sent = known->first.sent + record.sent;
        *known = {record, at};
        known->first.sent = sent;
    }
}

////////////////////////////////////////////////////////////
void ServerGossip::heard(std::span<const ServerReport> reports, NewsSource source, core::Timestamp now)
{
    for (const ServerReport& report : reports)
    {
        const auto last = m_lastOf.find(report.origin);
        const bool old =
            last != m_lastOf.end() && report.number <= last->second && last->second - report.number < farApart;
        const bool tooMuch = report.servers.size() > mostServers || report.ends.size() > mostEnds ||
                             report.served.size() > mostEnds || report.limits.size() > mostLimits;
        if (report.origin == m_self || old || tooMuch)
            continue;
        m_news.push_back(report);
        add(report, source, now);
    }
}

////////////////////////////////////////////////////////////
void ServerGossip::tick(core::Timestamp now)
{
    while (!m_entries.empty() && (now - m_entries.front().at > life || m_entries.size() > mostEntries))
    {
        m_entries.pop_front();
        ++m_begin;
    }
    if (!due(now))
        return;
    m_nextReport = now + span;
    m_nextUrgent = now + urgentSpan;
    m_nextSoon = now + gather;
    const auto   number = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    Seen         seen = std::exchange(m_seen, {});
    ServerReport report{
        m_self, static_cast<std::uint32_t>(number), std::move(seen.servers), {}, std::move(seen.served)};
    for (auto& [record, at] : seen.ends)
    {
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - at)));
        report.ends.push_back(record);
    }
    for (auto& [record, at] : seen.limits)
    {
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - at)));
        report.limits.push_back(record);
    }
    add(std::move(report), {}, now);
}

////////////////////////////////////////////////////////////
bool ServerGossip::due(core::Timestamp now) const
{
    const auto urgent = nextUrgent();
    return (urgent && now >= *urgent) || (!m_seen.servers.empty() && now >= m_nextReport);
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> ServerGossip::nextUrgent() const
{
    const bool pressed =
        std::any_of(m_seen.limits.begin(), m_seen.limits.end(), [](const auto& item) { return item.first.pressed(); });
    if (!m_seen.ends.empty() || !m_seen.served.empty() || pressed)
        return m_nextUrgent;
    return m_seen.limits.empty() ? std::nullopt : std::optional(m_nextSoon);
}

////////////////////////////////////////////////////////////
bool ServerGossip::urgentSince(std::uint64_t count) const
{
    for (std::uint64_t i = std::max(count, m_begin); i < end(); ++i)
    {
        if (m_entries[i - m_begin].report.urgent())
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
bool ServerGossip::soonSince(std::uint64_t count) const
{
    for (std::uint64_t i = std::max(count, m_begin); i < end(); ++i)
    {
        if (m_entries[i - m_begin].report.soon())
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
void ServerGossip::keep(const ServerReport& report, core::Timestamp now)
{
    std::erase_if(m_words, [now](const auto& item) { return now - item.second.at > wordLife; });
    for (const LimitRecord& record : report.limits)
    {
        const core::Timestamp at = now - std::chrono::milliseconds{record.agoMs};
        const auto            known = m_words.find(record.server);
        if (known != m_words.end() && at < known->second.at)
            continue;
        if (std::isinf(record.perSecond))
            m_words.erase(record.server);
        else if (known != m_words.end() || m_words.size() < mostWords)
            m_words[record.server] = {record, at};
    }
}

////////////////////////////////////////////////////////////
std::optional<ServerReport> ServerGossip::limitsInForce(core::Timestamp now) const
{
    if (m_words.empty())
        return std::nullopt;
    const auto   number = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    ServerReport report{m_self, static_cast<std::uint32_t>(number) - 1, {}, {}, {}, {}}; // Own ones go on after it
    for (const auto& [server, word] : m_words)
    {
        LimitRecord record = word.record;
        record.sent = 0;
        record.agoMs = static_cast<std::uint32_t>(std::max(0.0, core::toMilliseconds(now - word.at)));
        report.limits.push_back(record);
    }
    // Of many, those that are the least open: a node that starts may take the others for open.
    std::sort(report.limits.begin(), report.limits.end(),
              [](const auto& left, const auto& right) { return left.doublings < right.doublings; });
    if (report.limits.size() > mostLimits)
        report.limits.resize(mostLimits);
    return report;
}

////////////////////////////////////////////////////////////
void ServerGossip::add(ServerReport report, const NewsSource& source, core::Timestamp now)
{
    if (m_lastOf.size() >= mostOrigins)
        m_lastOf.clear();
    m_lastOf[report.origin] = report.number;
    keep(report, now);
    m_entries.push_back({std::move(report), source, now});
}

////////////////////////////////////////////////////////////
std::uint64_t ServerGossip::end() const
{
    return m_begin + m_entries.size();
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::forFollower(std::uint64_t count, std::uint64_t link) const
{
    std::vector<ServerReport> reports;
    for (std::uint64_t i = std::max(count, m_begin); i < end(); ++i)
    {
        if (m_entries[i - m_begin].source.link != link)
            reports.push_back(m_entries[i - m_begin].report);
    }
    return reports;
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::forRelay(std::uint64_t count) const
{
    std::vector<ServerReport> reports;
    for (std::uint64_t i = std::max(count, m_begin); i < end(); ++i)
    {
        if (!m_entries[i - m_begin].source.fromRelay)
            reports.push_back(m_entries[i - m_begin].report);
    }
    return reports;
}

////////////////////////////////////////////////////////////
std::vector<ServerReport> ServerGossip::takeNews()
{
    return std::exchange(m_news, {});
}

} // namespace sailpath::replication

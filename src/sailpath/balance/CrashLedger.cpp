#include <sailpath/balance/CrashLedger.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sailpath::balance
{
namespace
{
// While one of ten servers ends each second and a run takes 150 ms, an estimated 1.5% of the lost requests are lost twice
// by chance, and hardly any three times.
constexpr std::size_t serversToQuarantine = 3;
constexpr std::size_t serversToQuarantineWhenShared = 4; // While another request was at all of the same servers
constexpr auto        evidenceLifetime = std::chrono::minutes{10};
constexpr auto        quarantineDuration = std::chrono::minutes{10};
constexpr std::size_t maxRequests = 1024;        // Requests with evidence; 100 KB
constexpr std::size_t maxRequestsPerCaller = 16; // Of `maxRequests`
constexpr std::size_t maxQuarantines = 1024;     // Each stands for three servers that ended in the last ten minutes
constexpr std::size_t maxPresentServers = 64;    // Per request; the request explains no ends beyond these
constexpr auto        reportSpread = std::chrono::milliseconds{100}; // Difference in delay of reports of one moment
// By how much a request of another caller must have been sent after the last end to count.
constexpr auto        otherCallerMargin = std::chrono::milliseconds{300};
// Answers that arrive earlier were under way when the server ended.
constexpr auto        contradictionFrom = std::chrono::milliseconds{50};
constexpr auto        contradictionUntil = std::chrono::seconds{1}; // Later the server may have started again

} // namespace

////////////////////////////////////////////////////////////
bool CrashLedger::wasSentAfter(const EvidenceItem& last, const deployment::ServerCrash& end, core::Timestamp now)
{
    const core::Timestamp sentAt = now - end.ago - end.ran;
    if (end.request.caller != last.caller)
        return sentAt >= last.endedAt + otherCallerMargin;
    // A node knows the order of the ends it saw itself; reports of other nodes arrive with a varying delay.
    const bool sameNode = end.node == last.node;
    return sentAt + (sameNode ? core::Duration{} : core::Duration(reportSpread)) >= last.endedAt;
}

////////////////////////////////////////////////////////////
void CrashLedger::recordEnd(const deployment::ServerCrash& end, core::Timestamp now)
{
    const core::ContentHash& content = end.request.content;
    std::erase_if(m_reportedAt, [now](const auto& item) { return now - item.second > contradictionUntil; });
    m_reportedAt.emplace(end.server, now);
    recordPresence(end.server, content, now);
    if (isExplained(end.server, content))
        return;
    const auto known = m_quarantines.find(content);
    if (known != m_quarantines.end() && now < known->second.until)
    {
        widen(known->second, end.request.caller);
        m_explained[content].push_back({end.server, end.node, end.request.caller, now - end.ago});
        explainEnds(content, now);
        return;
    }
    if (!m_evidence.contains(content))
        makeRoomForEvidence(end.request.caller, now);
    Evidence& evidence = m_evidence[content];
    std::erase_if(evidence, [now](const EvidenceItem& item) { return now - item.endedAt > evidenceLifetime; });
    const bool counted = std::any_of(evidence.begin(), evidence.end(),
                                     [&](const EvidenceItem& item) { return item.server == end.server; });
    if (counted || (!evidence.empty() && !wasSentAfter(evidence.back(), end, now)))
        return;
    evidence.push_back({end.server, end.node, end.request.caller, now - end.ago});
    const std::size_t needed = sharesServers(content, evidence) ? serversToQuarantineWhenShared : serversToQuarantine;
    if (evidence.size() >= needed)
        beginQuarantine(content, now);
}

////////////////////////////////////////////////////////////
bool CrashLedger::isExplained(std::uint32_t server, const core::ContentHash& content) const
{
    return std::any_of(m_explained.begin(), m_explained.end(),
                       [&](const auto& item)
                       {
                           return item.first != content &&
                                  std::any_of(item.second.begin(), item.second.end(),
                                              [server](const EvidenceItem& own) { return own.server == server; });
                       });
}

////////////////////////////////////////////////////////////
bool CrashLedger::sharesServers(const core::ContentHash& content, const Evidence& evidence) const
{
    // The last server is left out: reports of other requests that were there may not have arrived yet.
    const auto wasAtAll = [&](const Evidence& other)
    {
        return std::all_of(evidence.begin(), std::prev(evidence.end()),
                           [&](const EvidenceItem& item)
                           {
                               return std::any_of(other.begin(), other.end(),
                                                  [&](const EvidenceItem& own) { return own.server == item.server; });
                           });
    };
    return std::any_of(m_evidence.begin(), m_evidence.end(),
                       [&](const auto& other) { return other.first != content && wasAtAll(other.second); });
}

////////////////////////////////////////////////////////////
void CrashLedger::beginQuarantine(const core::ContentHash& content, core::Timestamp now)
{
    const Evidence ends = std::move(m_evidence.at(content));
    m_evidence.erase(content);
    const std::uint32_t caller = ends.front().caller;
    const bool          oneCaller =
        std::all_of(ends.begin(), ends.end(), [caller](const EvidenceItem& item) { return item.caller == caller; });
    deployment::Quarantine quarantine;
    quarantine.content = content;
    quarantine.servers = ends.size();
    quarantine.since = now;
    quarantine.until = now + quarantineDuration;
    quarantine.source = ends.back().node == 0 ? "here" : "peers";
    if (oneCaller)
        quarantine.caller = caller;
    makeRoomForQuarantine(now);
    m_withdrawn.erase(content);
    m_quarantines[content] = quarantine;
    m_explained[content] = ends;
    m_changed.push_back(quarantine);
    explainEnds(content, now);
}

////////////////////////////////////////////////////////////
void CrashLedger::recordPresence(std::uint32_t server, const core::ContentHash& content, core::Timestamp now)
{
    if (m_present.size() >= maxRequests && !m_present.contains(content))
        m_present.erase(std::min_element(m_present.begin(), m_present.end(),
                                         [](const auto& left, const auto& right)
                                         { return left.second.lastEndAt < right.second.lastEndAt; }));
    Presence& present = m_present[content];
    present.lastEndAt = now;
    const bool known = std::find(present.servers.begin(), present.servers.end(), server) != present.servers.end();
    if (!known && present.servers.size() < maxPresentServers)
        present.servers.push_back(server);
}

////////////////////////////////////////////////////////////
void CrashLedger::explainEnds(const core::ContentHash& culprit, core::Timestamp now)
{
    // Of copies that were under way together only one end counts as evidence, but all their servers ended by them.
    // Without this, in 40 of 500 random orders of reports another request that was at three such servers was
    // quarantined too.
    Evidence& ends = m_explained[culprit];
    for (const std::uint32_t server : m_present[culprit].servers)
    {
        const bool listed =
            std::any_of(ends.begin(), ends.end(), [&](const EvidenceItem& item) { return item.server == server; });
        if (!listed)
            ends.push_back({server, 0, 0, now});
    }
    for (const EvidenceItem& item : ends)
        eraseEvidence(item.server, &culprit);
    std::vector<core::ContentHash> withdrawn;
    for (const auto& [content, quarantine] : m_quarantines)
    {
        if (content != culprit && restsOnEndsOf(content, ends))
            withdrawn.push_back(content);
    }
    for (const core::ContentHash& content : withdrawn)
        withdraw(content, now);
}

////////////////////////////////////////////////////////////
bool CrashLedger::restsOnEndsOf(const core::ContentHash& content, const Evidence& culprit) const
{
    const auto present = m_present.find(content);
    // This node did not see the ends that the quarantine rests on. The nodes that saw them withdraw it, also from the
    // store.
    if (present == m_present.end() || present->second.servers.size() < serversToQuarantine)
        return false;
    const auto& servers = present->second.servers;
    const auto  unexplained =
        std::count_if(servers.begin(), servers.end(),
                      [&](std::uint32_t server)
                      {
                          return std::none_of(culprit.begin(), culprit.end(),
                                              [server](const EvidenceItem& own) { return own.server == server; });
                      });
    // Of two requests that were at the same servers, the one under which more servers ended is the culprit.
    return static_cast<std::size_t>(unexplained) < serversToQuarantine && servers.size() < culprit.size();
}

////////////////////////////////////////////////////////////
void CrashLedger::withdraw(const core::ContentHash& content, core::Timestamp now)
{
    deployment::Quarantine withdrawn = m_quarantines.at(content);
    m_quarantines.erase(content);
    m_explained.erase(content);
    m_withdrawn[content] = now + evidenceLifetime;
    withdrawn.until = now;
    m_changed.push_back(std::move(withdrawn));
}

////////////////////////////////////////////////////////////
void CrashLedger::makeRoomForQuarantine(core::Timestamp now)
{
    eraseQuarantinesIf([now](const deployment::Quarantine& item) { return now >= item.until; });
    if (m_quarantines.size() < maxQuarantines)
        return;
    const auto first =
        std::min_element(m_quarantines.begin(), m_quarantines.end(),
                         [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
    m_explained.erase(first->first);
    m_quarantines.erase(first);
}

////////////////////////////////////////////////////////////
template <typename Condition>
void CrashLedger::eraseQuarantinesIf(Condition condition)
{
    std::erase_if(m_quarantines, [&](const auto& item) { return condition(item.second); });
    std::erase_if(m_explained, [this](const auto& item) { return !m_quarantines.contains(item.first); });
}

////////////////////////////////////////////////////////////
void CrashLedger::widen(deployment::Quarantine& known, std::uint32_t caller)
{
    ++known.servers;
    if (!known.caller || *known.caller == caller)
        return;
    known.caller.reset();
    known.stored = false;
    m_changed.push_back(known);
}

////////////////////////////////////////////////////////////
void CrashLedger::eraseEvidence(std::uint32_t server, const core::ContentHash* except)
{
    for (auto& [content, evidence] : m_evidence)
    {
        if (except == nullptr || content != *except)
            std::erase_if(evidence, [server](const EvidenceItem& item) { return item.server == server; });
    }
    std::erase_if(m_evidence, [](const auto& item) { return item.second.empty(); });
}

////////////////////////////////////////////////////////////
void CrashLedger::makeRoomForEvidence(std::uint32_t caller, core::Timestamp now)
{
    std::erase_if(m_evidence, [now](const auto& item) { return now - item.second.back().endedAt > evidenceLifetime; });
    std::size_t ofCaller = 0;
    auto        oldestOfCaller = m_evidence.end();
    auto        oldest = m_evidence.end();
    for (auto at = m_evidence.begin(); at != m_evidence.end(); ++at)
    {
        const EvidenceItem& last = at->second.back();
        if (oldest == m_evidence.end() || last.endedAt < oldest->second.back().endedAt)
            oldest = at;
        if (last.caller != caller)
            continue;
        ++ofCaller;
        if (oldestOfCaller == m_evidence.end() || last.endedAt < oldestOfCaller->second.back().endedAt)
            oldestOfCaller = at;
    }
    if (ofCaller >= maxRequestsPerCaller)
        m_evidence.erase(oldestOfCaller);
    else if (m_evidence.size() >= maxRequests)
        m_evidence.erase(oldest);
}

////////////////////////////////////////////////////////////
void CrashLedger::recordServed(const core::ContentHash& content)
{
    m_evidence.erase(content);
    m_present.erase(content);
}

////////////////////////////////////////////////////////////
void CrashLedger::recordContact(std::uint32_t server, core::Timestamp now)
{
    if (m_reportedAt.empty())
        return;
    const auto reported = m_reportedAt.find(server);
    if (reported == m_reportedAt.end() || now - reported->second < contradictionFrom)
        return;
    if (now - reported->second <= contradictionUntil)
    {
        eraseEvidence(server, nullptr);
        for (auto& [content, present] : m_present)
            std::erase(present.servers, server);
    }
    m_reportedAt.erase(reported);
}

////////////////////////////////////////////////////////////
void CrashLedger::applyStored(std::span<const deployment::Quarantine> stored, core::Timestamp now)
{
    const auto holds = [&](const core::ContentHash& content)
    {
        return std::any_of(stored.begin(), stored.end(),
                           [&](const deployment::Quarantine& item) { return item.content == content; });
    };
    eraseQuarantinesIf([&](const deployment::Quarantine& item)
                       { return now >= item.until || (item.stored && !holds(item.content)); });
    std::erase_if(m_withdrawn, [now](const auto& item) { return now >= item.second; });
    for (const deployment::Quarantine& item : stored)
    {
        if (m_withdrawn.contains(item.content))
            continue;
        deployment::Quarantine& known = m_quarantines[item.content];
        const bool              wider = known.servers > 0 && !known.caller && item.caller;
        if (wider)
            continue; // The local quarantine holds for all callers, the stored one for a single caller.
        known = item;
        m_evidence.erase(item.content);
    }
}

////////////////////////////////////////////////////////////
bool CrashLedger::empty() const
{
    return m_evidence.empty() && m_quarantines.empty();
}

////////////////////////////////////////////////////////////
std::size_t CrashLedger::countEnds(const core::ContentHash& content, core::Timestamp now) const
{
    const auto found = m_evidence.find(content);
    if (found == m_evidence.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [now](const EvidenceItem& item)
                                                  { return now - item.endedAt <= evidenceLifetime; }));
}

////////////////////////////////////////////////////////////
const deployment::Quarantine* CrashLedger::findQuarantine(const deployment::RequestIdentity& request,
                                                          core::Timestamp                    now) const
{
    const auto found = m_quarantines.find(request.content);
    if (found == m_quarantines.end() || now >= found->second.until)
        return nullptr;
    const deployment::Quarantine& quarantine = found->second;
    return !quarantine.caller || *quarantine.caller == request.caller ? &quarantine : nullptr;
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> CrashLedger::takeChanged()
{
    return std::exchange(m_changed, {});
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> CrashLedger::listInForce(core::Timestamp now) const
{
    std::vector<deployment::Quarantine> listed;
    for (const auto& [content, quarantine] : m_quarantines)
    {
        if (now < quarantine.until)
            listed.push_back(quarantine);
    }
    return listed;
}

} // namespace sailpath::balance

#include <sailpath/balance/CrashLedger.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sailpath::balance
{
namespace
{
// While one of ten servers ends each second, 1.5% of what is lost is lost twice by chance, at 150 ms a run (estimated);
// hardly anything three times.
constexpr std::size_t serversToConclude = 3;
constexpr std::size_t serversWhenShared = 4; // While another request was at all of the same servers
constexpr auto        evidenceLife = std::chrono::minutes{10};
constexpr auto        quarantineTime = std::chrono::minutes{10};
constexpr std::size_t mostRequests = 1024;    // With evidence: 100 KB
constexpr std::size_t mostOfCaller = 16;      // Of these, from one caller
constexpr std::size_t mostQuarantines = 1024; // Each stands for three servers that ended in the last ten minutes
constexpr std::size_t mostPresent = 64;       // Servers of one request; more ends explain no more
constexpr auto        newsSpread = std::chrono::milliseconds{100}; // By which news of the same moment come apart
constexpr auto        clearlyAfter = std::chrono::milliseconds{300};
constexpr auto        contradictedFrom = std::chrono::milliseconds{50}; // Answers that were on their way are no sign
constexpr auto        contradictedTo = std::chrono::seconds{1};         // Later the server may have started again

} // namespace

////////////////////////////////////////////////////////////
bool CrashLedger::follows(const Seen& last, const deployment::ServerCrash& end, core::Timestamp now)
{
    const core::Timestamp sentAt = now - end.ago - end.ran;
    if (end.request.caller != last.caller)
        return sentAt >= last.at + clearlyAfter;
    // A node knows the order of what it saw itself; what others tell comes with some delay.
    const bool sameNode = end.node == last.node;
    return sentAt + (sameNode ? core::Duration{} : core::Duration(newsSpread)) >= last.at;
}

////////////////////////////////////////////////////////////
void CrashLedger::ended(const deployment::ServerCrash& end, core::Timestamp now)
{
    const core::ContentHash& content = end.request.content;
    std::erase_if(m_endedAt, [now](const auto& item) { return now - item.second > contradictedTo; });
    m_endedAt.emplace(end.server, now);
    notePresent(end.server, content, now);
    if (explained(end.server, content))
        return;
    const auto known = m_quarantines.find(content);
    if (known != m_quarantines.end() && now < known->second.until)
    {
        widen(known->second, end.request.caller);
        m_endedUnder[content].push_back({end.server, end.node, end.request.caller, now - end.ago});
        explain(content, now);
        return;
    }
    if (!m_evidence.contains(content))
        makeRoom(end.request.caller, now);
    Evidence& evidence = m_evidence[content];
    std::erase_if(evidence, [now](const Seen& seen) { return now - seen.at > evidenceLife; });
    const bool counted =
        std::any_of(evidence.begin(), evidence.end(), [&](const Seen& seen) { return seen.server == end.server; });
    if (counted || (!evidence.empty() && !follows(evidence.back(), end, now)))
        return;
    evidence.push_back({end.server, end.node, end.request.caller, now - end.ago});
    const std::size_t needed = shared(content, evidence) ? serversWhenShared : serversToConclude;
    if (evidence.size() >= needed)
        conclude(content, now);
}

////////////////////////////////////////////////////////////
bool CrashLedger::explained(std::uint32_t server, const core::ContentHash& content) const
{
    return std::any_of(m_endedUnder.begin(), m_endedUnder.end(),
                       [&](const auto& item)
                       {
                           return item.first != content &&
                                  std::any_of(item.second.begin(), item.second.end(),
                                              [server](const Seen& seen) { return seen.server == server; });
                       });
}

////////////////////////////////////////////////////////////
bool CrashLedger::shared(const core::ContentHash& content, const Evidence& evidence) const
{
    // What else was at the server that ended last may not have been told yet.
    const auto wasAtAll = [&](const Evidence& other)
    {
        return std::all_of(evidence.begin(), std::prev(evidence.end()),
                           [&](const Seen& seen) {
                               return std::any_of(other.begin(), other.end(),
                                                  [&](const Seen& own) { return own.server == seen.server; });
                           });
    };
    return std::any_of(m_evidence.begin(), m_evidence.end(),
                       [&](const auto& other) { return other.first != content && wasAtAll(other.second); });
}

////////////////////////////////////////////////////////////
void CrashLedger::conclude(const core::ContentHash& content, core::Timestamp now)
{
    const Evidence ends = std::move(m_evidence.at(content));
    m_evidence.erase(content);
    const std::uint32_t caller = ends.front().caller;
    const bool          oneCaller =
        std::all_of(ends.begin(), ends.end(), [caller](const Seen& seen) { return seen.caller == caller; });
    deployment::Quarantine quarantine;
    quarantine.content = content;
    quarantine.servers = ends.size();
    quarantine.since = now;
    quarantine.until = now + quarantineTime;
    quarantine.source = ends.back().node == 0 ? "here" : "peers";
    if (oneCaller)
        quarantine.caller = caller;
    makeRoomForQuarantine(now);
    m_takenBack.erase(content);
    m_quarantines[content] = quarantine;
    m_endedUnder[content] = ends;
    m_concluded.push_back(quarantine);
    explain(content, now);
}

////////////////////////////////////////////////////////////
void CrashLedger::notePresent(std::uint32_t server, const core::ContentHash& content, core::Timestamp now)
{
    if (m_present.size() >= mostRequests && !m_present.contains(content))
        m_present.erase(std::min_element(m_present.begin(), m_present.end(),
                                         [](const auto& left, const auto& right)
                                         { return left.second.last < right.second.last; }));
    Presence& present = m_present[content];
    present.last = now;
    const bool known = std::find(present.servers.begin(), present.servers.end(), server) != present.servers.end();
    if (!known && present.servers.size() < mostPresent)
        present.servers.push_back(server);
}

////////////////////////////////////////////////////////////
void CrashLedger::explain(const core::ContentHash& culprit, core::Timestamp now)
{
    // Of copies that were under way together one end is counted, but all their servers ended by them: without this 40 of
    // 500 requests that were at three of such servers were quarantined too (drawn orders of news).
    Evidence& under = m_endedUnder[culprit];
    for (const std::uint32_t server : m_present[culprit].servers)
    {
        const bool listed =
            std::any_of(under.begin(), under.end(), [&](const Seen& seen) { return seen.server == server; });
        if (!listed)
            under.push_back({server, 0, 0, now});
    }
    for (const Seen& seen : under)
        forget(seen.server, &culprit);
    std::vector<core::ContentHash> wrong;
    for (const auto& [content, quarantine] : m_quarantines)
    {
        if (content != culprit && restsOnOthers(content, under))
            wrong.push_back(content);
    }
    for (const core::ContentHash& content : wrong)
        takeBack(content, now);
}

////////////////////////////////////////////////////////////
bool CrashLedger::restsOnOthers(const core::ContentHash& content, const Evidence& culprit) const
{
    const auto present = m_present.find(content);
    // What it rests on was not seen here: those who saw it take it back, in the store too.
    if (present == m_present.end() || present->second.servers.size() < serversToConclude)
        return false;
    const auto& servers = present->second.servers;
    const auto  left = std::count_if(servers.begin(), servers.end(),
                                     [&](std::uint32_t server) {
                                        return std::none_of(culprit.begin(), culprit.end(),
                                                             [server](const Seen& own) { return own.server == server; });
                                    });
    // Of two that were at the same servers the one is right under which more ended.
    return static_cast<std::size_t>(left) < serversToConclude && servers.size() < culprit.size();
}

////////////////////////////////////////////////////////////
void CrashLedger::takeBack(const core::ContentHash& content, core::Timestamp now)
{
    deployment::Quarantine wrong = m_quarantines.at(content);
    m_quarantines.erase(content);
    m_endedUnder.erase(content);
    m_takenBack[content] = now + evidenceLife;
    wrong.until = now;
    m_concluded.push_back(std::move(wrong));
}

////////////////////////////////////////////////////////////
void CrashLedger::makeRoomForQuarantine(core::Timestamp now)
{
    dropWhere([now](const deployment::Quarantine& item) { return now >= item.until; });
    if (m_quarantines.size() < mostQuarantines)
        return;
    const auto first =
        std::min_element(m_quarantines.begin(), m_quarantines.end(),
                         [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
    m_endedUnder.erase(first->first);
    m_quarantines.erase(first);
}

////////////////////////////////////////////////////////////
template <typename Condition>
void CrashLedger::dropWhere(Condition condition)
{
    std::erase_if(m_quarantines, [&](const auto& item) { return condition(item.second); });
    std::erase_if(m_endedUnder, [this](const auto& item) { return !m_quarantines.contains(item.first); });
}

////////////////////////////////////////////////////////////
void CrashLedger::widen(deployment::Quarantine& known, std::uint32_t caller)
{
    ++known.servers;
    if (!known.caller || *known.caller == caller)
        return;
    known.caller.reset();
    known.stored = false;
    m_concluded.push_back(known);
}

////////////////////////////////////////////////////////////
void CrashLedger::forget(std::uint32_t server, const core::ContentHash* but)
{
    for (auto& [content, evidence] : m_evidence)
    {
        if (but == nullptr || content != *but)
            std::erase_if(evidence, [server](const Seen& seen) { return seen.server == server; });
    }
    std::erase_if(m_evidence, [](const auto& item) { return item.second.empty(); });
}

////////////////////////////////////////////////////////////
void CrashLedger::makeRoom(std::uint32_t caller, core::Timestamp now)
{
    std::erase_if(m_evidence, [now](const auto& item) { return now - item.second.back().at > evidenceLife; });
    std::size_t ofCaller = 0;
    auto        oldestOfCaller = m_evidence.end();
    auto        oldest = m_evidence.end();
    for (auto at = m_evidence.begin(); at != m_evidence.end(); ++at)
    {
        const Seen& last = at->second.back();
        if (oldest == m_evidence.end() || last.at < oldest->second.back().at)
            oldest = at;
        if (last.caller != caller)
            continue;
        ++ofCaller;
        if (oldestOfCaller == m_evidence.end() || last.at < oldestOfCaller->second.back().at)
            oldestOfCaller = at;
    }
    if (ofCaller >= mostOfCaller)
        m_evidence.erase(oldestOfCaller);
    else if (m_evidence.size() >= mostRequests)
        m_evidence.erase(oldest);
}

////////////////////////////////////////////////////////////
void CrashLedger::served(const core::ContentHash& content)
{
    m_evidence.erase(content);
    m_present.erase(content);
}

////////////////////////////////////////////////////////////
void CrashLedger::answers(std::uint32_t server, core::Timestamp now)
{
    if (m_endedAt.empty())
        return;
    const auto told = m_endedAt.find(server);
    if (told == m_endedAt.end() || now - told->second < contradictedFrom)
        return;
    if (now - told->second <= contradictedTo)
    {
        forget(server, nullptr);
        for (auto& [content, present] : m_present)
            std::erase(present.servers, server);
    }
    m_endedAt.erase(told);
}

////////////////////////////////////////////////////////////
void CrashLedger::declare(std::span<const deployment::Quarantine> stored, core::Timestamp now)
{
    const auto holds = [&](const core::ContentHash& content)
    {
        return std::any_of(stored.begin(), stored.end(),
                           [&](const deployment::Quarantine& item) { return item.content == content; });
    };
    dropWhere([&](const deployment::Quarantine& item)
              { return now >= item.until || (item.stored && !holds(item.content)); });
    std::erase_if(m_takenBack, [now](const auto& item) { return now >= item.second; });
    for (const deployment::Quarantine& item : stored)
    {
        if (m_takenBack.contains(item.content))
            continue;
        deployment::Quarantine& known = m_quarantines[item.content];
        const bool              wider = known.servers > 0 && !known.caller && item.caller;
        if (wider)
            continue; // What was seen here goes further than what stands in the store.
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
std::size_t CrashLedger::suspicion(const core::ContentHash& content, core::Timestamp now) const
{
    const auto found = m_evidence.find(content);
    if (found == m_evidence.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [now](const Seen& seen) { return now - seen.at <= evidenceLife; }));
}

////////////////////////////////////////////////////////////
const deployment::Quarantine* CrashLedger::find(const deployment::RequestIdentity& request, core::Timestamp now) const
{
    const auto found = m_quarantines.find(request.content);
    if (found == m_quarantines.end() || now >= found->second.until)
        return nullptr;
    const deployment::Quarantine& quarantine = found->second;
    return !quarantine.caller || *quarantine.caller == request.caller ? &quarantine : nullptr;
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> CrashLedger::takeConcluded()
{
    return std::exchange(m_concluded, {});
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> CrashLedger::list(core::Timestamp now) const
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

#include <sailpath/node/Controller.hpp>

#include <sailpath/config/WorkspaceParser.hpp>
#include <sailpath/membership/Rendezvous.hpp>

#include <algorithm>

namespace sailpath::node
{
namespace
{
constexpr core::Duration   firstBackoff = std::chrono::milliseconds{200};
constexpr core::Duration   longestBackoff = std::chrono::seconds{10};
constexpr core::Duration   reportLife = std::chrono::seconds{3};
constexpr core::Duration   newsEvery = std::chrono::milliseconds{250};
constexpr unsigned         reportTold = 4; // Times that one VM tells a report
constexpr unsigned         callsBeforeSuspicion = 3;
constexpr std::string_view relayTask = "store-relay";

////////////////////////////////////////////////////////////
std::string reportKey(const ServerReport& report)
{
    return report.workspace + "/" + report.service + "/" + report.server;
}

} // namespace

////////////////////////////////////////////////////////////
Controller::Controller(ControllerSettings settings, core::Timestamp now) :
m_settings(std::move(settings)),
m_random(m_settings.seed),
m_members(m_settings.self, m_settings.membership),
m_prober(m_settings),
m_storeBackoff(firstBackoff, longestBackoff),
m_nextStore(now + jittered(m_settings.firstReadWithin)),
m_nextRound(now + jittered(m_settings.round)),
m_nextList(now)
{
}

////////////////////////////////////////////////////////////
void Controller::tick(core::Timestamp now, ControlActions& actions)
{
    m_members.tick(now);
    if (m_members.version() != m_seenMembers)
    {
        m_seenMembers = m_members.version();
        m_alive = m_members.aliveNames();
        m_chosenRelay = membership::isChosen(relayTask, m_members.self().name, m_alive, m_settings.relays);
        m_prober.membersChanged(m_alive);
    }
    driveStore(now, actions);
    if (!m_leaving)
        m_prober.tick(now, actions);

    // The list of VMs is for those that know nobody, and for relays to keep up with it.
    const bool lonely = m_alive.size() <= 1;
    if (now >= m_nextList && (m_relay || lonely))
    {
        m_nextList = now + jittered(lonely ? m_settings.listEvery / 10 : m_settings.listEvery);
        actions.emplace_back(ListMembers{});
    }
    if (now >= m_nextRound)
    {
        m_nextRound = now + m_settings.round / 2 + jittered(m_settings.round);
        if (const auto peer = m_members.nextPeer(m_random, now))
            exchangeWith(*peer, now, actions);
    }
    if (m_newsWaits && now >= m_nextNews)
    {
        m_newsWaits = false;
        m_nextNews = now + newsEvery;
        tellNews(now, actions);
    }
    std::erase_if(m_reports, [now](const auto& item) { return now - item.second.at > reportLife; });
}

////////////////////////////////////////////////////////////
Digest Controller::exchangeReceived(const Digest& digest, core::Timestamp now, ControlActions& actions)
{
    (void)hearDigest(digest, now, actions);
    return makeDigest(now);
}

////////////////////////////////////////////////////////////
void Controller::exchanged(const Digest& answer, core::Timestamp now, ControlActions& actions)
{
    if (hearDigest(answer, now, actions))
        exchangeWith(answer.from, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::exchangeFailed(std::string_view peer, core::Timestamp now, ControlActions& actions)
{
    // One lost call must not raise a suspicion that the whole fleet then has to hear and deny.
    unsigned&  unanswered = m_unanswered[std::string(peer)];
    const auto member = m_members.find(peer);
    if (++unanswered < callsBeforeSuspicion && member && member->status == membership::MemberStatus::Alive)
    {
        exchangeWith(*member, now, actions);
        return;
    }
    m_unanswered.erase(std::string(peer));
    m_members.recordUnreachable(peer, now);
}

////////////////////////////////////////////////////////////
state::DocumentBatch Controller::documentsSince(std::uint64_t revision) const
{
    return m_configuration.since(revision, m_settings.batchBytes);
}

////////////////////////////////////////////////////////////
void Controller::documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch,
                                   core::Timestamp now, ControlActions& actions)
{
    m_pulling = false;
    const bool news = takeDocuments(batch.documents, now, actions);
    if (news && batch.more)
    {
        m_pulling = true;
        actions.emplace_back(PullDocuments{peer.name, peer.address, m_configuration.revision()});
    }
    else if (news)
        tellNews(now, actions);
}

////////////////////////////////////////////////////////////
void Controller::pullFailed()
{
    m_pulling = false;
}

////////////////////////////////////////////////////////////
void Controller::storeRead(std::span<const state::Document> documents, std::uint64_t revision, core::Timestamp now,
                           ControlActions& actions)
{
    m_storeBackoff.reset();
    m_storeState = StoreState::Idle;
    if (takeDocuments(documents, now, actions))
        tellNews(now, actions);
    if (m_relay)
    {
        m_storeState = StoreState::Watching;
        actions.emplace_back(WatchStore{revision + 1});
    }
    else
        m_nextStore = now + m_settings.listEvery;
}

////////////////////////////////////////////////////////////
void Controller::storeChanged(std::span<const state::Document> documents, core::Timestamp now, ControlActions& actions)
{
    if (takeDocuments(documents, now, actions))
        tellNews(now, actions);
}

////////////////////////////////////////////////////////////
void Controller::storeFailed(core::Timestamp now)
{
    m_storeState = StoreState::Idle;
    m_nextStore = now + m_storeBackoff.next(m_random);
}

////////////////////////////////////////////////////////////
void Controller::membersListed(std::span<const membership::Member> members, core::Timestamp now)
{
    for (const membership::Member& member : members)
        m_members.addListed(member, now);
}

////////////////////////////////////////////////////////////
void Controller::leaseAnswered(const LeaseAnswer& answer, core::Timestamp now)
{
    m_prober.answered(answer, now);
}

////////////////////////////////////////////////////////////
void Controller::probed(const ServerReport& report, core::Timestamp now, ControlActions& actions)
{
    hearReport(report, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::serverLeaving(const ServerReport& report, core::Timestamp now, ControlActions& actions)
{
    hearReport(report, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::leave(core::Timestamp now, ControlActions& actions)
{
    m_leaving = true;
    m_members.leave(now);
    m_prober.release(now, actions);
    tellNews(now, actions);
}

////////////////////////////////////////////////////////////
std::uint64_t Controller::revision() const
{
    return m_configuration.revision();
}

////////////////////////////////////////////////////////////
const membership::MemberTable& Controller::members() const
{
    return m_members;
}

////////////////////////////////////////////////////////////
const Prober& Controller::prober() const
{
    return m_prober;
}

////////////////////////////////////////////////////////////
bool Controller::relay() const
{
    return m_relay;
}

////////////////////////////////////////////////////////////
Digest Controller::makeDigest(core::Timestamp now)
{
    Digest digest;
    digest.from = m_members.self();
    digest.revision = m_configuration.revision();
    digest.claims = m_members.claimsToSend(m_settings.mostClaims);
    for (const bool leaving : {true, false})
    {
        for (auto& item : m_reports)
            tellReport(item.second, leaving, now, digest);
    }
    return digest;
}

////////////////////////////////////////////////////////////
void Controller::tellReport(HeardReport& heard, bool leaving, core::Timestamp now, Digest& digest) const
{
    if (heard.report.draining != leaving || heard.told >= reportTold || digest.reports.size() >= m_settings.mostReports)
        return;
    ++heard.told;
    ServerReport report = heard.report;
    report.ageMs = static_cast<std::uint32_t>(core::toMilliseconds(now - heard.at));
    digest.reports.push_back(std::move(report));
}

////////////////////////////////////////////////////////////
bool Controller::hearDigest(const Digest& digest, core::Timestamp now, ControlActions& actions)
{
    const bool mustDeny = m_members.recordContact(digest.from, now);
    m_unanswered.erase(digest.from.name);
    m_members.merge(digest.claims, now);
    for (const ServerReport& report : digest.reports)
        hearReport(report, now - std::chrono::milliseconds{report.ageMs}, actions);
    if (digest.revision > m_configuration.revision() && !m_pulling)
    {
        m_pulling = true;
        actions.emplace_back(PullDocuments{digest.from.name, digest.from.address, m_configuration.revision()});
    }
    return mustDeny;
}

////////////////////////////////////////////////////////////
void Controller::hearReport(const ServerReport& report, core::Timestamp at, ControlActions& actions)
{
    HeardReport& heard = m_reports[reportKey(report)];
    if (heard.at >= at)
        return;
    // That a server leaves must be everywhere within seconds, so it is passed on at once.
    m_newsWaits = m_newsWaits || (report.draining && !heard.report.draining);
    heard = {report, at, 0};
    actions.emplace_back(HearReport{report});
}

////////////////////////////////////////////////////////////
bool Controller::takeDocuments(std::span<const state::Document> documents, core::Timestamp now, ControlActions& actions)
{
    bool news = false;
    for (const state::Document& document : documents)
    {
        if (!m_configuration.applyIfNewer(document))
            continue;
        news = true;
        putInForce(document, now, actions);
    }
    return news;
}

////////////////////////////////////////////////////////////
void Controller::putInForce(const state::Document& document, core::Timestamp now, ControlActions& actions)
{
    if (document.deleted)
    {
        m_prober.remove(document.workspace);
        actions.emplace_back(RemoveWorkspace{document.workspace, document.revision});
        return;
    }
    config::ParsedWorkspace parsed = config::parseWorkspace(document.text, document.workspace);
    if (parsed.workspace && parsed.workspace->name != document.workspace)
    {
        parsed.findings.add(document.workspace + ":/workspace", "names another workspace");
        parsed.workspace.reset();
    }
    if (!parsed.workspace)
    {
        actions.emplace_back(RejectedDocument{document.workspace, document.revision, std::move(parsed.findings)});
        return;
    }
    m_prober.configure(*parsed.workspace, now);
    actions.emplace_back(ApplyWorkspace{std::move(*parsed.workspace), document.revision});
}

////////////////////////////////////////////////////////////
void Controller::tellNews(core::Timestamp now, ControlActions& actions)
{
    for (const membership::Member& peer : m_members.randomPeers(m_settings.fanout, m_random))
        exchangeWith(peer, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::driveStore(core::Timestamp now, ControlActions& actions)
{
    const bool chosen = !m_leaving && m_chosenRelay;
    if (m_relay && !chosen && m_storeState == StoreState::Watching)
    {
        m_storeState = StoreState::Idle;
        actions.emplace_back(StopWatch{});
    }
    m_relay = chosen;
    // Without a configuration a VM asks the store once, and again only if it has no peers to ask.
    const bool newcomer = m_configuration.revision() == 0 && (!m_askedStore || m_alive.size() <= 1);
    if ((m_relay || newcomer) && m_storeState == StoreState::Idle && now >= m_nextStore && !m_pulling)
    {
        m_storeState = StoreState::Reading;
        m_askedStore = true;
        actions.emplace_back(ReadStore{});
    }
}

////////////////////////////////////////////////////////////
void Controller::exchangeWith(const membership::Member& peer, core::Timestamp now, ControlActions& actions)
{
    actions.emplace_back(ExchangeWith{peer.name, peer.address, makeDigest(now)});
}

////////////////////////////////////////////////////////////
core::Duration Controller::jittered(core::Duration duration)
{
    return core::Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * m_random.unit())};
}

} // namespace sailpath::node

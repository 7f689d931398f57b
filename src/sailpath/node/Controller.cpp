#include <sailpath/node/Controller.hpp>

#include <sailpath/config/WorkspaceParser.hpp>
#include <sailpath/membership/Rendezvous.hpp>

#include <algorithm>

namespace sailpath::node
{
namespace
{
constexpr core::Duration   initialBackoff = std::chrono::milliseconds{200};
constexpr core::Duration   maxBackoff = std::chrono::seconds{10};
constexpr core::Duration   reportLifetime = std::chrono::seconds{3};
constexpr core::Duration   drainingNoticeInterval = std::chrono::milliseconds{250};
constexpr unsigned         maxReportSends = 4; // Digests in which a VM repeats a report
constexpr unsigned         failuresBeforeSuspicion = 3;
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
m_storeBackoff(initialBackoff, maxBackoff),
m_nextStoreRead(now + jittered(m_settings.initialReadSpread)),
m_nextExchange(now + jittered(m_settings.exchangeInterval)),
m_nextMemberList(now)
{
}

////////////////////////////////////////////////////////////
void Controller::tick(core::Timestamp now, ControlActions& actions)
{
    m_members.tick(now);
    if (m_members.version() != m_memberVersion)
    {
        m_memberVersion = m_members.version();
        m_alive = m_members.aliveNames();
        m_relayWanted = membership::isChosen(relayTask, m_members.self().name, m_alive, m_settings.relays);
        m_prober.membersChanged(m_alive);
    }
    updateStoreAccess(now, actions);
    if (!m_leaving)
        m_prober.tick(now, actions);

    // The platform's list is read by VMs without peers, and by relays to find new VMs.
    const bool isolated = m_alive.size() <= 1;
    if (now >= m_nextMemberList && (m_relay || isolated))
    {
        m_nextMemberList = now + jittered(isolated ? m_settings.listInterval / 10 : m_settings.listInterval);
        actions.emplace_back(ListMembers{});
    }
    if (now >= m_nextExchange)
    {
        m_nextExchange = now + m_settings.exchangeInterval / 2 + jittered(m_settings.exchangeInterval);
        if (const auto peer = m_members.nextPeer(m_random, now))
            exchangeWith(*peer, now, actions);
    }
    if (m_drainingNoticePending && now >= m_nextDrainingNotice)
    {
        m_drainingNoticePending = false;
        m_nextDrainingNotice = now + drainingNoticeInterval;
        notifyPeers(now, actions);
    }
    std::erase_if(m_reports, [now](const auto& item) { return now - item.second.at > reportLifetime; });
}

////////////////////////////////////////////////////////////
Digest Controller::exchangeReceived(const Digest& digest, core::Timestamp now, ControlActions& actions)
{
    (void)applyDigest(digest, now, actions);
    return makeDigest(now);
}

////////////////////////////////////////////////////////////
void Controller::exchanged(const Digest& answer, core::Timestamp now, ControlActions& actions)
{
    if (applyDigest(answer, now, actions))
        exchangeWith(answer.from, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::exchangeFailed(std::string_view peer, core::Timestamp now, ControlActions& actions)
{
    // A single lost call must not cause a suspicion, which would spread through the fleet until refuted.
    unsigned&  failures = m_failedExchanges[std::string(peer)];
    const auto member = m_members.find(peer);
    if (++failures < failuresBeforeSuspicion && member && member->status == membership::MemberStatus::Alive)
    {
        exchangeWith(*member, now, actions);
        return;
    }
    m_failedExchanges.erase(std::string(peer));
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
    const bool changed = applyDocuments(batch.documents, now, actions);
    if (changed && batch.more)
    {
        m_pulling = true;
        actions.emplace_back(PullDocuments{peer.name, peer.address, m_configuration.revision()});
    }
    else if (changed)
        notifyPeers(now, actions);
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
    if (applyDocuments(documents, now, actions))
        notifyPeers(now, actions);
    if (m_relay)
    {
        m_storeState = StoreState::Watching;
        actions.emplace_back(WatchStore{revision + 1});
    }
    else
        m_nextStoreRead = now + m_settings.listInterval;
}

////////////////////////////////////////////////////////////
void Controller::storeChanged(std::span<const state::Document> documents, core::Timestamp now, ControlActions& actions)
{
    if (applyDocuments(documents, now, actions))
        notifyPeers(now, actions);
}

////////////////////////////////////////////////////////////
void Controller::storeFailed(core::Timestamp now)
{
    m_storeState = StoreState::Idle;
    m_nextStoreRead = now + m_storeBackoff.next(m_random);
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
    m_prober.leaseAnswered(answer, now);
}

////////////////////////////////////////////////////////////
void Controller::probed(const ServerReport& report, core::Timestamp now, ControlActions& actions)
{
    applyReport(report, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::serverDraining(const ServerReport& report, core::Timestamp now, ControlActions& actions)
{
    applyReport(report, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::leave(core::Timestamp now, ControlActions& actions)
{
    m_leaving = true;
    m_members.leave(now);
    m_prober.release(now, actions);
    notifyPeers(now, actions);
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
bool Controller::isRelay() const
{
    return m_relay;
}

////////////////////////////////////////////////////////////
Digest Controller::makeDigest(core::Timestamp now)
{
    Digest digest;
    digest.from = m_members.self();
    digest.revision = m_configuration.revision();
    digest.claims = m_members.claimsToSend(m_settings.maxClaims);
    for (const bool draining : {true, false})
    {
        for (auto& item : m_reports)
            appendReport(item.second, draining, now, digest);
    }
    return digest;
}

////////////////////////////////////////////////////////////
void Controller::appendReport(ReceivedReport& received, bool draining, core::Timestamp now, Digest& digest) const
{
    if (received.report.draining != draining || received.timesSent >= maxReportSends ||
        digest.reports.size() >= m_settings.maxReports)
        return;
    ++received.timesSent;
    ServerReport report = received.report;
    report.ageMs = static_cast<std::uint32_t>(core::toMilliseconds(now - received.at));
    digest.reports.push_back(std::move(report));
}

////////////////////////////////////////////////////////////
bool Controller::applyDigest(const Digest& digest, core::Timestamp now, ControlActions& actions)
{
    const bool mustRefute = m_members.recordContact(digest.from, now);
    m_failedExchanges.erase(digest.from.name);
    m_members.merge(digest.claims, now);
    for (const ServerReport& report : digest.reports)
        applyReport(report, now - std::chrono::milliseconds{report.ageMs}, actions);
    if (digest.revision > m_configuration.revision() && !m_pulling)
    {
        m_pulling = true;
        actions.emplace_back(PullDocuments{digest.from.name, digest.from.address, m_configuration.revision()});
    }
    return mustRefute;
}

////////////////////////////////////////////////////////////
void Controller::applyReport(const ServerReport& report, core::Timestamp at, ControlActions& actions)
{
    ReceivedReport& received = m_reports[reportKey(report)];
    if (received.at >= at)
        return;
    // Every node must know within seconds that a server is draining, so peers are notified at once.
    m_drainingNoticePending = m_drainingNoticePending || (report.draining && !received.report.draining);
    received = {report, at, 0};
    actions.emplace_back(ApplyServerReport{report});
}

////////////////////////////////////////////////////////////
bool Controller::applyDocuments(std::span<const state::Document> documents, core::Timestamp now,
                                ControlActions& actions)
{
    bool changed = false;
    for (const state::Document& document : documents)
    {
        if (!m_configuration.applyIfNewer(document))
            continue;
        changed = true;
        applyDocument(document, now, actions);
    }
    return changed;
}

////////////////////////////////////////////////////////////
void Controller::applyDocument(const state::Document& document, core::Timestamp now, ControlActions& actions)
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
void Controller::notifyPeers(core::Timestamp now, ControlActions& actions)
{
    for (const membership::Member& peer : m_members.randomPeers(m_settings.fanout, m_random))
        exchangeWith(peer, now, actions);
}

////////////////////////////////////////////////////////////
void Controller::updateStoreAccess(core::Timestamp now, ControlActions& actions)
{
    const bool relayWanted = !m_leaving && m_relayWanted;
    if (m_relay && !relayWanted && m_storeState == StoreState::Watching)
    {
        m_storeState = StoreState::Idle;
        actions.emplace_back(StopWatch{});
    }
    m_relay = relayWanted;
    // A VM without a configuration reads the store once, and again only while there are no peers to ask.
    const bool unconfigured = m_configuration.revision() == 0 && (!m_storeRequested || m_alive.size() <= 1);
    if ((m_relay || unconfigured) && m_storeState == StoreState::Idle && now >= m_nextStoreRead && !m_pulling)
    {
        m_storeState = StoreState::Reading;
        m_storeRequested = true;
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

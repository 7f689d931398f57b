#include "ControlGroup.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sailpath::support
{
namespace
{
constexpr core::Duration tickInterval = std::chrono::milliseconds{50};
constexpr core::Duration answerTimeout = std::chrono::seconds{2};

////////////////////////////////////////////////////////////
std::string nameOf(unsigned node)
{
    return "vm-" + std::to_string(node);
}

} // namespace

////////////////////////////////////////////////////////////
ControlGroup::ControlGroup(GroupSettings settings) :
m_settings(settings),
m_random(settings.seed),
m_nodes(settings.nodes),
m_vmList(settings.nodes)
{
    std::iota(m_vmList.begin(), m_vmList.end(), 0U);
    for (unsigned i = 0; i < m_nodes.size(); ++i)
        start(i);
}

////////////////////////////////////////////////////////////
void ControlGroup::run(core::Duration length)
{
    const core::Timestamp end = m_events.now() + length;
    bool                  over = false;
    m_events.at(end, [&over] { over = true; });
    while (!over && m_events.runNext())
    {
    }
}

////////////////////////////////////////////////////////////
bool ControlGroup::runUntil(const std::function<bool()>& done, core::Duration longest)
{
    const core::Timestamp end = m_events.now() + longest;
    while (!done())
    {
        if (m_events.now() >= end)
            return false;
        run(std::chrono::milliseconds{10});
    }
    return true;
}

////////////////////////////////////////////////////////////
std::uint64_t ControlGroup::put(const std::string& workspace, const std::string& text)
{
    m_documents[workspace] = {workspace, text, ++m_revision, false};
    notifyWatchers(m_documents[workspace]);
    return m_revision;
}

////////////////////////////////////////////////////////////
std::uint64_t ControlGroup::remove(const std::string& workspace)
{
    m_documents[workspace] = {workspace, "", ++m_revision, true};
    notifyWatchers(m_documents[workspace]);
    return m_revision;
}

////////////////////////////////////////////////////////////
void ControlGroup::restoreStore(std::uint64_t revision)
{
    m_revision = revision;
    for (auto& item : m_documents)
        item.second.revision = std::min(item.second.revision, revision);
    for (Node& node : m_nodes)
        node.watch = 0;
}

////////////////////////////////////////////////////////////
void ControlGroup::serverDraining(unsigned node)
{
    deliver(node, core::Duration{0},
            [this](node::Controller& controller, node::ControlActions& actions) {
                controller.serverDraining({"admissa", "portal", "p1", {}, true, 0}, m_events.now(), actions);
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::setOutage(bool outage)
{
    m_outage = outage;
    if (!outage)
        return;
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        if (std::exchange(m_nodes[i].watch, 0) == 0)
            continue;
        deliver(i, m_settings.storeLatency,
                [this](node::Controller& controller, node::ControlActions&)
                { controller.storeFailed(m_events.now()); });
    }
}

////////////////////////////////////////////////////////////
void ControlGroup::setVmList(std::vector<unsigned> nodes)
{
    m_vmList = std::move(nodes);
}

////////////////////////////////////////////////////////////
void ControlGroup::stop(unsigned node)
{
    m_nodes[node].controller.reset();
    m_nodes[node].watch = 0;
    m_nodes[node].appliedRevisions.clear();
    m_nodes[node].queued.clear();
}

////////////////////////////////////////////////////////////
void ControlGroup::start(unsigned node)
{
    Node&                    started = m_nodes[node];
    node::ControllerSettings settings;
    settings.self.name = nameOf(node);
    settings.self.address = std::to_string(node);
    settings.self.dataCentre = std::to_string(node % m_settings.dataCentres);
    settings.self.incarnation = static_cast<std::uint64_t>(m_events.now().time_since_epoch().count() / 1000 + 1);
    settings.probeGroups = m_settings.probeGroups;
    settings.seed = m_settings.seed * 10'000 + node * 100UL + started.life;
    started.controller = std::make_unique<node::Controller>(settings, m_events.now());
    started.frozen = false;
    started.appliedRevisions.clear();
    ++started.life;
    // A random phase keeps the nodes from ticking at the same time.
    const core::Duration phase{
        static_cast<std::int64_t>(m_random.below(static_cast<std::size_t>(tickInterval.count())))};
    m_events.after(phase, [this, node, life = started.life] { tick(node, life); });
}

////////////////////////////////////////////////////////////
void ControlGroup::freeze(unsigned node)
{
    m_nodes[node].frozen = true;
}

////////////////////////////////////////////////////////////
void ControlGroup::thaw(unsigned node)
{
    m_nodes[node].frozen = false;
    const auto queued = std::exchange(m_nodes[node].queued, {});
    for (const auto& call : queued)
        call();
}

////////////////////////////////////////////////////////////
void ControlGroup::isolateDataCentre(unsigned dataCentre, bool isolated)
{
    m_isolated[dataCentre] = isolated;
}

////////////////////////////////////////////////////////////
bool ControlGroup::appliedEverywhere(const std::string& workspace, std::uint64_t revision) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const Node& node)
                       {
                           if (!node.controller)
                               return true;
                           const auto found = node.appliedRevisions.find(workspace);
                           return found != node.appliedRevisions.end() && found->second >= revision;
                       });
}

////////////////////////////////////////////////////////////
bool ControlGroup::allAlive(unsigned node) const
{
    const auto names = m_nodes[node].controller->members().aliveNames();
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        const bool listed = std::find(names.begin(), names.end(), nameOf(i)) != names.end();
        if (m_nodes[i].controller && !listed)
            return false;
    }
    return true;
}

////////////////////////////////////////////////////////////
bool ControlGroup::seesStatus(unsigned node, unsigned other, membership::MemberStatus status) const
{
    const auto members = m_nodes[node].controller->members().all();
    return std::any_of(members.begin(), members.end(),
                       [&](const membership::Member& member)
                       { return member.name == nameOf(other) && member.status == status; });
}

////////////////////////////////////////////////////////////
unsigned ControlGroup::relays() const
{
    return static_cast<unsigned>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.watch != 0; }));
}

////////////////////////////////////////////////////////////
core::Timestamp ControlGroup::now() const
{
    return m_events.now();
}

////////////////////////////////////////////////////////////
void ControlGroup::deliver(unsigned node, core::Duration delay,
                           std::function<void(node::Controller&, node::ControlActions&)> call)
{
    m_events.after(delay,
                   [this, node, life = m_nodes[node].life, call = std::move(call)]
                   {
                       const auto now = [this, node, life, call]
                       {
                           Node& target = m_nodes[node];
                           if (!target.controller || target.life != life)
                               return;
                           node::ControlActions actions;
                           call(*target.controller, actions);
                           perform(node, actions);
                       };
                       if (m_nodes[node].frozen)
                           m_nodes[node].queued.push_back(now);
                       else
                           now();
                   });
}

////////////////////////////////////////////////////////////
void ControlGroup::perform(unsigned node, node::ControlActions& actions)
{
    for (const node::ControlAction& action : actions)
        std::visit([this, node](const auto& item) { handle(node, item); }, action);
}

////////////////////////////////////////////////////////////
void ControlGroup::tick(unsigned node, unsigned life)
{
    Node& target = m_nodes[node];
    if (!target.controller || target.life != life)
        return;
    if (!target.frozen)
    {
        node::ControlActions actions;
        target.controller->tick(m_events.now(), actions);
        perform(node, actions);
    }
    m_events.after(tickInterval, [this, node, life] { tick(node, life); });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::ExchangeWith& action)
{
    ++exchanges;
    const unsigned peer = indexOf(action.address);
    if (digestSize)
        peerBytes += digestSize(action.digest);
    if (!reachable(node, peer))
    {
        deliver(node, answerTimeout,
                [this, name = action.peer](node::Controller& controller, node::ControlActions& actions)
                { controller.exchangeFailed(name, m_events.now(), actions); });
        return;
    }
    deliver(peer, m_settings.peerDelay,
            [this, node, digest = action.digest](node::Controller& controller, node::ControlActions& actions)
            {
                node::Digest answer = controller.exchangeReceived(digest, m_events.now(), actions);
                if (digestSize)
                    peerBytes += digestSize(answer);
                deliver(node, m_settings.peerDelay,
                        [this, answer](node::Controller& requester, node::ControlActions& nextActions)
                        { requester.exchanged(answer, m_events.now(), nextActions); });
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::PullDocuments& action)
{
    const unsigned peer = indexOf(action.address);
    if (!reachable(node, peer))
    {
        deliver(node, answerTimeout,
                [](node::Controller& controller, node::ControlActions&) { controller.pullFailed(); });
        return;
    }
    deliver(peer, m_settings.peerDelay,
            [this, node, revision = action.revision](node::Controller& controller, node::ControlActions&)
            {
                deliver(node, m_settings.peerDelay,
                        [this, from = controller.members().self(), batch = controller.documentsSince(revision)](
                            node::Controller& requester, node::ControlActions& actions)
                        { requester.documentsReceived(from, batch, m_events.now(), actions); });
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::ReadStore&)
{
    ++storeCalls;
    ++storeReads;
    deliver(node, m_settings.storeLatency,
            [this](node::Controller& controller, node::ControlActions& actions)
            {
                if (m_outage)
                {
                    controller.storeFailed(m_events.now());
                    return;
                }
                std::vector<state::Document> all;
                for (const auto& item : m_documents)
                    all.push_back(item.second);
                controller.storeRead(all, m_revision, m_events.now(), actions);
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::WatchStore& action)
{
    ++storeCalls;
    if (m_outage)
    {
        deliver(node, m_settings.storeLatency,
                [this](node::Controller& controller, node::ControlActions&)
                { controller.storeFailed(m_events.now()); });
        return;
    }
    m_nodes[node].watch = m_nextWatch++;
    // The watch first reports changes made between the read and the start of the watch.
    for (const auto& item : m_documents)
    {
        if (item.second.revision < action.revision)
            continue;
        deliver(node, m_settings.storeLatency,
                [this, document = item.second](node::Controller& controller, node::ControlActions& actions) {
                    controller.storeChanged({&document, 1}, m_events.now(), actions);
                });
    }
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::StopWatch&)
{
    m_nodes[node].watch = 0;
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::ListMembers&)
{
    ++storeCalls;
    if (m_outage)
        return;
    std::vector<membership::Member> members;
    for (const unsigned listed : m_vmList)
        members.push_back({nameOf(listed), std::to_string(listed), std::to_string(listed % m_settings.dataCentres), 0,
                           membership::MemberStatus::Alive});
    deliver(node, m_settings.storeLatency,
            [this, members](node::Controller& controller, node::ControlActions&)
            { controller.membersListed(members, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::AcquireLease& action)
{
    storeCalls += 2;
    node::LeaseAnswer answer;
    answer.group = action.group;
    answer.sentAt = m_events.now();
    answer.length = node::ControllerSettings{}.leaseLength;
    if (!m_outage)
    {
        expireLeases();
        answer.lease = m_leases.contains(action.lease) ? action.lease : m_nextLease++;
        m_leases[answer.lease].expiresAt = m_events.now() + answer.length;
        const bool taken = m_groupKeys.contains(action.group);
        answer.result = taken ? node::LeaseResult::HeldByOther : node::LeaseResult::Held;
        if (!taken)
            m_groupKeys[action.group] = answer.lease;
    }
    deliver(node, m_settings.storeLatency,
            [this, answer](node::Controller& controller, node::ControlActions&)
            { controller.leaseAnswered(answer, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::RenewLease& action)
{
    ++storeCalls;
    node::LeaseAnswer answer;
    answer.renewal = true;
    answer.sentAt = m_events.now();
    answer.length = node::ControllerSettings{}.leaseLength;
    answer.lease = action.lease;
    if (!m_outage)
    {
        expireLeases();
        const bool known = m_leases.contains(action.lease);
        answer.result = known ? node::LeaseResult::Held : node::LeaseResult::Gone;
        if (known)
            m_leases[action.lease].expiresAt = m_events.now() + answer.length;
    }
    deliver(node, m_settings.storeLatency,
            [this, answer](node::Controller& controller, node::ControlActions&)
            { controller.leaseAnswered(answer, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned, const node::ReleaseLease& action)
{
    ++storeCalls;
    if (m_outage)
        return;
    m_leases.erase(action.lease);
    expireLeases();
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::SendProbe& action)
{
    probes.push_back({m_events.now(), node, action.target->workspace, core::toMilliseconds(action.target->probeCost)});
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::ApplyWorkspace& action)
{
    history.push_back({m_events.now(), node, action.workspace.name, action.revision, m_nodes[node].life});
    m_nodes[node].appliedRevisions[action.workspace.name] = action.revision;
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::RemoveWorkspace& action)
{
    history.push_back({m_events.now(), node, action.workspace, action.revision, m_nodes[node].life});
    m_nodes[node].appliedRevisions[action.workspace] = action.revision;
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned, const node::RejectedDocument&)
{
}

////////////////////////////////////////////////////////////
void ControlGroup::handle(unsigned node, const node::ApplyServerReport& action)
{
    if (action.report.draining)
        drainingReportedAt.try_emplace(node, m_events.now());
}

////////////////////////////////////////////////////////////
void ControlGroup::notifyWatchers(const state::Document& document)
{
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        if (m_nodes[i].watch == 0 || m_outage)
            continue;
        deliver(i, m_settings.storeLatency,
                [this, document](node::Controller& controller, node::ControlActions& actions) {
                    controller.storeChanged({&document, 1}, m_events.now(), actions);
                });
    }
}

////////////////////////////////////////////////////////////
void ControlGroup::expireLeases()
{
    std::erase_if(m_leases, [this](const auto& item) { return item.second.expiresAt <= m_events.now(); });
    std::erase_if(m_groupKeys, [this](const auto& item) { return !m_leases.contains(item.second); });
}

////////////////////////////////////////////////////////////
bool ControlGroup::reachable(unsigned from, unsigned to)
{
    if (!m_nodes[to].controller || m_random.unit() < m_settings.loss)
        return false;
    const unsigned fromCentre = from % m_settings.dataCentres;
    const unsigned toCentre = to % m_settings.dataCentres;
    return fromCentre == toCentre || (!m_isolated[fromCentre] && !m_isolated[toCentre]);
}

////////////////////////////////////////////////////////////
unsigned ControlGroup::indexOf(const std::string& address) const
{
    return static_cast<unsigned>(std::stoul(address));
}

} // namespace sailpath::support

#include "ControlGroup.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sailpath::support
{
namespace
{
constexpr core::Duration tickEvery = std::chrono::milliseconds{50};
constexpr core::Duration answerTime = std::chrono::seconds{2};

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
    pushChange(m_documents[workspace]);
    return m_revision;
}

////////////////////////////////////////////////////////////
std::uint64_t ControlGroup::remove(const std::string& workspace)
{
    m_documents[workspace] = {workspace, "", ++m_revision, true};
    pushChange(m_documents[workspace]);
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
void ControlGroup::serverLeaving(unsigned node)
{
    deliver(node, core::Duration{0},
            [this](node::Controller& controller, node::ControlActions& actions) {
                controller.serverLeaving({"admissa", "portal", "p1", {}, true, 0}, m_events.now(), actions);
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
        deliver(i, m_settings.storeTime,
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
    m_nodes[node].inForce.clear();
    m_nodes[node].waiting.clear();
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
    started.inForce.clear();
    ++started.life;
    // Nodes do not tick in step.
    const core::Duration phase{static_cast<std::int64_t>(m_random.below(static_cast<std::size_t>(tickEvery.count())))};
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
    const auto waiting = std::exchange(m_nodes[node].waiting, {});
    for (const auto& work : waiting)
        work();
}

////////////////////////////////////////////////////////////
void ControlGroup::isolateDataCentre(unsigned dataCentre, bool cut)
{
    m_cut[dataCentre] = cut;
}

////////////////////////////////////////////////////////////
bool ControlGroup::appliedEverywhere(const std::string& workspace, std::uint64_t revision) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const Node& node)
                       {
                           if (!node.controller)
                               return true;
                           const auto found = node.inForce.find(workspace);
                           return found != node.inForce.end() && found->second >= revision;
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
                           std::function<void(node::Controller&, node::ControlActions&)> work)
{
    m_events.after(delay,
                   [this, node, life = m_nodes[node].life, work = std::move(work)]
                   {
                       const auto now = [this, node, life, work]
                       {
                           Node& target = m_nodes[node];
                           if (!target.controller || target.life != life)
                               return;
                           node::ControlActions actions;
                           work(*target.controller, actions);
                           perform(node, actions);
                       };
                       if (m_nodes[node].frozen)
                           m_nodes[node].waiting.push_back(now);
                       else
                           now();
                   });
}

////////////////////////////////////////////////////////////
void ControlGroup::perform(unsigned node, node::ControlActions& actions)
{
    for (const node::ControlAction& action : actions)
        std::visit([this, node](const auto& item) { act(node, item); }, action);
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
    m_events.after(tickEvery, [this, node, life] { tick(node, life); });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::ExchangeWith& action)
{
    ++exchanges;
    const unsigned peer = indexOf(action.address);
    if (digestSize)
        peerBytes += digestSize(action.digest);
    if (!reachable(node, peer))
    {
        deliver(node, answerTime,
                [this, name = action.peer](node::Controller& controller, node::ControlActions& actions)
                { controller.exchangeFailed(name, m_events.now(), actions); });
        return;
    }
    deliver(peer, m_settings.oneWay,
            [this, node, digest = action.digest](node::Controller& controller, node::ControlActions& actions)
            {
                node::Digest answer = controller.exchangeReceived(digest, m_events.now(), actions);
                if (digestSize)
                    peerBytes += digestSize(answer);
                deliver(node, m_settings.oneWay,
                        [this, answer](node::Controller& asker, node::ControlActions& more)
                        { asker.exchanged(answer, m_events.now(), more); });
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::PullDocuments& action)
{
    const unsigned peer = indexOf(action.address);
    if (!reachable(node, peer))
    {
        deliver(node, answerTime, [](node::Controller& controller, node::ControlActions&) { controller.pullFailed(); });
        return;
    }
    deliver(peer, m_settings.oneWay,
            [this, node, revision = action.revision](node::Controller& controller, node::ControlActions&)
            {
                deliver(node, m_settings.oneWay,
                        [this, from = controller.members().self(), batch = controller.documentsSince(revision)](
                            node::Controller& asker, node::ControlActions& actions)
                        { asker.documentsReceived(from, batch, m_events.now(), actions); });
            });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::ReadStore&)
{
    ++storeCalls;
    ++storeReads;
    deliver(node, m_settings.storeTime,
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
void ControlGroup::act(unsigned node, const node::WatchStore& action)
{
    ++storeCalls;
    if (m_outage)
    {
        deliver(node, m_settings.storeTime,
                [this](node::Controller& controller, node::ControlActions&)
                { controller.storeFailed(m_events.now()); });
        return;
    }
    m_nodes[node].watch = m_nextWatch++;
    // What changed between the read and the watch comes first.
    for (const auto& item : m_documents)
    {
        if (item.second.revision < action.revision)
            continue;
        deliver(node, m_settings.storeTime,
                [this, document = item.second](node::Controller& controller, node::ControlActions& actions) {
                    controller.storeChanged({&document, 1}, m_events.now(), actions);
                });
    }
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::StopWatch&)
{
    m_nodes[node].watch = 0;
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::ListMembers&)
{
    ++storeCalls;
    if (m_outage)
        return;
    std::vector<membership::Member> members;
    for (const unsigned listed : m_vmList)
        members.push_back({nameOf(listed), std::to_string(listed), std::to_string(listed % m_settings.dataCentres), 0,
                           membership::MemberStatus::Alive});
    deliver(node, m_settings.storeTime,
            [this, members](node::Controller& controller, node::ControlActions&)
            { controller.membersListed(members, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::AcquireLease& action)
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
        m_leases[answer.lease].until = m_events.now() + answer.length;
        const bool taken = m_groupKeys.contains(action.group);
        answer.result = taken ? node::LeaseResult::HeldByOther : node::LeaseResult::Held;
        if (!taken)
            m_groupKeys[action.group] = answer.lease;
    }
    deliver(node, m_settings.storeTime,
            [this, answer](node::Controller& controller, node::ControlActions&)
            { controller.leaseAnswered(answer, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::RenewLease& action)
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
            m_leases[action.lease].until = m_events.now() + answer.length;
    }
    deliver(node, m_settings.storeTime,
            [this, answer](node::Controller& controller, node::ControlActions&)
            { controller.leaseAnswered(answer, m_events.now()); });
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned, const node::ReleaseLease& action)
{
    ++storeCalls;
    if (m_outage)
        return;
    m_leases.erase(action.lease);
    expireLeases();
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::SendProbe& action)
{
    probes.push_back({m_events.now(), node, action.target->workspace, core::toMilliseconds(action.target->probeCost)});
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::ApplyWorkspace& action)
{
    history.push_back({m_events.now(), node, action.workspace.name, action.revision, m_nodes[node].life});
    m_nodes[node].inForce[action.workspace.name] = action.revision;
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::RemoveWorkspace& action)
{
    history.push_back({m_events.now(), node, action.workspace, action.revision, m_nodes[node].life});
    m_nodes[node].inForce[action.workspace] = action.revision;
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned, const node::RejectedDocument&)
{
}

////////////////////////////////////////////////////////////
void ControlGroup::act(unsigned node, const node::ApplyServerReport& action)
{
    if (action.report.draining)
        drainingHeardAt.try_emplace(node, m_events.now());
}

////////////////////////////////////////////////////////////
void ControlGroup::pushChange(const state::Document& document)
{
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        if (m_nodes[i].watch == 0 || m_outage)
            continue;
        deliver(i, m_settings.storeTime,
                [this, document](node::Controller& controller, node::ControlActions& actions) {
                    controller.storeChanged({&document, 1}, m_events.now(), actions);
                });
    }
}

////////////////////////////////////////////////////////////
void ControlGroup::expireLeases()
{
    std::erase_if(m_leases, [this](const auto& item) { return item.second.until <= m_events.now(); });
    std::erase_if(m_groupKeys, [this](const auto& item) { return !m_leases.contains(item.second); });
}

////////////////////////////////////////////////////////////
bool ControlGroup::reachable(unsigned from, unsigned to)
{
    if (!m_nodes[to].controller || m_random.unit() < m_settings.loss)
        return false;
    const unsigned fromCentre = from % m_settings.dataCentres;
    const unsigned toCentre = to % m_settings.dataCentres;
    return fromCentre == toCentre || (!m_cut[fromCentre] && !m_cut[toCentre]);
}

////////////////////////////////////////////////////////////
unsigned ControlGroup::indexOf(const std::string& address) const
{
    return static_cast<unsigned>(std::stoul(address));
}

} // namespace sailpath::support

#include <sailpath/node/Prober.hpp>

#include <sailpath/core/Hash.hpp>
#include <sailpath/membership/Rendezvous.hpp>

#include <algorithm>

namespace sailpath::node
{
namespace
{
constexpr int renewalsPerLease = 3;

////////////////////////////////////////////////////////////
std::vector<std::shared_ptr<const Target>> targetsOf(const config::Workspace& workspace)
{
    std::vector<std::shared_ptr<const Target>> targets;
    for (const config::Service& service : workspace.services)
    {
        for (const config::BackendServer& server : service.servers)
        {
            Target target;
            target.workspace = workspace.name;
            target.service = service.name;
            target.server = server.name;
            target.address = server.address;
            target.port = server.port;
            target.probePath = service.probe.path;
            target.probeCost = service.probe.cost;
            targets.push_back(std::make_shared<const Target>(std::move(target)));
        }
    }
    return targets;
}

} // namespace

////////////////////////////////////////////////////////////
Prober::Prober(const ControllerSettings& settings) :
m_settings(settings),
m_groups(settings.probeGroups)
{
}

////////////////////////////////////////////////////////////
void Prober::configure(const config::Workspace& workspace, core::Timestamp now)
{
    ProbedWorkspace& probed = m_workspaces[workspace.name];
    probed.rate = workspace.measuringBudget;
    probed.group = static_cast<unsigned>(core::hash(workspace.name) % m_groups.size());
    probed.servers = targetsOf(workspace);
    probed.next = 0;
    if (probed.budget)
        probed.budget->setRate(probed.rate, now);
    else if (m_groups[probed.group].held)
        probed.budget.emplace(probed.rate, now);
}

////////////////////////////////////////////////////////////
void Prober::remove(std::string_view workspace)
{
    if (const auto found = m_workspaces.find(workspace); found != m_workspaces.end())
        m_workspaces.erase(found);
}

////////////////////////////////////////////////////////////
void Prober::membersChanged(std::span<const std::string_view> alive)
{
    for (unsigned group = 0; group < m_groups.size(); ++group)
        m_groups[group].chosen = membership::isChosen("probe-" + std::to_string(group), m_settings.self.name, alive, 1);
}

////////////////////////////////////////////////////////////
void Prober::tick(core::Timestamp now, ControlActions& actions)
{
    const bool anyHeld = std::any_of(m_groups.begin(), m_groups.end(), [](const Group& group) { return group.held; });
    if (anyHeld && !m_lease.isValid(now))
        clearHeldGroups();
    acquire(now, actions);
    renew(now, actions);
    probe(now, actions);
}

////////////////////////////////////////////////////////////
void Prober::leaseAnswered(const LeaseAnswer& answer, core::Timestamp now)
{
    m_requestPending = false;
    if (answer.result == LeaseResult::Gone)
    {
        clearHeldGroups();
        return;
    }
    if (answer.result == LeaseResult::Failed)
        return;

    m_lease.recordGrant(answer.lease, answer.length, answer.sentAt);
    m_renewAt = answer.sentAt + answer.length / renewalsPerLease;
    if (answer.renewal || answer.result != LeaseResult::Held || !m_lease.isValid(now))
        return;
    m_groups[answer.group].held = true;
    for (auto& item : m_workspaces)
    {
        if (item.second.group == answer.group)
            item.second.budget.emplace(item.second.rate, now);
    }
}

////////////////////////////////////////////////////////////
void Prober::release(core::Timestamp now, ControlActions& actions)
{
    if (const auto lease = m_lease.id(now))
        actions.emplace_back(ReleaseLease{*lease});
    clearHeldGroups();
}

////////////////////////////////////////////////////////////
double Prober::spent(std::string_view workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() || !found->second.budget ? 0.0 : found->second.budget->spent();
}

////////////////////////////////////////////////////////////
bool Prober::mayProbe(std::string_view workspace, core::Timestamp now) const
{
    const auto found = m_workspaces.find(workspace);
    return found != m_workspaces.end() && m_groups[found->second.group].held && m_lease.isValid(now);
}

////////////////////////////////////////////////////////////
void Prober::clearHeldGroups()
{
    m_lease.recordLoss();
    for (Group& group : m_groups)
        group.held = false;
    for (auto& item : m_workspaces)
        item.second.budget.reset();
}

////////////////////////////////////////////////////////////
bool Prober::shouldHold(unsigned group) const
{
    if (!m_groups[group].chosen)
        return false;
    return std::any_of(m_workspaces.begin(), m_workspaces.end(),
                       [group](const auto& item) { return item.second.group == group && item.second.rate > 0; });
}

////////////////////////////////////////////////////////////
void Prober::acquire(core::Timestamp now, ControlActions& actions)
{
    for (unsigned group = 0; group < m_groups.size() && !m_requestPending; ++group)
    {
        Group& state = m_groups[group];
        if (state.held || now < state.nextTry || !shouldHold(group))
            continue;
        state.nextTry = now + m_settings.leaseLength / 2;
        m_requestPending = true;
        actions.emplace_back(AcquireLease{group, m_lease.id(now).value_or(0)});
    }
}

////////////////////////////////////////////////////////////
void Prober::renew(core::Timestamp now, ControlActions& actions)
{
    const auto lease = m_lease.id(now);
    const bool held = std::any_of(m_groups.begin(), m_groups.end(), [](const Group& group) { return group.held; });
    if (!lease || !held || m_requestPending || now < m_renewAt)
        return;
    m_requestPending = true;
    m_renewAt = now + m_settings.leaseLength / renewalsPerLease;
    actions.emplace_back(RenewLease{*lease});
}

////////////////////////////////////////////////////////////
void Prober::probe(core::Timestamp now, ControlActions& actions)
{
    if (!m_lease.isValid(now))
        return;
    for (auto& item : m_workspaces)
    {
        ProbedWorkspace& probed = item.second;
        if (!probed.budget || probed.servers.empty())
            continue;
        const auto& target = probed.servers[probed.next % probed.servers.size()];
        if (!probed.budget->charge(target->probeCost, now))
            continue;
        ++probed.next;
        actions.emplace_back(SendProbe{target});
    }
}

} // namespace sailpath::node

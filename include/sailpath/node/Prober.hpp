#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/limits/ProbeTimeBudget.hpp>
#include <sailpath/node/ControlAction.hpp>
#include <sailpath/node/ControllerSettings.hpp>
#include <sailpath/node/LeaseAnswer.hpp>
#include <sailpath/state/HeldLease.hpp>

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Probes backend servers within the workspaces' budgets while this VM holds the lease
///
/// Each workspace belongs to a probe group. The VM that has the group's key
/// in the store, under a lease, probes for the group. No VM probes while the
/// store is unavailable, so VMs that disagree about which VMs are alive
/// cannot overdraw a budget.
////////////////////////////////////////////////////////////
class Prober
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a prober that holds no lease
    ///
    /// \param settings Settings; must outlive the prober
    ////////////////////////////////////////////////////////////
    explicit Prober(const ControllerSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Set a workspace's servers and budget
    ////////////////////////////////////////////////////////////
    void configure(const config::Workspace& workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Remove a workspace
    ////////////////////////////////////////////////////////////
    void remove(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Set the live VMs, from which the prober of each group is chosen
    ///
    /// \param alive Names of the live VMs, including this VM
    ////////////////////////////////////////////////////////////
    void membersChanged(std::span<const std::string_view> alive);

    ////////////////////////////////////////////////////////////
    /// \brief Acquire and renew the lease, and send the probes that are due
    ///
    /// \param now     Current time
    /// \param actions Receives the actions to carry out
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Process the answer to a lease request
    ////////////////////////////////////////////////////////////
    void leaseAnswered(const LeaseAnswer& answer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Release the lease at once because this VM stops
    ////////////////////////////////////////////////////////////
    void release(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Get the milliseconds of server time charged to a workspace since this VM acquired the probe group
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double spent(std::string_view workspace) const;

    ////////////////////////////////////////////////////////////
    /// \brief Check whether this VM may probe a workspace's servers now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool mayProbe(std::string_view workspace, core::Timestamp now) const;

private:
    struct ProbedWorkspace
    {
        double                                     rate{0};  //!< Budget in milliseconds of server time per second
        unsigned                                   group{0}; //!< Number of the probe group
        std::vector<std::shared_ptr<const Target>> servers;  //!< Servers of all services
        std::size_t next{0}; //!< Index of the next server to probe, modulo the number of servers
        std::optional<limits::ProbeTimeBudget> budget; //!< Budget account while the group is held
    };

    struct Group
    {
        bool            chosen{false}; //!< This VM is chosen to probe for the group
        bool            held{false};   //!< This VM has the group's key
        core::Timestamp nextTry{};     //!< Earliest time of the next `AcquireLease`
    };

    void               clearHeldGroups();
    [[nodiscard]] bool shouldHold(unsigned group) const;
    void               acquire(core::Timestamp now, ControlActions& actions);
    void               renew(core::Timestamp now, ControlActions& actions);
    void               probe(core::Timestamp now, ControlActions& actions);

    const ControllerSettings&        m_settings;              //!< Settings
    core::StringMap<ProbedWorkspace> m_workspaces;            //!< Probed workspaces by name
    std::vector<Group>               m_groups;                //!< Groups by number
    state::HeldLease                 m_lease;                 //!< Lease of all groups that are held
    bool                             m_requestPending{false}; //!< A lease request is in progress
    core::Timestamp                  m_renewAt{};             //!< Time of the next renewal
};

} // namespace sailpath::node

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
/// \brief Measures backend servers within the workspaces' budgets, on the one VM that holds the right to
///
/// Workspaces fall into groups, and each group's right to probe is a key in
/// the store under a lease. Without the store nobody probes, so a budget is
/// never overdrawn by VMs that disagree about who is alive.
////////////////////////////////////////////////////////////
class Prober
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a prober that holds nothing
    ///
    /// \param settings Outlives the prober
    ////////////////////////////////////////////////////////////
    explicit Prober(const ControllerSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Learn a workspace's servers and budget
    ////////////////////////////////////////////////////////////
    void configure(const config::Workspace& workspace, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Forget a workspace
    ////////////////////////////////////////////////////////////
    void remove(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Learn who is alive, which decides who is to probe for which group
    ///
    /// \param alive Names of the live VMs, this one included
    ////////////////////////////////////////////////////////////
    void membersChanged(std::span<const std::string_view> alive);

    ////////////////////////////////////////////////////////////
    /// \brief Acquire, renew and use the right to probe
    ///
    /// \param now     Current time
    /// \param actions Receives what is to be done
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Learn what came of a lease request
    ////////////////////////////////////////////////////////////
    void answered(const LeaseAnswer& answer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Give up the right to probe at once, as this VM stops
    ////////////////////////////////////////////////////////////
    void release(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Server-milliseconds that this VM has charged to a workspace since it took up its group
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double spent(std::string_view workspace) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether this VM may probe a workspace's servers now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool holds(std::string_view workspace, core::Timestamp now) const;

private:
    struct Measured
    {
        double                                     rate{0};  //!< Server-milliseconds a second
        unsigned                                   group{0}; //!< Its probe group
        std::vector<std::shared_ptr<const Target>> servers;  //!< All its servers
        std::size_t                                next{0};  //!< Server to probe next
        std::optional<limits::ProbeTimeBudget>     budget;   //!< While the group is held
    };

    struct Group
    {
        bool            chosen{false}; //!< This VM is to probe for it
        bool            held{false};   //!< The key is ours
        core::Timestamp nextTry{};     //!< Next acquisition
    };

    void               dropAll();
    [[nodiscard]] bool wanted(unsigned group) const;
    void               acquire(core::Timestamp now, ControlActions& actions);
    void               renew(core::Timestamp now, ControlActions& actions);
    void               probe(core::Timestamp now, ControlActions& actions);

    const ControllerSettings& m_settings;       //!< Constants
    core::StringMap<Measured> m_measured;       //!< By workspace
    std::vector<Group>        m_groups;         //!< By number
    state::HeldLease          m_lease;          //!< One lease for all groups held
    bool                      m_pending{false}; //!< A lease request is on its way
    core::Timestamp           m_renewAt{};      //!< Next renewal
};

} // namespace sailpath::node

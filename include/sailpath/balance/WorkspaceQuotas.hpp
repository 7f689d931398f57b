#pragma once

#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/quotas/ApplicantOrder.hpp>
#include <sailpath/balance/quotas/FleetPresence.hpp>
#include <sailpath/balance/quotas/QuotaApplicant.hpp>
#include <sailpath/balance/quotas/QuotaLedger.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/LimitReport.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief State of one workspace's quota, as shown to operators
////////////////////////////////////////////////////////////
struct QuotaState
{
    std::string workspace;               //!< Name
    double      perSecond{0};            //!< Declared quota for all nodes together, requests/s
    double      burst{0};                //!< Declared requests beyond the rate
    double      admissionProbability{1}; //!< Probability that a request is let in, 0 to 1
    double      sentHere{0};             //!< Requests let in by this node since the workspace has a quota
    double      sentByAll{0};            //!< Requests let in by all nodes, as far as they reported
    double      saved{0};                //!< Requests that may be sent at once; negative if overdrawn
    double      demand{0};               //!< Requests asked of all nodes, as far as they reported, requests/s
    double      heardShare{1};           //!< Share of the fleet that this node hears, 0 to 1
    double      refusedFresh{0};         //!< Requests refused here of callers that were not refused before
    double      refusedReturning{0};     //!< Requests refused here of callers that were probably refused before
};

////////////////////////////////////////////////////////////
/// \brief One node's part in keeping what workspaces send through all nodes within their quotas
///
/// Load pattern: one of a hundred workspaces, at times a large one, suddenly
/// sends many times its usual rate, through all nodes or a few. It may use at
/// once what it has saved up. Each quota is a `quotas::QuotaLedger`, which
/// `quotas::FleetPresence` scales to the share of the fleet that is heard;
/// `quotas::ApplicantOrder` decides on which requests it is spent.
///
/// A node reports its requests in quanta and starts at a random point of the
/// first one, so that the requests not yet reported cancel out on average.
/// Reporting each request would keep the whole fleet busy with reports.
///
/// A node that receives no reports uses its own share of the quota only.
///
/// Trade-off: the size of a quantum is a part of the tolerated excess, so a
/// smaller tolerance costs more reports.
////////////////////////////////////////////////////////////
class WorkspaceQuotas
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without quotas
    ////////////////////////////////////////////////////////////
    explicit WorkspaceQuotas(const QuotaTolerance& tolerance);

    ////////////////////////////////////////////////////////////
    /// \brief Put declared quotas in force
    ///
    /// What was used or saved up under a workspace's former quota still counts.
    ////////////////////////////////////////////////////////////
    void configure(std::span<const deployment::Workspace> workspaces, unsigned nodes, core::Random& random,
                   core::Timestamp now);

    void recordFleetContact(core::Timestamp at); //!< Record that reports of other nodes could arrive at this time

    ////////////////////////////////////////////////////////////
    /// \brief Set the nodes heard of recently, this one included; empty if they are unknown
    ////////////////////////////////////////////////////////////
    void setMembers(std::uint32_t self, std::span<const std::uint32_t> members, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide whether a request is let in
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool admits(const quotas::QuotaApplicant& applicant, core::Random& random, core::Timestamp now);

    void update(core::Timestamp now); //!< Find out which share of the fleet is heard, and report this node's presence
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const; //!< When `update` is next needed; null if it is not
    [[nodiscard]] double admissionProbability(std::string_view workspace, core::Timestamp now) const; //!< 0 to 1
    void recordSent(std::string_view workspace, core::Timestamp now); //!< Record a request that this node let in

    ////////////////////////////////////////////////////////////
    /// \brief Record requests that another node let in
    ///
    /// \return Whether the report is about a workspace with a quota
    ////////////////////////////////////////////////////////////
    bool recordSentElsewhere(const deployment::LimitReport& news, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record another node's report of topic `QuotaShares`
    ///
    /// A report about a workspace tells the requests asked of the node, one about no server its presence.
    ////////////////////////////////////////////////////////////
    void recordNeedElsewhere(const deployment::LimitReport& report, core::Timestamp now);

    void takeNews(std::vector<deployment::LimitReport>& to);   //!< Append the reports due since the last call
    [[nodiscard]] bool                      hasQuotas() const; //!< Some quota is in force
    [[nodiscard]] std::vector<QuotaState>   listStates(core::Timestamp now) const; //!< Of all quotas, by workspace name
    [[nodiscard]] std::optional<QuotaState> findState(std::string_view workspace,
                                                      core::Timestamp  now) const; //!< Null without a quota

private:
    struct Quota
    {
        std::string            workspace;           //!< Name
        double                 perSecond{0};        //!< Declared rate, requests/s
        double                 burst{0};            //!< Declared requests beyond the rate
        double                 tolerance{0};        //!< Requests by which it may be exceeded in a window
        quotas::QuotaLedger    ledger;              //!< What it allows and what was sent
        quotas::ApplicantOrder order;               //!< On which requests it is spent
        double                 quantum{1};          //!< Requests that are reported together
        double                 unreported{0};       //!< Requests let in by this node and not reported yet
        double                 unreportedDemand{0}; //!< Requests asked of this node and not reported yet
        double                 sentHere{0};         //!< Requests let in by this node
        double                 sentByAll{0};        //!< Requests let in by all nodes
        double                 refusedFresh{0};     //!< Requests refused by this node, of new callers
        double                 refusedReturning{0}; //!< Requests refused by this node, of callers refused before
    };

    [[nodiscard]] double             toleratedExcess(const deployment::Workspace& workspace) const;
    [[nodiscard]] quotas::QuotaBound boundOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] double             quantumOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] QuotaState         stateOf(const Quota& quota, core::Timestamp now) const;
    [[nodiscard]] const Quota*       find(std::string_view workspace) const;
    [[nodiscard]] bool               isIsolated(core::Timestamp now) const;
    [[nodiscard]] double             heardShare(core::Timestamp now) const;
    [[nodiscard]] static bool        binds(const Quota& quota, core::Timestamp now);
    /// \brief Add requests to the report about a quota that is due, or begin one
    void                             addNews(deployment::LimitReport report);
    void                             reportDemand(Quota& quota, std::uint32_t hash, core::Timestamp now);

    QuotaTolerance                           m_tolerance;      //!< By how much quotas may be exceeded
    unsigned                                 m_nodes{1};       //!< Nodes that share the quotas
    std::optional<core::Timestamp>           m_fleetContactAt; //!< When reports of other nodes could last arrive
    quotas::FleetPresence                    m_presence{0};    //!< Share of the fleet that is heard
    std::uint32_t                            m_self{0};        //!< Short hash of this node's address
    core::Timestamp                          m_boundUntil{};   //!< Until when a quota counts as binding
    std::optional<core::Timestamp>           m_updatedAt;      //!< Last call of `update`
    double                                   m_share{1};       //!< As of `m_updatedAt`
    std::unordered_map<std::uint32_t, Quota> m_quotas;         //!< By `shortHash` of the workspace's name
    std::vector<deployment::LimitReport>     m_news;           //!< Reports not taken yet
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/SharedRate.hpp>
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
};

////////////////////////////////////////////////////////////
/// \brief One node's part in keeping what workspaces send through all nodes within their quotas
///
/// Load pattern: one of a hundred workspaces, at times a large one, suddenly
/// sends many times its usual rate, through all nodes or a few. It may use at
/// once what it has saved up. Each quota is a `SharedRate`.
///
/// A node reports its requests in quanta and starts at a random point of the
/// first one, so that the requests not yet reported cancel out on average.
/// Reporting each request would keep the whole fleet busy with reports.
///
/// A node that receives no reports assumes that each other node lets in as many
/// requests as this node does.
///
/// Trade-off: the sizes of quanta and of doublings are parts of the tolerated
/// excess, so a smaller tolerance costs more reports.
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

    [[nodiscard]] bool   admits(std::string_view workspace, core::Random& random,
                                core::Timestamp now) const; //!< Draw whether to let a request in
    [[nodiscard]] double admissionProbability(std::string_view workspace, core::Timestamp now) const; //!< 0 to 1
    void recordSent(std::string_view workspace, core::Timestamp now); //!< Record a request that this node let in

    ////////////////////////////////////////////////////////////
    /// \brief Record requests that another node let in
    ///
    /// \return Whether the report is about a workspace with a quota
    ////////////////////////////////////////////////////////////
    bool recordSentElsewhere(const deployment::LimitReport& news, core::Timestamp now);

    void takeNews(std::vector<deployment::LimitReport>& to);   //!< Append the reports due since the last call
    [[nodiscard]] bool                      hasQuotas() const; //!< Some quota is in force
    [[nodiscard]] std::vector<QuotaState>   listStates(core::Timestamp now) const; //!< Of all quotas, by workspace name
    [[nodiscard]] std::optional<QuotaState> findState(std::string_view workspace,
                                                      core::Timestamp  now) const; //!< Null without a quota

private:
    struct Quota
    {
        std::string workspace;     //!< Name
        double      perSecond{0};  //!< Declared rate, requests/s
        double      burst{0};      //!< Declared requests beyond the rate
        RateBound   bound;         //!< Bound derived from both
        SharedRate  rate;          //!< Admission probability
        double      quantum{1};    //!< Requests that are reported together
        double      unreported{0}; //!< Requests let in by this node and not reported yet
        double      sentHere{0};   //!< Requests let in by this node
        double      sentByAll{0};  //!< Requests let in by all nodes
    };

    [[nodiscard]] double            toleratedExcess(const deployment::Workspace& workspace) const;
    [[nodiscard]] RateBound         boundOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] double            quantumOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] static QuotaState stateOf(const Quota& quota, core::Timestamp now);
    [[nodiscard]] const Quota*      find(std::string_view workspace) const;
    [[nodiscard]] bool              isIsolated(core::Timestamp now) const;

    QuotaTolerance                           m_tolerance;      //!< By how much quotas may be exceeded
    unsigned                                 m_nodes{1};       //!< Nodes that share the quotas
    std::optional<core::Timestamp>           m_fleetContactAt; //!< When reports of other nodes could last arrive
    std::unordered_map<std::uint32_t, Quota> m_quotas;         //!< By `shortHash` of the workspace's name
    std::vector<deployment::LimitReport>     m_news;           //!< Reports not taken yet
};

} // namespace sailpath::balance

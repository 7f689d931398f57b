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
/// \brief What is believed of one workspace's quota, for operators
////////////////////////////////////////////////////////////
struct QuotaState
{
    std::string workspace;    //!< Name
    double      perSecond{0}; //!< Requests from all nodes together
    double      burst{0};     //!< And so many more
    double      openness{1};  //!< Chance that a request is let in
    double      sentHere{0};  //!< Requests of this node since it has the quota
    double      sentByAll{0}; //!< Requests of all nodes, as far as they told
};

////////////////////////////////////////////////////////////
/// \brief One node's part in keeping what workspaces send through all nodes within their quotas
///
/// Load pattern: one of a hundred workspaces, at times a large one, sends many
/// times its usual within a moment, through all nodes or a few; what it has
/// saved up it may use at once. Each quota is a `SharedRate`.
///
/// Requests are told in quanta, each node beginning at a random part of one, so
/// that what is not told yet is nothing on average: a fleet that told each
/// request would be busy with that.
///
/// A node that hears nobody takes it that all others let in as much as it does.
///
/// Limits: quanta and doublings are parts of what the quota may be exceeded by,
/// so a smaller tolerance costs more news.
////////////////////////////////////////////////////////////
class WorkspaceQuotas
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without quotas
    ////////////////////////////////////////////////////////////
    explicit WorkspaceQuotas(const QuotaTolerance& borne);

    ////////////////////////////////////////////////////////////
    /// \brief Put declared quotas in force; what was used under former ones counts on
    ////////////////////////////////////////////////////////////
    void declare(std::span<const deployment::Workspace> workspaces, unsigned nodes, core::Random& random,
                 core::Timestamp now);

    void heardFleet(core::Timestamp at); //!< Others could be heard then

    [[nodiscard]] bool   lets(std::string_view workspace, core::Random& random, core::Timestamp now) const;
    [[nodiscard]] double openness(std::string_view workspace, core::Timestamp now) const; //!< Chance of a request
    void                 sent(std::string_view workspace, core::Timestamp now);           //!< A request, by this node

    ////////////////////////////////////////////////////////////
    /// \brief Another node told what it sent
    ///
    /// \return Whether it is about a workspace
    ////////////////////////////////////////////////////////////
    bool heard(const deployment::LimitReport& news, core::Timestamp now);

    void                                    takeNews(std::vector<deployment::LimitReport>& to); //!< Since the last call
    [[nodiscard]] bool                      any() const; //!< Some quota is in force
    [[nodiscard]] std::vector<QuotaState>   list(core::Timestamp now) const;
    [[nodiscard]] std::optional<QuotaState> state(std::string_view workspace, core::Timestamp now) const; //!< Of one

private:
    struct Quota
    {
        std::string workspace;    //!< Name
        double      perSecond{0}; //!< As declared
        double      burst{0};     //!< As declared
        RateBound   bound;        //!< In force
        SharedRate  rate;         //!< How open it is
        double      quantum{1};   //!< Requests that are told at once
        double      untold{0};    //!< Of this node
        double      sentHere{0};  //!< By this node
        double      sentByAll{0}; //!< By all nodes
    };

    [[nodiscard]] double            tolerance(const deployment::Workspace& workspace) const;
    [[nodiscard]] RateBound         boundOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] double            quantumOf(const deployment::Workspace& workspace) const;
    [[nodiscard]] static QuotaState stateOf(const Quota& quota, core::Timestamp now);
    [[nodiscard]] const Quota*      find(std::string_view workspace) const;
    [[nodiscard]] bool              alone(core::Timestamp now) const;

    QuotaTolerance                           m_borne;      //!< How exactly they are kept
    unsigned                                 m_nodes{1};   //!< That share the quotas
    std::optional<core::Timestamp>           m_heardFleet; //!< Others could be heard then
    std::unordered_map<std::uint32_t, Quota> m_quotas;     //!< By hash of the workspace's name
    std::vector<deployment::LimitReport>     m_news;       //!< Not taken
};

} // namespace sailpath::balance

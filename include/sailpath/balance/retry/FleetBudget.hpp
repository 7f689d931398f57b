#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sailpath::balance::retry
{
////////////////////////////////////////////////////////////
/// \brief What one node may send and has sent of the retry budget of a service, within the current window
////////////////////////////////////////////////////////////
struct BudgetUse
{
    double allowed{0}; //!< Retries that its own requests and its part of the extra retries allow
    double retries{0}; //!< Retries sent; more than `allowed` if it used unused parts of other nodes
};

////////////////////////////////////////////////////////////
/// \brief A node's report of its use of the retry budget of a service
////////////////////////////////////////////////////////////
struct BudgetReport
{
    BudgetUse use;
    bool      isShort{false}; //!< Whether the node recently had to refuse a retry
};

////////////////////////////////////////////////////////////
/// \brief Joins the nodes' parts of the retry budget of a service into one bound while some node is short of it
///
/// Load: a service rejects requests while its callers move from node to node. Each node spends its part when this is
/// largest, so the parts together exceed what the fleet may send; and nodes that got few requests leave their parts
/// unused while others are short. A node that is short reports its use, and the others answer with theirs. Their sum
/// bounds all of them. A node that hears of nobody keeps to its own part.
////////////////////////////////////////////////////////////
class FleetBudget
{
public:
    ////////////////////////////////////////////////////////////
    /// \param window Time window over which the budget is counted
    ////////////////////////////////////////////////////////////
    explicit FleetBudget(core::Duration window);

    void setNodes(unsigned nodes); //!< Set the number of nodes, which bounds the rate of reports

    void recordReport(std::uint32_t node, const BudgetReport& report, core::Timestamp now); //!< From another node

    ////////////////////////////////////////////////////////////
    /// \brief Whether this node may send a retry
    ///
    /// \param own Use of this node
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allows(const BudgetUse& own, core::Timestamp now) const;

    void               recordRetry(const BudgetUse& own);   //!< A retry was sent; `own` is the use before it
    [[nodiscard]] bool isShort(core::Timestamp now) const;  //!< Whether some node was short of the budget lately
    void               recordShortage(core::Timestamp now); //!< A retry was refused for the budget

    ////////////////////////////////////////////////////////////
    /// \brief Return the report that is due, and grant this node its part of what the fleet has left
    ///
    /// \return Null while no node is short, or if the last report is recent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<BudgetReport> takeReport(const BudgetUse& own, core::Timestamp now);

    [[nodiscard]] double left(const BudgetUse& own,
                              core::Timestamp  now) const; //!< Retries that the known nodes have left

private:
    struct Peer
    {
        BudgetReport    report;
        core::Timestamp at{};
    };

    [[nodiscard]] core::Duration interval() const; //!< Time between two reports of this node
    [[nodiscard]] bool           isFresh(const Peer& peer, core::Timestamp now) const;
    [[nodiscard]] unsigned       freshPeers(core::Timestamp now) const; //!< Other nodes that are in touch

    core::Duration                          m_window;          //!< Time window over which the budget is counted
    unsigned                                m_nodes{1};        //!< Number of nodes
    std::unordered_map<std::uint32_t, Peer> m_peers;           //!< Last report of each other node
    std::optional<core::Timestamp>          m_shortAt;         //!< Last time that this node was short
    std::optional<core::Timestamp>          m_fleetShortAt;    //!< Last time that any node was short
    core::Timestamp                         m_nextReportAt{};  //!< Earliest time of the next report
    core::Timestamp                         m_nextCleanupAt{}; //!< When old reports are removed next
    double                                  m_borrowable{0};   //!< Retries beyond the own part until the next report
};

} // namespace sailpath::balance::retry

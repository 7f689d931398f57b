#pragma once

#include <sailpath/balance/WorkspaceQuotas.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>

namespace sailpath::support::quotas
{
using namespace std::chrono_literals;
using balance::WorkspaceQuotas;
using deployment::LimitReport;

inline constexpr core::Timestamp start{1h};
inline constexpr auto            tick = 5ms;
constexpr auto                   window = 5s;
constexpr double                 excess = 0.1; // Tolerated excess, as a part of the requests allowed in a window
constexpr double                 slack = 20;   // Requests tolerated beyond that

////////////////////////////////////////////////////////////
/// \brief Load of one workspace, first below its quota and then far above it
////////////////////////////////////////////////////////////
struct Load
{
    unsigned       nodes{107};         //!< Nodes of the fleet
    unsigned       entryNodes{107};    //!< Nodes that the workspace's callers use
    double         perSecond{327};     //!< Rate of the quota, requests/s
    double         burst{327};         //!< Burst of the quota, requests
    double         usualFactor{0.6};   //!< Demand in the first half, as a multiple of the rate
    double         overloadFactor{5};  //!< Demand in the second half, as a multiple of the rate
    core::Duration reportDelay{100ms}; //!< Delay of reports between nodes
    std::uint64_t  seed{1};
    unsigned       cutOffNodes{0}; //!< Further nodes of the fleet, which this part heard of before it was cut off
};

////////////////////////////////////////////////////////////
/// \brief What the fleet let in
////////////////////////////////////////////////////////////
struct Result
{
    double worstWindow{0};       //!< Most requests let in in any window, as a part of the tolerated ones
    double usedShare{0};         //!< Part of the quota that is let in during the overload
    double servedShare{0};       //!< Share of the requests that are let in before the overload
    double reportsPerRequest{0}; //!< Reports between nodes for each request let in
};

////////////////////////////////////////////////////////////
/// \brief The quotas of all nodes of a fleet, with delayed reports, in virtual time
////////////////////////////////////////////////////////////
class Fleet
{
public:
    explicit Fleet(const Load& load) :
    m_load(load),
    m_random(load.seed)
    {
        for (unsigned i = 0; i < load.nodes + load.cutOffNodes; ++i)
            m_members.push_back(i + 1);
        for (unsigned i = 0; i < load.nodes; ++i)
            m_nodes.push_back(makeQuotas(i));
        run(2s, 0); // Lets the nodes save up the burst
    }

    std::unique_ptr<WorkspaceQuotas> makeQuotas(unsigned node)
    {
        auto quotas = std::make_unique<WorkspaceQuotas>(balance::QuotaTolerance{window, excess, slack});
        configure(*quotas);
        quotas->setMembers(m_members[node], m_members, m_now);
        return quotas;
    }

    void configure(WorkspaceQuotas& quotas)
    {
        const deployment::Workspace workspace{"north", {"k"}, {}, m_load.perSecond, m_load.burst};
        quotas.configure(std::span(&workspace, 1), m_load.nodes, m_random, m_now);
    }

    void restartNode(unsigned node)
    {
        m_nodes[node] = makeQuotas(node);
    }

    void lowerQuota(double perSecond, double burst)
    {
        m_load.perSecond = perSecond;
        m_load.burst = burst;
        for (const auto& node : m_nodes)
            configure(*node);
    }

    void isolateNodes(unsigned nodes)
    {
        m_isolated = nodes;
    }

    /// \brief Cut the fleet in two parts, each of which receives the reports of its own nodes only
    void splitAt(unsigned node)
    {
        m_splitAt = node;
    }

    /// \brief Advance time
    ///
    /// \param demand Requests per second
    void run(core::Duration time, double demand)
    {
        for (const core::Timestamp end = m_now + time; m_now < end; m_now += tick)
        {
            deliverReports();
            m_dueRequests += demand * core::toSeconds(tick);
            for (; m_dueRequests >= 1; m_dueRequests -= 1)
                sendRequest();
            sendReports();
        }
    }

    [[nodiscard]] std::size_t maxInSpan(core::Duration span, core::Timestamp from) const
    {
        std::size_t most = 0;
        auto        first = std::lower_bound(m_admittedAt.begin(), m_admittedAt.end(), from);
        for (auto last = first; last != m_admittedAt.end(); ++last)
        {
            while (*last - *first >= span)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    [[nodiscard]] core::Timestamp now() const
    {
        return m_now;
    }

    std::size_t arrived{0};
    std::size_t reports{0};

    [[nodiscard]] std::size_t admitted() const
    {
        return m_admittedAt.size();
    }

private:
    struct PendingReport
    {
        core::Timestamp at;
        unsigned        from;
        LimitReport     report;
    };

    void sendRequest()
    {
        ++arrived;
        const auto node = static_cast<unsigned>(m_random.below(m_load.entryNodes));
        if (!m_nodes[node]->admits({"north"}, m_random, m_now))
            return;
        m_nodes[node]->recordSent("north", m_now);
        m_admittedAt.push_back(m_now);
    }

    void sendReports()
    {
        for (unsigned i = 0; i < m_nodes.size(); ++i)
        {
            std::vector<LimitReport> taken;
            m_nodes[i]->update(m_now);
            m_nodes[i]->takeNews(taken);
            reports += taken.size();
            for (LimitReport& report : taken)
            {
                report.node = m_members[i];
                m_pending.push_back({m_now + m_load.reportDelay, i, report});
            }
        }
    }

    void deliver(const LimitReport& report, WorkspaceQuotas& to) const
    {
        if (report.topic == deployment::LimitTopic::QuotaShares)
            to.recordNeedElsewhere(report, m_now);
        else
            to.recordSentElsewhere(report, m_now);
    }

    void deliverReports()
    {
        for (unsigned i = m_isolated; i < m_nodes.size(); ++i)
            m_nodes[i]->recordFleetContact(m_now);
        for (; !m_pending.empty() && m_pending.front().at <= m_now; m_pending.pop_front())
        {
            for (unsigned i = 0; i < m_nodes.size(); ++i)
            {
                const bool delivered = i >= m_isolated && m_pending.front().from >= m_isolated &&
                                       (i < m_splitAt) == (m_pending.front().from < m_splitAt);
                if (i != m_pending.front().from && delivered)
                    deliver(m_pending.front().report, *m_nodes[i]);
            }
        }
    }

    Load                                          m_load;
    core::Random                                  m_random;
    std::vector<std::uint32_t>                    m_members; // Hashes of the nodes
    std::vector<std::unique_ptr<WorkspaceQuotas>> m_nodes;
    core::Timestamp                               m_now{start};
    double                                        m_dueRequests{0};
    unsigned                     m_isolated{0}; // Number of nodes that neither send nor receive reports
    unsigned                     m_splitAt{0};  // First node of the second part of a cut fleet
    std::deque<PendingReport>    m_pending;
    std::vector<core::Timestamp> m_admittedAt;
};

////////////////////////////////////////////////////////////
/// \brief Return the most requests in a window that users tolerate under a quota
////////////////////////////////////////////////////////////
inline double toleratedRequests(double perSecond, double burst)
{
    return (perSecond * core::toSeconds(window) + burst) * (1 + excess) + slack;
}

////////////////////////////////////////////////////////////
/// \brief Run a load for 16 s, and print and return the result
////////////////////////////////////////////////////////////
inline Result simulate(const Load& load)
{
    constexpr auto half = 8s;
    Fleet          fleet(load);
    fleet.run(half, load.usualFactor * load.perSecond);
    Result     result;
    const auto admittedBefore = fleet.admitted();
    result.servedShare = static_cast<double>(admittedBefore) / static_cast<double>(fleet.arrived);
    fleet.run(half, load.overloadFactor * load.perSecond);
    const double allowed = load.perSecond * core::toSeconds(half) + load.burst;
    result.usedShare = static_cast<double>(fleet.admitted() - admittedBefore) / allowed;
    result.worstWindow =
        static_cast<double>(fleet.maxInSpan(window, start)) / toleratedRequests(load.perSecond, load.burst);
    result.reportsPerRequest = static_cast<double>(fleet.reports) / static_cast<double>(fleet.admitted());
    std::cout << load.nodes << " nodes, " << load.entryNodes << " entry nodes, quota " << load.perSecond << "+"
              << load.burst << ", overload " << load.overloadFactor << ": worst window " << result.worstWindow
              << ", used " << result.usedShare << ", served before " << result.servedShare << ", reports per request "
              << result.reportsPerRequest << '\n';
    return result;
}

////////////////////////////////////////////////////////////
/// \brief Return the most requests in any window of two halves of a fleet of 108 nodes, as a part of the tolerated ones
///
/// Each half receives reports of its own nodes only.
///
/// \param heardOf Nodes of the other half that a half has heard of before
////////////////////////////////////////////////////////////
inline double worstWindowOfHalves(unsigned heardOf, unsigned seed)
{
    Load load{54, 54, 327, 327};
    load.cutOffNodes = heardOf;
    load.seed = seed;
    Fleet half(load);
    half.run(5s, 0.3 * load.perSecond);
    const auto from = half.now();
    half.run(10s, 2.5 * load.perSecond);
    return 2 * static_cast<double>(half.maxInSpan(window, from)) / toleratedRequests(load.perSecond, load.burst);
}

} // namespace sailpath::support::quotas

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
constexpr double                 excess = 0.1; // That the users bear, and so many requests more
constexpr double                 slack = 20;

////////////////////////////////////////////////////////////
/// \brief One workspace that sends through all nodes or a few, usually well below its quota and then far above
////////////////////////////////////////////////////////////
struct Load
{
    unsigned       nodes{107};
    unsigned       used{107};      //!< Nodes that its callers come to
    double         perSecond{327}; //!< Its quota
    double         burst{327};     //!< Its quota
    double         usual{0.6};     //!< Of the quota, for the first half
    double         pressing{5};    //!< Of the quota, for the second half
    core::Duration newsWay{100ms};
    std::uint64_t  seed{1};
};

////////////////////////////////////////////////////////////
struct Seen
{
    double most{0};      //!< Requests let in in any window, as a part of what users bear
    double used{0};      //!< Part of the quota that is let in while the workspace presses
    double served{0};    //!< Share of its requests before that
    double toldShare{0}; //!< Pieces of news for each request let in
};

////////////////////////////////////////////////////////////
/// \brief All nodes of a fleet, whose news take a while
////////////////////////////////////////////////////////////
class Fleet
{
public:
    explicit Fleet(const Load& load) :
    m_load(load),
    m_random(load.seed)
    {
        for (unsigned i = 0; i < load.nodes; ++i)
            m_nodes.push_back(begun());
        run(2s, 0); // The burst is saved up
    }

    std::unique_ptr<WorkspaceQuotas> begun()
    {
        auto quotas = std::make_unique<WorkspaceQuotas>(balance::QuotaTolerance{window, excess, slack});
        declare(*quotas);
        return quotas;
    }

    void declare(WorkspaceQuotas& quotas)
    {
        const deployment::Workspace workspace{"north", {"k"}, {}, m_load.perSecond, m_load.burst};
        quotas.declare(std::span(&workspace, 1), m_load.nodes, m_random, m_now);
    }

    void restart(unsigned node)
    {
        m_nodes[node] = begun();
    }

    void lower(double perSecond, double burst)
    {
        m_load.perSecond = perSecond;
        m_load.burst = burst;
        for (const auto& node : m_nodes)
            declare(*node);
    }

    void cut(unsigned nodes)
    {
        m_cut = nodes;
    }

    /// \brief Let time pass with so many requests a second
    void run(core::Duration time, double demand)
    {
        for (const core::Timestamp end = m_now + time; m_now < end; m_now += tick)
        {
            deliver();
            m_due += demand * core::toSeconds(tick);
            for (; m_due >= 1; m_due -= 1)
                arrive();
            tell();
        }
    }

    [[nodiscard]] std::size_t mostIn(core::Duration span, core::Timestamp from) const
    {
        std::size_t most = 0;
        auto        first = std::lower_bound(m_let.begin(), m_let.end(), from);
        for (auto last = first; last != m_let.end(); ++last)
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
    std::size_t news{0};

    [[nodiscard]] std::size_t let() const
    {
        return m_let.size();
    }

private:
    struct OnTheWay
    {
        core::Timestamp at;
        unsigned        from;
        LimitReport     news;
    };

    void arrive()
    {
        ++arrived;
        const auto node = static_cast<unsigned>(m_random.below(m_load.used));
        if (!m_nodes[node]->lets("north", m_random, m_now))
            return;
        m_nodes[node]->sent("north", m_now);
        m_let.push_back(m_now);
    }

    void tell()
    {
        for (unsigned i = 0; i < m_nodes.size(); ++i)
        {
            std::vector<LimitReport> told;
            m_nodes[i]->takeNews(told);
            news += told.size();
            for (const LimitReport& one : told)
                m_way.push_back({m_now + m_load.newsWay, i, one});
        }
    }

    void deliver()
    {
        for (unsigned i = m_cut; i < m_nodes.size(); ++i)
            m_nodes[i]->heardFleet(m_now);
        for (; !m_way.empty() && m_way.front().at <= m_now; m_way.pop_front())
        {
            for (unsigned i = 0; i < m_nodes.size(); ++i)
            {
                const bool reaches = i >= m_cut && m_way.front().from >= m_cut;
                if (i != m_way.front().from && reaches)
                    m_nodes[i]->heard(m_way.front().news, m_now);
            }
        }
    }

    Load                                          m_load;
    core::Random                                  m_random;
    std::vector<std::unique_ptr<WorkspaceQuotas>> m_nodes;
    core::Timestamp                               m_now{start};
    double                                        m_due{0};
    unsigned                                      m_cut{0}; // So many nodes hear nobody and are heard by nobody
    std::deque<OnTheWay>                          m_way;
    std::vector<core::Timestamp>                  m_let;
};

////////////////////////////////////////////////////////////
inline double borne(double perSecond, double burst)
{
    return (perSecond * core::toSeconds(window) + burst) * (1 + excess) + slack;
}

////////////////////////////////////////////////////////////
inline Seen play(const Load& load)
{
    constexpr auto half = 8s;
    Fleet          fleet(load);
    fleet.run(half, load.usual * load.perSecond);
    Seen       seen;
    const auto letBefore = fleet.let();
    seen.served = static_cast<double>(letBefore) / static_cast<double>(fleet.arrived);
    fleet.run(half, load.pressing * load.perSecond);
    const double allowed = load.perSecond * core::toSeconds(half) + load.burst;
    seen.used = static_cast<double>(fleet.let() - letBefore) / allowed;
    seen.most = static_cast<double>(fleet.mostIn(window, start)) / borne(load.perSecond, load.burst);
    seen.toldShare = static_cast<double>(fleet.news) / static_cast<double>(fleet.let());
    std::cout << load.nodes << " nodes, " << load.used << " used, quota " << load.perSecond << "+" << load.burst
              << ", pressing " << load.pressing << ": most " << seen.most << ", used " << seen.used
              << ", served before " << seen.served << ", news a request " << seen.toldShare << '\n';
    return seen;
}

} // namespace sailpath::support::quotas

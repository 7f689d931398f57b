#include <sailpath/balance/retry/FleetBudget.hpp>

#include <algorithm>

namespace sailpath::balance::retry
{
namespace
{
constexpr auto   minInterval = std::chrono::milliseconds{500};
constexpr auto   intervalPerNode = std::chrono::milliseconds{5}; // At most 200 reports a second from the whole fleet
constexpr auto   shortFor = std::chrono::seconds{2};             // Time for which a shortage is reported
constexpr int    freshIntervals = 4;                             // Report intervals after which a node is out of touch
// Part of what is left that the short nodes may send until their next reports; the news of it takes about as long.
constexpr double borrowedShare = 0.25;

} // namespace

////////////////////////////////////////////////////////////
FleetBudget::FleetBudget(core::Duration window) :
m_window(window)
{
}

////////////////////////////////////////////////////////////
void FleetBudget::setNodes(unsigned nodes)
{
    m_nodes = nodes;
}

////////////////////////////////////////////////////////////
void FleetBudget::recordReport(std::uint32_t node, const BudgetReport& report, core::Timestamp now)
{
    if (now >= m_nextCleanupAt)
    {
        // Hundreds of nodes report each second, so not every report pays for a pass over all nodes.
        m_nextCleanupAt = now + m_window;
        std::erase_if(m_peers, [&](const auto& peer) { return now - peer.second.at > m_window; });
    }
    m_peers[node] = {report, now};
    if (report.isShort)
        m_fleetShortAt = now;
}

////////////////////////////////////////////////////////////
bool FleetBudget::allows(const BudgetUse& own, core::Timestamp now) const
{
    if (left(own, now) < 1)
        return false;
    return own.allowed - own.retries >= 1 || m_borrowable >= 1;
}

////////////////////////////////////////////////////////////
void FleetBudget::recordRetry(const BudgetUse& own)
{
    if (own.allowed - own.retries < 1)
        m_borrowable = std::max(0.0, m_borrowable - 1);
}

////////////////////////////////////////////////////////////
void FleetBudget::recordShortage(core::Timestamp now)
{
    m_shortAt = now;
    m_fleetShortAt = now;
}

////////////////////////////////////////////////////////////
bool FleetBudget::isShort(core::Timestamp now) const
{
    return m_fleetShortAt && now - *m_fleetShortAt <= shortFor;
}

////////////////////////////////////////////////////////////
std::optional<BudgetReport> FleetBudget::takeReport(const BudgetUse& own, core::Timestamp now)
{
    if (!isShort(now) || now < m_nextReportAt)
        return std::nullopt;
    m_nextReportAt = now + interval();
    const bool isShort = m_shortAt && now - *m_shortAt <= shortFor;
    m_borrowable = isShort ? std::max(0.0, borrowedShare * left(own, now) / (1 + freshPeers(now))) : 0;
    return BudgetReport{own, isShort};
}

////////////////////////////////////////////////////////////
double FleetBudget::left(const BudgetUse& own, core::Timestamp now) const
{
    double left = own.allowed - own.retries;
    for (const auto& [node, peer] : m_peers)
    {
        const double unused = peer.report.use.allowed - peer.report.use.retries;
        // A node that is out of touch keeps its part, but what it sent beyond that part stays spent.
        if (isFresh(peer, now))
            left += unused;
        else if (now - peer.at <= m_window)
            left += std::min(0.0, unused);
    }
    return left;
}

////////////////////////////////////////////////////////////
core::Duration FleetBudget::interval() const
{
    return std::max<core::Duration>(minInterval, m_nodes * intervalPerNode);
}

////////////////////////////////////////////////////////////
bool FleetBudget::isFresh(const Peer& peer, core::Timestamp now) const
{
    return now - peer.at <= freshIntervals * interval();
}

////////////////////////////////////////////////////////////
unsigned FleetBudget::freshPeers(core::Timestamp now) const
{
    return static_cast<unsigned>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return isFresh(peer.second, now); }));
}

} // namespace sailpath::balance::retry

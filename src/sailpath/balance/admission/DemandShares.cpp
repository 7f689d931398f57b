#include <sailpath/balance/admission/DemandShares.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance::admission
{
namespace
{
constexpr double      recentDecaySeconds = 2;
constexpr double      usualDecaySeconds = 60;
constexpr double      decayStepSeconds = 0.05; // Shorter steps than this are left to the next decay
constexpr auto        levelsLife = std::chrono::milliseconds{50};
constexpr double      pseudoCount = 3;       // Applicants at the usual rate that each share is credited with
constexpr double      forgottenBelow = 0.01; // Decayed counts of a share that is forgotten
constexpr std::size_t maxShares = 512;       // Further shares are counted as one
constexpr double      leastRankShare = 0.3;  // Part of its even share that a later rank keeps, so that none starves
constexpr auto        minLearnedFor = std::chrono::seconds{4};
constexpr int         bisections = 24;

} // namespace

////////////////////////////////////////////////////////////
DemandShares::DemandShares(core::Timestamp startedAt) :
m_decayedAt(startedAt)
{
}

////////////////////////////////////////////////////////////
void DemandShares::record(unsigned rank, std::uint32_t share, bool limited, core::Timestamp now)
{
    // A node that starts during a shortage knows no usual rates and takes the present ones for them.
    m_limited = limited && m_learnedFor >= minLearnedFor;
    decay(now);
    const bool counted = m_demands.size() < maxShares || m_demands.contains({rank, share});
    Demand&    demand = m_demands[{rank, counted ? share : 0}];
    demand.recent += 1;
    demand.usual += m_limited ? 0 : 1;
}

////////////////////////////////////////////////////////////
void DemandShares::decay(core::Timestamp now)
{
    const double passed = core::toSeconds(now - m_decayedAt);
    if (passed < decayStepSeconds)
        return;
    m_decayedAt = now;
    const double recent = std::exp(-passed / recentDecaySeconds);
    const double usual = m_limited ? 1 : std::exp(-passed / usualDecaySeconds);
    if (!m_limited)
        m_learnedFor += core::fromMilliseconds(1000 * passed);
    for (auto& [key, demand] : m_demands)
    {
        demand.recent *= recent;
        demand.usual *= usual;
    }
    std::erase_if(m_demands,
                  [](const auto& entry) { return entry.second.recent + entry.second.usual < forgottenBelow; });
}

////////////////////////////////////////////////////////////
double DemandShares::excess(const Demand& demand, double recent) const
{
    // Early on the decaying count covers less than its decay time.
    const double covered = usualDecaySeconds * (1 - std::exp(-core::toSeconds(m_learnedFor) / usualDecaySeconds));
    const double usual = demand.usual / std::max(covered, recentDecaySeconds) * recentDecaySeconds;
    return (recent + pseudoCount) / (usual + pseudoCount);
}

////////////////////////////////////////////////////////////
double DemandShares::levelFor(unsigned rank, double admitted) const
{
    double total = 0;
    double highest = 1;
    for (const auto& [key, demand] : m_demands)
    {
        total += key.first == rank ? demand.recent : 0;
        highest = std::max(highest, key.first == rank ? excess(demand, demand.recent) : 0);
    }
    double low = 0;
    for (int i = 0; i < bisections; ++i)
    {
        const double level = (low + highest) / 2;
        double       given = 0;
        for (const auto& [key, demand] : m_demands)
            given += key.first == rank ? demand.recent * std::min(1.0, level / excess(demand, demand.recent)) : 0;
        (given < admitted * total ? low : highest) = level;
    }
    return highest;
}

////////////////////////////////////////////////////////////
void DemandShares::computeLevels(double admitted, core::Timestamp now)
{
    m_levelsAt = now;
    m_levels.clear();
    std::map<unsigned, double> totals;
    double                     left = 0;
    for (const auto& [key, demand] : m_demands)
    {
        totals[key.first] += demand.recent;
        left += admitted * demand.recent;
    }
    for (const auto& [rank, total] : totals)
    {
        const double least = leastRankShare * admitted * total;
        const double given = std::clamp(left, std::min(least, total), total);
        left -= given;
        m_levels[rank] = total > 0 ? levelFor(rank, given / total) : 1;
    }
}

////////////////////////////////////////////////////////////
double DemandShares::probability(unsigned rank, std::uint32_t share, double admitted, core::Timestamp now)
{
    decay(now);
    if (now - m_levelsAt > levelsLife || m_levels.empty())
        computeLevels(admitted, now);
    auto found = m_demands.find({rank, share});
    if (found == m_demands.end())
        found = m_demands.find({rank, 0});
    const auto level = m_levels.find(rank);
    if (found == m_demands.end() || level == m_levels.end())
        return admitted;
    // The applicant itself is left out: a sender of few requests would always look busier than usual.
    const double others = std::max(0.0, found->second.recent - 1);
    return std::min(1.0, level->second / excess(found->second, others));
}

} // namespace sailpath::balance::admission

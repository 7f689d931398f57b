#include <sailpath/balance/CallerElapsedEstimator.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double nearBand = 0.01; // Of the longest time: what a new connection costs a first try
constexpr double nearShareIfUniform =
    0.4; // Share of requests near the longest, first tries, when all that can are refused
constexpr double nearShareIfSpread = 0.1; // When times are spread over a tenth and more
constexpr double logOddsToAccept = 3.5;   // Logarithm of the odds: three near ones beside the two longest and no other
constexpr double logOddsToDrop = -10;     // Chance alone is as far from it when most requests are further tries

} // namespace

////////////////////////////////////////////////////////////
core::Duration CallerElapsedEstimator::observe(core::Duration remaining)
{
    const double remainingMs = core::toMilliseconds(remaining);
    m_samplesMs.at(m_count % maxSamples) = remainingMs;
    ++m_count;
    const double fullMs = referenceMs();
    m_uniform = logOdds(fullMs) >= (m_uniform ? logOddsToDrop : logOddsToAccept);
    // Mean worth of days with trouble where callers begin with different times: 0.65 when all are believed, 0.72 so.
    return m_uniform ? core::fromMilliseconds(std::max(0.0, fullMs - remainingMs)) : core::Duration{};
}

////////////////////////////////////////////////////////////
bool CallerElapsedEstimator::timeoutsAreUniform() const
{
    return m_uniform;
}

////////////////////////////////////////////////////////////
double CallerElapsedEstimator::referenceMs() const
{
    // The second longest: one odd caller must not make all others late.
    double first = 0;
    double second = 0;
    for (std::size_t i = 0; i < std::min(m_count, maxSamples); ++i)
    {
        const double remaining = m_samplesMs.at(i);
        if (remaining > first)
            second = std::exchange(first, remaining);
        else
            second = std::max(second, remaining);
    }
    return second;
}

////////////////////////////////////////////////////////////
double CallerElapsedEstimator::logOdds(double referenceMs) const
{
    constexpr std::size_t referenceSamples = 2; // The two longest say nothing of how close others are to them
    const auto            count = std::min(m_count, maxSamples);
    if (count <= referenceSamples)
        return 0;
    const auto nearCount = std::count_if(m_samplesMs.begin(), m_samplesMs.begin() + static_cast<std::ptrdiff_t>(count),
                                         [=](double remaining) { return remaining >= (1 - nearBand) * referenceMs; });
    const auto nearOthers = static_cast<double>(nearCount) - referenceSamples;
    const auto distant = static_cast<double>(count) - static_cast<double>(nearCount);
    return nearOthers * std::log(nearShareIfUniform / nearShareIfSpread) +
           distant * std::log((1 - nearShareIfUniform) / (1 - nearShareIfSpread));
}

} // namespace sailpath::balance

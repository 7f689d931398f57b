#include <sailpath/routing/EstimatedFinishChoice.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
EstimatedFinishChoice::EstimatedFinishChoice(std::size_t sampleSize) :
m_sampleSize(sampleSize)
{
}

////////////////////////////////////////////////////////////
std::size_t EstimatedFinishChoice::choose(std::span<const Candidate> candidates, core::Random& random)
{
    std::size_t best = random.below(candidates.size());
    for (std::size_t i = 1; i < m_sampleSize; ++i)
    {
        const std::size_t other = random.below(candidates.size());
        if (candidates[other].finishMs < candidates[best].finishMs)
            best = other;
    }
    return best;
}

} // namespace sailpath::routing

#include <sailpath/routing/BaselineChoices.hpp>

#include <sailpath/routing/EstimatedFinishChoice.hpp>

namespace sailpath::routing
{
namespace
{
////////////////////////////////////////////////////////////
template <typename Key>
std::size_t betterOfTwo(std::span<const Candidate> candidates, core::Random& random, Key key)
{
    const std::size_t first = random.below(candidates.size());
    const std::size_t second = random.below(candidates.size());
    return key(candidates[second]) < key(candidates[first]) ? second : first;
}

} // namespace

////////////////////////////////////////////////////////////
std::size_t RandomChoice::choose(std::span<const Candidate> candidates, core::Random& random)
{
    return random.below(candidates.size());
}

////////////////////////////////////////////////////////////
std::size_t RoundRobinChoice::choose(std::span<const Candidate> candidates, core::Random&)
{
    std::size_t next = 0;
    while (next < candidates.size() && candidates[next].server <= m_lastServer)
        ++next;
    if (next == candidates.size())
        next = 0;
    m_lastServer = candidates[next].server;
    return next;
}

////////////////////////////////////////////////////////////
std::size_t LeastOwnChoice::choose(std::span<const Candidate> candidates, core::Random& random)
{
    std::size_t best = 0;
    std::size_t ties = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i)
    {
        if (candidates[i].ownInFlight > candidates[best].ownInFlight)
            continue;
        ties = candidates[i].ownInFlight < candidates[best].ownInFlight ? 1 : ties + 1;
        if (random.below(ties) == 0)
            best = i;
    }
    return best;
}

////////////////////////////////////////////////////////////
std::size_t TwoOwnChoice::choose(std::span<const Candidate> candidates, core::Random& random)
{
    return betterOfTwo(candidates, random, [](const Candidate& candidate) { return candidate.ownInFlight; });
}

////////////////////////////////////////////////////////////
std::size_t TwoReportedChoice::choose(std::span<const Candidate> candidates, core::Random& random)
{
    return betterOfTwo(candidates, random, [](const Candidate& candidate) { return candidate.reportedInFlight; });
}

////////////////////////////////////////////////////////////
std::unique_ptr<ServerChoice> makeServerChoice(std::string_view name)
{
    constexpr std::size_t sampleSize = 8;
    if (name == "estimated-finish")
        return std::make_unique<EstimatedFinishChoice>(sampleSize);
    if (name == "random")
        return std::make_unique<RandomChoice>();
    if (name == "round-robin")
        return std::make_unique<RoundRobinChoice>();
    if (name == "least-own")
        return std::make_unique<LeastOwnChoice>();
    if (name == "two-own")
        return std::make_unique<TwoOwnChoice>();
    if (name == "two-reported")
        return std::make_unique<TwoReportedChoice>();
    return nullptr;
}

} // namespace sailpath::routing

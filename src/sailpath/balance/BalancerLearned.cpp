// What this node has learned: exported for a snapshot, and the start from one.

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
snapshot::LearnedState Balancer::learned(core::Timestamp now) const
{
    snapshot::LearnedState state;
    for (const auto& [name, pool] : m_pools)
        pool->addLearned(state, now);
    return state;
}

////////////////////////////////////////////////////////////
void Balancer::applyLearned(const snapshot::LearnedState& state)
{
    for (const auto& [name, pool] : m_pools)
        pool->startFrom(state);
}

} // namespace sailpath::balance

#pragma once

#include <sailpath/deployment/DeclaredState.hpp>

#include <algorithm>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief Merge a published state, complete or changes only, into the state before
////////////////////////////////////////////////////////////
inline deployment::DeclaredState merged(const deployment::DeclaredState& before, deployment::DeclaredState update)
{
    if (update.whole)
        return update;
    std::vector<deployment::Instance> instances = before.instances;
    const auto                        drop = [&instances](const deployment::Instance& instance)
    { std::erase_if(instances, [&](const auto& known) { return known.id == instance.id; }); };
    for (const deployment::Instance& instance : update.gone)
        drop(instance);
    for (const deployment::Instance& instance : update.instances)
    {
        drop(instance);
        instances.push_back(instance);
    }
    std::sort(instances.begin(), instances.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    update.whole = true;
    update.gone.clear();
    update.instances = std::move(instances);
    return update;
}

} // namespace sailpath::support

#pragma once

#include <sailpath/deployment/DeclaredState.hpp>

#include <algorithm>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief What has been declared in all, after one more telling
////////////////////////////////////////////////////////////
inline deployment::Declared merged(const deployment::Declared& before, deployment::Declared told)
{
    if (told.whole)
        return told;
    std::vector<deployment::Instance> instances = before.instances;
    const auto                        drop = [&instances](const deployment::Instance& instance)
    { std::erase_if(instances, [&](const auto& known) { return known.id == instance.id; }); };
    for (const deployment::Instance& instance : told.gone)
        drop(instance);
    for (const deployment::Instance& instance : told.instances)
    {
        drop(instance);
        instances.push_back(instance);
    }
    std::sort(instances.begin(), instances.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    told.whole = true;
    told.gone.clear();
    told.instances = std::move(instances);
    return told;
}

} // namespace sailpath::support

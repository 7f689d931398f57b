#pragma once

#include <sailpath/deployment/Instance.hpp>

#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Changes of the usable instances
////////////////////////////////////////////////////////////
struct InstanceChanges
{
    std::vector<Instance> present; //!< New or changed instances
    std::vector<Instance> gone;    //!< Instances that are no longer usable, as last known

    [[nodiscard]] bool empty() const
    {
        return present.empty() && gone.empty();
    }
};

} // namespace sailpath::deployment

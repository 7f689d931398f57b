#pragma once

#include <sailpath/config/Service.hpp>

#include <string>
#include <vector>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Complete declaration of one workspace; always replaced as a whole
////////////////////////////////////////////////////////////
struct Workspace
{
    std::string          name;               //!< Unique; second label of the host names of its services
    double               measuringBudget{0}; //!< Limit on server time for probes, in ms per second over all VMs
    std::vector<Service> services;           //!< Services of the workspace

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

} // namespace sailpath::config

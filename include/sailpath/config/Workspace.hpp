#pragma once

#include <sailpath/config/Service.hpp>

#include <string>
#include <vector>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief All that one workspace's operators declare; changed as a whole
////////////////////////////////////////////////////////////
struct Workspace
{
    std::string          name;               //!< Unique; also the second label of its services' hosts
    double               measuringBudget{0}; //!< Server-milliseconds a second for probes, over all VMs
    std::vector<Service> services;           //!< Its services

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

} // namespace sailpath::config

#pragma once

#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <memory>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What traffic is to be handled by: the operators' word and the servers'
////////////////////////////////////////////////////////////
struct Declared
{
    std::shared_ptr<const Deployment> deployment;     //!< Null before the first is known
    std::vector<Instance>             instances;      //!< All that are to be believed in, leaving ones included
    unsigned                          nodes{1};       //!< Nodes that share budgets, at least
    bool                              suspect{false}; //!< Instances that are missing may have been lost by the store
};

} // namespace sailpath::deployment

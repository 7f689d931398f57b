#pragma once

#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/deployment/Quarantine.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What traffic is to be handled by: the operators' word and the servers'
////////////////////////////////////////////////////////////
struct Declared
{
    std::shared_ptr<const Deployment> deployment;     //!< Null before the first is known
    bool                              whole{true};    //!< `instances` is all there are; else what changed since
    std::vector<Instance>             instances;      //!< To be believed in, leaving ones included
    std::vector<Instance>             gone;           //!< Not believed in any more, as they were; applied first
    unsigned                          nodes{1};       //!< Nodes that share budgets, at least
    bool                              suspect{false}; //!< Instances that are missing may have been lost by the store
    std::set<std::string>             evacuated;      //!< Data centres whose instances are to be sent nothing more
    std::vector<Quarantine>           quarantines;    //!< Requests that are to be sent to no server, as the store says
    std::vector<std::uint32_t>        members;        //!< Short hashes of all nodes heard of lately, this one included;
                                                      //!< empty when it cannot tell whether there are others
};

} // namespace sailpath::deployment

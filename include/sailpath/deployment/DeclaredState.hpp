#pragma once

#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/deployment/Peer.hpp>
#include <sailpath/deployment/Quarantine.hpp>
#include <sailpath/snapshot/LearnedState.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief State that the data path handles traffic by: the operators' deployment and the servers' announcements
////////////////////////////////////////////////////////////
struct DeclaredState
{
    std::shared_ptr<const Deployment> deployment; //!< Null until the first deployment is known
    bool                  whole{true}; //!< `instances` is complete; otherwise it holds changes since the state before
    std::vector<Instance> instances;   //!< Instances to use, draining ones included
    std::vector<Instance> gone;        //!< Instances to drop, as last declared; applied before `instances`
    unsigned              nodes{1};    //!< Lower bound of the nodes that share budgets
    bool                  suspect{false}; //!< The store failed recently, so it may have lost entries of live instances
    std::set<std::string> evacuated;      //!< Data centres whose instances get no more requests
    std::vector<Quarantine>    quarantines; //!< Quarantined requests in the store, which are sent to no server
    std::vector<std::uint32_t> members;     //!< Short hashes of all nodes heard of recently, this one included;
                                            //!< empty when this node cannot tell whether others exist
    std::vector<Peer>          peers;       //!< Other nodes heard of recently; some of them in a large fleet
    std::shared_ptr<const snapshot::LearnedState> learned; //!< Snapshot in the store; null without a usable one
};

} // namespace sailpath::deployment

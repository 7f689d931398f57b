#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What a node heard from an instance of the requests that it takes, and what it sent there since it told last
///
/// Or the same of a workspace: its quota, and what the node sent for it.
////////////////////////////////////////////////////////////
struct LimitNews
{
    std::uint32_t  node{0};      //!< Short hash of the node's address; 0 is this node
    std::uint32_t  server{0};    //!< `lifeHash` of the instance, or `shortHash` of the workspace
    double         perSecond{0}; //!< That it takes from all nodes together; infinite for everything
    core::Duration ago{};        //!< From its word until this was told
    double         sent{0};      //!< Requests of the node; of those before it was told, what still counts
    double         doublings{0}; //!< How open the instance is to the node: binary logarithm of a request's chance
};

} // namespace sailpath::deployment

#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/membership/Member.hpp>
#include <sailpath/membership/MemberTable.hpp>

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Settings of one node's control logic
////////////////////////////////////////////////////////////
struct ControllerSettings
{
    membership::Member             self;                                      //!< This VM
    membership::MembershipSettings membership;                                //!< Constants of membership
    core::Duration                 exchangeInterval{std::chrono::seconds{1}}; //!< Between two exchanges with peers
    unsigned                       fanout{3};                             //!< Peers told at once of a new configuration
    unsigned                       relays{3};                             //!< VMs that watch the store
    unsigned                       probeGroups{4};                        //!< Groups of workspaces with one prober each
    core::Duration                 leaseLength{std::chrono::seconds{10}}; //!< Of a prober's lease
    core::Duration                 listInterval{std::chrono::seconds{30}}; //!< Between two readings of the list of VMs
    core::Duration                 initialReadSpread{std::chrono::seconds{1}}; //!< A new VM reads the store within this
    std::size_t                    maxClaims{6};                               //!< Claims in a digest
    std::size_t                    maxReports{6};                              //!< Reports in a digest
    std::size_t                    batchBytes{512UL * 1024};                   //!< Bound on documents in one answer
    std::uint64_t                  seed{1};                                    //!< Seed of all random choices
};

} // namespace sailpath::node

#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/membership/Member.hpp>
#include <sailpath/membership/MemberTable.hpp>

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Settings of one node's `Controller`
////////////////////////////////////////////////////////////
struct ControllerSettings
{
    membership::Member             self;                      //!< This VM's member entry
    membership::MembershipSettings membership;                //!< Settings of membership
    core::Duration exchangeInterval{std::chrono::seconds{1}}; //!< Mean interval between two digest exchanges
    unsigned       fanout{3};                                 //!< Random peers that a change is sent to at once
    unsigned       relays{3};                                 //!< Number of VMs that watch the store
    unsigned       probeGroups{4}; //!< Number of groups of workspaces; one VM probes for each group
    core::Duration leaseLength{std::chrono::seconds{10}};      //!< Length of the lease that a prober holds
    core::Duration listInterval{std::chrono::seconds{30}};     //!< Interval between reads of the list of VMs
    core::Duration initialReadSpread{std::chrono::seconds{1}}; //!< Longest random delay of the first store read
    std::size_t    maxClaims{6};                               //!< Maximum number of membership claims in a digest
    std::size_t    maxReports{6};                              //!< Maximum number of server reports in a digest
    std::size_t    batchBytes{512UL * 1024};                   //!< Maximum size of the documents in one answer, bytes
    std::uint64_t  seed{1};                                    //!< Seed of the random number generator
};

} // namespace sailpath::node

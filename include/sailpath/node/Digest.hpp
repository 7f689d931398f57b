#pragma once

#include <sailpath/membership/Member.hpp>
#include <sailpath/node/ServerReport.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Membership, revision and server reports that a peer sends in one exchange
////////////////////////////////////////////////////////////
struct Digest
{
    membership::Member              from;        //!< Member entry of the sender
    std::uint64_t                   revision{0}; //!< Revision up to which the sender's configuration is complete
    std::vector<membership::Member> claims;      //!< Claims about the status of members
    std::vector<ServerReport>       reports;     //!< Recent reports about servers
};

} // namespace sailpath::node

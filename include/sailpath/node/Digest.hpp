#pragma once

#include <sailpath/membership/Member.hpp>
#include <sailpath/node/ServerReport.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief What two peers tell each other in one exchange
////////////////////////////////////////////////////////////
struct Digest
{
    membership::Member              from;        //!< The sender
    std::uint64_t                   revision{0}; //!< Revision up to which its configuration is complete
    std::vector<membership::Member> claims;      //!< Claims about members
    std::vector<ServerReport>       reports;     //!< Fresh reports about servers
};

} // namespace sailpath::node

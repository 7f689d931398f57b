#pragma once

#include <cstdint>
#include <string_view>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief An instance's failure of a request that it had accepted, as a node observed it
////////////////////////////////////////////////////////////
struct ServerFailure
{
    std::uint32_t node{0};   //!< Short hash of the observing node's address; 0 is this node
    std::uint32_t server{0}; //!< `instanceHash` of the instance
};

////////////////////////////////////////////////////////////
/// \brief Hash a name to 32 bits; among a thousand names, two collide in one of ten thousand fleets
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint32_t shortHash(std::string_view name);

} // namespace sailpath::deployment

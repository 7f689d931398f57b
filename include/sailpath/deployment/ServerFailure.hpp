#pragma once

#include <cstdint>
#include <string_view>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief A node saw an instance fail a request that it had taken
////////////////////////////////////////////////////////////
struct ServerFailure
{
    std::uint32_t node{0};   //!< Short hash of the node's address; 0 is this node
    std::uint32_t server{0}; //!< `lifeHash` of the instance
};

////////////////////////////////////////////////////////////
/// \brief A name in four bytes; two of a thousand names are alike once in ten thousand fleets
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint32_t shortHash(std::string_view name);

} // namespace sailpath::deployment

#pragma once

#include <cstdint>
#include <string_view>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Hash a text to 64 bits, the same on every VM (XXH3)
///
/// \param text Bytes to hash
/// \param seed Makes the hashes of different uses independent
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

////////////////////////////////////////////////////////////
/// \brief Mix two short hashes to 64 bits, each of which depends on all input bits (finalizer of SplitMix64)
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint64_t mix(std::uint32_t first, std::uint32_t second);

} // namespace sailpath::core

#include <sailpath/core/Hash.hpp>

#include <xxhash.h>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

////////////////////////////////////////////////////////////
std::uint64_t mix(std::uint32_t first, std::uint32_t second)
{
    std::uint64_t bits = (std::uint64_t{first} << 32U) | second;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    return bits ^ (bits >> 31U);
}

} // namespace sailpath::core

#include <sailpath/core/Hash.hpp>

#include <xxhash.h>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace sailpath::core

#include <sailpath/membership/Rendezvous.hpp>

#include <sailpath/core/Hash.hpp>

#include <cstdint>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
bool isChosen(std::string_view task, std::string_view self, std::span<const std::string_view> members,
              std::size_t count)
{
    const std::uint64_t seed = core::hash(task);
    const std::uint64_t ownWeight = core::hash(self, seed);
    std::size_t         heavier = 0;
    for (const std::string_view member : members)
    {
        const std::uint64_t weight = core::hash(member, seed);
        if (weight > ownWeight || (weight == ownWeight && member < self))
            ++heavier;
    }
    return heavier < count;
}

} // namespace sailpath::membership

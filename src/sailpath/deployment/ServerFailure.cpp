#include <sailpath/core/Hash.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/deployment/ServerFailure.hpp>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
std::uint32_t shortHash(std::string_view name)
{
    return static_cast<std::uint32_t>(core::hash(name));
}

////////////////////////////////////////////////////////////
std::uint32_t instanceHash(const Instance& instance)
{
    return static_cast<std::uint32_t>(core::hash(instance.id, instance.born));
}

} // namespace sailpath::deployment

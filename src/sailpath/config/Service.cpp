#include <sailpath/config/Service.hpp>

#include <algorithm>

namespace sailpath::config
{
namespace
{
////////////////////////////////////////////////////////////
bool matches(const Route& route, std::string_view method, std::string_view path)
{
    if (!path.starts_with(route.path))
        return false;
    if (route.methods.empty())
        return true;
    return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

} // namespace

////////////////////////////////////////////////////////////
const Route& Service::routeFor(std::string_view method, std::string_view path) const
{
    // A request without a declared route must not be executed twice: this is the safe default.
    static const Route defaultRoute;

    const Route* best = nullptr;
    for (const Route& route : routes)
    {
        if (matches(route, method, path) && (!best || route.path.size() > best->path.size()))
            best = &route;
    }
    return best ? *best : defaultRoute;
}

} // namespace sailpath::config

#include <sailpath/config/Service.hpp>

#include <algorithm>

namespace sailpath::config
{
namespace
{
////////////////////////////////////////////////////////////
bool covers(const Route& route, std::string_view method, std::string_view path)
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
    // Without a rule the safe assumption holds: the request must not be repeated.
    static const Route undeclared;

    const Route* best = nullptr;
    for (const Route& route : routes)
    {
        if (covers(route, method, path) && (!best || route.path.size() > best->path.size()))
            best = &route;
    }
    return best ? *best : undeclared;
}

} // namespace sailpath::config

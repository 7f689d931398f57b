#include <sailpath/deployment/RouteTable.hpp>

#include <algorithm>
#include <cctype>

namespace sailpath::deployment
{
namespace
{
////////////////////////////////////////////////////////////
std::string normalHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    if (name.ends_with('.'))
        name.pop_back();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

////////////////////////////////////////////////////////////
RouteTable::RouteTable(std::shared_ptr<const Deployment> deployment) :
m_deployment(std::move(deployment))
{
    for (const HostRoute& route : m_deployment->routes)
        m_byHost[normalHost(route.host)].push_back(&route);
    for (auto& [host, routes] : m_byHost)
        std::stable_sort(routes.begin(), routes.end(),
                         [](const HostRoute* left, const HostRoute* right)
                         { return left->pathPrefix.size() > right->pathPrefix.size(); });
}

////////////////////////////////////////////////////////////
const HostRoute* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(normalHost(host));
    if (routes == m_byHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(),
                                    [path](const HostRoute* route) { return path.starts_with(route->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

} // namespace sailpath::deployment

#pragma once

#include <sailpath/deployment/Deployment.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Finds the route of a request
////////////////////////////////////////////////////////////
class RouteTable
{
public:
    RouteTable() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Index the routes of a deployment
    ///
    /// \param deployment Kept alive by the table
    ////////////////////////////////////////////////////////////
    explicit RouteTable(std::shared_ptr<const Deployment> deployment);

    ////////////////////////////////////////////////////////////
    /// \brief Find the host's route with the longest path prefix that matches the path
    ///
    /// \param host Value of the Host header; the port and the letters' case are ignored
    /// \param path Path, with or without a query
    ///
    /// \return Null when no route matches
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const HostRoute* find(std::string_view host, std::string_view path) const;

private:
    std::shared_ptr<const Deployment>                              m_deployment; //!< Owner of the routes
    std::unordered_map<std::string, std::vector<const HostRoute*>> m_byHost; //!< Routes by host, longest prefix first
};

} // namespace sailpath::deployment

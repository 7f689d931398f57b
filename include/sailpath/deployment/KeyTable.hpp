#pragma once

#include <sailpath/deployment/Deployment.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Finds the workspace that a key belongs to
////////////////////////////////////////////////////////////
class KeyTable
{
public:
    KeyTable() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Index the keys of a deployment
    ///
    /// \param deployment Kept alive by the table
    ////////////////////////////////////////////////////////////
    explicit KeyTable(std::shared_ptr<const Deployment> deployment);

    [[nodiscard]] const Workspace* find(std::string_view key) const; //!< Null when the key belongs to no workspace
    [[nodiscard]] bool             needed() const;                   //!< Requests must carry a key

private:
    std::shared_ptr<const Deployment> m_deployment; //!< Owner of the workspaces
    std::unordered_map<std::string_view, const Workspace*>
        m_byKey; //!< Workspaces by key; the keys are views into `m_deployment`
};

} // namespace sailpath::deployment

#include <sailpath/deployment/KeyTable.hpp>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
KeyTable::KeyTable(std::shared_ptr<const Deployment> deployment) :
m_deployment(std::move(deployment))
{
    for (const Workspace& workspace : m_deployment->workspaces)
    {
        for (const std::string& key : workspace.keys)
            m_byKey.emplace(key, &workspace);
    }
}

////////////////////////////////////////////////////////////
const Workspace* KeyTable::find(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

////////////////////////////////////////////////////////////
bool KeyTable::needed() const
{
    return m_deployment && !m_deployment->workspaces.empty();
}

} // namespace sailpath::deployment

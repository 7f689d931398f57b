#include <sailpath/limits/WorkspaceShares.hpp>

#include <cassert>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
WorkspaceShares::WorkspaceShares(std::size_t places) :
m_places(places)
{
}

////////////////////////////////////////////////////////////
bool WorkspaceShares::acquire(std::string_view workspace)
{
    const std::size_t free = m_places - m_held;
    auto              found = m_byWorkspace.find(workspace);
    const std::size_t held = found == m_byWorkspace.end() ? 0 : found->second;
    if (free == 0 || static_cast<double>(held) >= thresholdFactor * static_cast<double>(free))
        return false;

    if (found == m_byWorkspace.end())
        found = m_byWorkspace.emplace(std::string(workspace), 0).first;
    ++found->second;
    ++m_held;
    return true;
}

////////////////////////////////////////////////////////////
void WorkspaceShares::release(std::string_view workspace)
{
    const auto found = m_byWorkspace.find(workspace);
    assert(found != m_byWorkspace.end() && found->second > 0);
    --found->second;
    --m_held;
}

////////////////////////////////////////////////////////////
std::size_t WorkspaceShares::held(std::string_view workspace) const
{
    const auto found = m_byWorkspace.find(workspace);
    return found == m_byWorkspace.end() ? 0 : found->second;
}

////////////////////////////////////////////////////////////
std::size_t WorkspaceShares::totalHeld() const
{
    return m_held;
}

} // namespace sailpath::limits

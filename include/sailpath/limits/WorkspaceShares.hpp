#pragma once

#include <sailpath/core/StringMap.hpp>

#include <string_view>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Divides one VM's places for requests among workspaces
///
/// A workspace may hold at most `eagerness` times the places that are still
/// free. So one that floods the VM always leaves room for the next, no
/// shares need be declared, and a lone workspace still gets most of it
/// (dynamic thresholds: Choudhury and Hahne, IEEE/ACM Transactions on
/// Networking 6(2), 1998).
////////////////////////////////////////////////////////////
class WorkspaceShares
{
public:
    static constexpr double eagerness = 4.0; //!< A lone workspace may hold 4/5 of the places

    ////////////////////////////////////////////////////////////
    /// \brief Create with all places free
    ///
    /// \param places Requests that the VM handles at once
    ////////////////////////////////////////////////////////////
    explicit WorkspaceShares(std::size_t places);

    ////////////////////////////////////////////////////////////
    /// \brief Take a place
    ///
    /// \return False when the workspace holds its share or no place is free
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool acquire(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Give a place back
    ////////////////////////////////////////////////////////////
    void release(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Places that a workspace holds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t held(std::string_view workspace) const;

    ////////////////////////////////////////////////////////////
    /// \brief Places that are held in all
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t totalHeld() const;

private:
    std::size_t                  m_places;      //!< Places in all
    std::size_t                  m_held{0};     //!< Places held
    core::StringMap<std::size_t> m_byWorkspace; //!< Places held by each
};

} // namespace sailpath::limits

#pragma once

#include <sailpath/core/StringMap.hpp>

#include <string_view>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Divides the request capacity of one VM among workspaces by dynamic thresholds
///
/// A workspace may hold at most `thresholdFactor` times the places that are
/// still free. A workspace that floods the VM thus always leaves room for
/// others, shares need no configuration, and a single active workspace can
/// still use most of the capacity (dynamic thresholds: Choudhury and Hahne,
/// IEEE/ACM Transactions on Networking 6(2), 1998).
////////////////////////////////////////////////////////////
class WorkspaceShares
{
public:
    static constexpr double thresholdFactor = 4.0; //!< Lets a single active workspace hold 4/5 of the places

    ////////////////////////////////////////////////////////////
    /// \brief Create the division with all places free
    ///
    /// \param places Requests that the VM handles concurrently
    ////////////////////////////////////////////////////////////
    explicit WorkspaceShares(std::size_t places);

    ////////////////////////////////////////////////////////////
    /// \brief Acquire a place for a request of a workspace
    ///
    /// \return False when the workspace has reached its threshold or no place is free
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool acquire(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Release a place that the workspace has acquired
    ////////////////////////////////////////////////////////////
    void release(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief Return the number of places that a workspace holds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t held(std::string_view workspace) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the number of places that all workspaces hold
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t totalHeld() const;

private:
    std::size_t                  m_places;      //!< Total number of places
    std::size_t                  m_held{0};     //!< Places held by all workspaces
    core::StringMap<std::size_t> m_byWorkspace; //!< Places held by each workspace
};

} // namespace sailpath::limits

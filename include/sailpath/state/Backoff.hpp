#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief Waiting times between tries that fail: growing, bounded, spread at random
///
/// After an outage the VMs come back spread over the longest wait, not all
/// at once.
////////////////////////////////////////////////////////////
class Backoff
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a backoff
    ///
    /// \param first   Shortest wait
    /// \param longest Longest wait
    ////////////////////////////////////////////////////////////
    Backoff(core::Duration first, core::Duration longest);

    ////////////////////////////////////////////////////////////
    /// \brief Wait after a failure; grows with each call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration next(core::Random& random);

    ////////////////////////////////////////////////////////////
    /// \brief Start over after a success
    ////////////////////////////////////////////////////////////
    void reset();

private:
    core::Duration m_minWait; //!< Shortest wait
    core::Duration m_maxWait; //!< Longest wait
    core::Duration m_last;    //!< Previous wait
};

} // namespace sailpath::state

#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief Exponential backoff with an upper bound and random jitter
///
/// The jitter spreads the retries of all VMs after an outage over the
/// longest wait, so that they do not arrive at once.
////////////////////////////////////////////////////////////
class Backoff
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a backoff
    ///
    /// \param minWait Shortest wait
    /// \param maxWait Longest wait
    ////////////////////////////////////////////////////////////
    Backoff(core::Duration minWait, core::Duration maxWait);

    ////////////////////////////////////////////////////////////
    /// \brief Return the wait after a failure; the range of waits grows with each call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration next(core::Random& random);

    ////////////////////////////////////////////////////////////
    /// \brief Return to the shortest wait after a success
    ////////////////////////////////////////////////////////////
    void reset();

private:
    core::Duration m_minWait; //!< Shortest wait
    core::Duration m_maxWait; //!< Longest wait
    core::Duration m_base;    //!< One third of the next upper bound, unless that is the longest wait
};

} // namespace sailpath::state

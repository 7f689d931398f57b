#pragma once

#include <sailpath/core/Time.hpp>

#include <array>
#include <cstddef>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Estimates how long the caller of a request has been trying, from the remaining time that callers state
///
/// Load pattern: during an overload rejected callers retry. Capacity given to a caller that can no longer be answered
/// in time is taken from one that still can.
///
/// If all callers of a route start with the same timeout, the difference between that timeout and the stated remaining
/// time is the time already spent. If callers start with different timeouts, the difference says nothing, and most
/// first attempts would be taken for late retries. The estimate is therefore used only while a large share of the
/// latest remaining times lies close to the longest one, as those of first attempts do.
///
/// Limits: no estimate is made until some requests were observed since the start, nor for a route whose callers start
/// with different timeouts.
////////////////////////////////////////////////////////////
class CallerElapsedEstimator
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record the remaining time that a caller states
    ///
    /// \param remaining Time until the caller gives up
    ///
    /// \return Time since the first attempt of the caller; 0 if it cannot be estimated
    ////////////////////////////////////////////////////////////
    core::Duration observe(core::Duration remaining);

    [[nodiscard]] bool timeoutsAreUniform() const; //!< Whether callers seem to start with the same timeout

private:
    static constexpr std::size_t maxSamples = 64; // Requests; a few seconds of one route at one of hundreds of nodes

    [[nodiscard]] double referenceMs() const;
    /// \brief Return the logarithm of the odds that callers start with the same timeout
    [[nodiscard]] double logOdds(double referenceMs) const;

    std::array<double, maxSamples> m_samplesMs{};    //!< Latest stated remaining times, milliseconds; a ring buffer
    std::size_t                    m_count{0};       //!< Remaining times recorded since the start
    bool                           m_uniform{false}; //!< Whether the timeouts are taken for equal
};

} // namespace sailpath::balance

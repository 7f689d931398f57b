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
/// All nodes may restart while callers with different timeouts wait for a second or more. A node that starts from a
/// snapshot knows the shortest usual timeout and so the least time that such callers have spent.
///
/// Limits: no estimate is made until some requests were observed since the start, nor, without a snapshot, for a
/// route whose callers start with different timeouts.
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

    ////////////////////////////////////////////////////////////
    /// \brief Assume that first attempts state at least this remaining time, as learned in calm traffic
    ///
    /// With different timeouts, a caller that states less has been trying for the difference at least. The assumption
    /// ends when a run of callers speaks against it.
    ////////////////////////////////////////////////////////////
    void startFrom(core::Duration shortest);

    /// \brief Return the remaining time that nine in ten recent requests state at least; 0 until enough were recorded
    [[nodiscard]] core::Duration shortest() const;

    [[nodiscard]] bool timeoutsAreUniform() const; //!< Whether callers seem to start with the same timeout

private:
    static constexpr std::size_t maxSamples = 64; // Requests; a few seconds of one route at one of hundreds of nodes

    /// \brief Record a remaining time against the assumed shortest one, and return the least time already spent
    [[nodiscard]] double elapsedAtLeastMs(double remainingMs);
    [[nodiscard]] double referenceMs() const;
    /// \brief Return the logarithm of the odds that callers start with the same timeout
    [[nodiscard]] double logOdds(double referenceMs) const;

    std::array<double, maxSamples> m_samplesMs{};     //!< Latest stated remaining times, milliseconds; a ring buffer
    std::size_t                    m_count{0};        //!< Remaining times recorded since the start
    double                         m_shortestMs{0};   //!< See `startFrom`; 0 for no assumption
    unsigned                       m_shorterInRow{0}; //!< Latest remaining times below it, one after the other
    bool                           m_uniform{false};  //!< Whether the timeouts are taken for equal
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/core/Time.hpp>

#include <array>
#include <cstddef>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief For how long the caller of a request has been trying, from the time that it says it has left
///
/// Load pattern: in a shortage refused callers come back. Room given to one
/// that cannot be in time any more is taken from one that still can.
///
/// Callers of a route that begin with the same time give themselves away by
/// what they lack of it. Where they begin with different times, what one lacks
/// says nothing: most first tries would be taken for late. So the belief holds
/// only while the times of a good part of the latest requests lie close
/// together at the top, as those of first tries do.
/// Limits: after a start nothing is believed until some requests were seen; a
/// route whose callers begin with different times never tells.
////////////////////////////////////////////////////////////
class CallerElapsedEstimator
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Hear what a caller says
    ///
    /// \param left Time that it still has
    ///
    /// \return For how long it has been trying; 0 when that cannot be told
    ////////////////////////////////////////////////////////////
    core::Duration observe(core::Duration remaining);

    [[nodiscard]] bool timeoutsAreUniform() const; //!< Callers begin with the same time, as far as is known

private:
    static constexpr std::size_t maxSamples = 64; // Requests: some seconds of one route at one of hundreds of nodes

    [[nodiscard]] double referenceMs() const;
    [[nodiscard]] double logOdds(double referenceMs) const; //!< Logarithm of the odds that callers begin alike

    std::array<double, maxSamples> m_samplesMs{};    //!< Milliseconds that the latest callers said they had
    std::size_t                    m_count{0};       //!< Heard so far
    bool                           m_uniform{false}; //!< The belief holds
};

} // namespace sailpath::balance

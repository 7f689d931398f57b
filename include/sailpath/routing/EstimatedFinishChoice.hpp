#pragma once

#include <sailpath/routing/ServerChoice.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Default strategy: chooses the earliest estimated finish among a few random candidates
///
/// Choosing the best of all candidates would send the requests of every node
/// to the same server, since all nodes see the same stale reports.
////////////////////////////////////////////////////////////
class EstimatedFinishChoice : public ServerChoice
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the strategy
    ///
    /// \param sampleSize Number of random candidates compared for each choice
    ////////////////////////////////////////////////////////////
    explicit EstimatedFinishChoice(std::size_t sampleSize);

    ////////////////////////////////////////////////////////////
    /// \copydoc ServerChoice::choose
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t choose(std::span<const Candidate> candidates, core::Random& random) override;

private:
    std::size_t m_sampleSize; //!< Number of random candidates compared for each choice
};

} // namespace sailpath::routing

#pragma once

#include <sailpath/routing/ServerChoice.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief The product's strategy: the earliest estimated finish among a few random candidates
///
/// Taking the best of all would send every node to the same server, since
/// all of them see the same stale reports.
////////////////////////////////////////////////////////////
class EstimatedFinishChoice : public ServerChoice
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the strategy
    ///
    /// \param draws Random candidates compared for each choice
    ////////////////////////////////////////////////////////////
    explicit EstimatedFinishChoice(std::size_t draws);

    ////////////////////////////////////////////////////////////
    /// \copydoc ServerChoice::choose
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t choose(std::span<const Candidate> candidates, core::Random& random) override;

private:
    std::size_t m_draws; //!< Candidates compared
};

} // namespace sailpath::routing

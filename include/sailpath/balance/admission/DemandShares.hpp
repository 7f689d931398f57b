#pragma once

#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief Divides the room of a service among ranks, and among workspaces of one rank
///
/// Answers the load pattern of a few workspaces that send a multiple of their usual to a service that is short of room.
/// Shares of one rank are max-min fair, weighted by what each usually sends at this node.
////////////////////////////////////////////////////////////
class DemandShares
{
public:
    explicit DemandShares(core::Timestamp startedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Record an applicant
    ///
    /// \param share   Short hash of its workspace or route
    /// \param limited Whether the service is short of room; then the usual rates stay as they are
    ////////////////////////////////////////////////////////////
    void record(unsigned rank, std::uint32_t share, bool limited, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return the probability with which an applicant is admitted
    ///
    /// \param admitted Share of all applicants to admit, 0 to 1
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double probability(unsigned rank, std::uint32_t share, double admitted, core::Timestamp now);

private:
    struct Demand
    {
        double recent{0}; //!< Decaying count of applicants, over about `recentDecay`
        double usual{0};  //!< Decaying count of applicants, over about `usualDecay`
    };

    using Key = std::pair<unsigned, std::uint32_t>; //!< Rank and share

    void                 decay(core::Timestamp now);
    [[nodiscard]] double excess(const Demand& demand, double recent) const;
    [[nodiscard]] double levelFor(unsigned rank, double admitted) const;
    void                 computeLevels(double admitted, core::Timestamp now);

    std::map<Key, Demand>      m_demands;        //!< By rank and share; bounded
    core::Timestamp            m_decayedAt;      //!< Time of the last decay
    core::Duration             m_learnedFor{};   //!< Time over which the usual rates were learned
    bool                       m_limited{false}; //!< Whether the usual rates stay as they are
    core::Timestamp            m_levelsAt{};     //!< Time of the last computation of `m_levels`
    std::map<unsigned, double> m_levels;         //!< By rank: multiple of its usual that a share is given
};

} // namespace sailpath::balance::admission

#pragma once

#include <sailpath/balance/quotas/QuotaApplicant.hpp>
#include <sailpath/core/Random.hpp>

#include <array>
#include <cstddef>

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
/// \brief Order in which the requests of a workspace get its quota
///
/// Load pattern: a workspace sends ten times its quota and its refused callers
/// return, so that most of the requests come from callers that are already
/// late. A draw by lot spends most of the quota on them.
///
/// A request's place is the part of the latest requests that are preferred to
/// it. Places are spread evenly over 0 to 1, so as many requests are below a
/// given place as a lot would let in. A part of the requests gets its place by
/// lot, so that none is starved if the signs are wrong.
////////////////////////////////////////////////////////////
class ApplicantOrder
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Return the place of a request among the latest ones, 0 for the first to 1, and remember the request
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double place(const QuotaApplicant& applicant, core::Random& random);

private:
    static constexpr std::size_t maxSamples = 64; // Requests

    std::array<float, maxSamples> m_scores{};     //!< Of the latest requests, a ring buffer; lower ones go first
    std::array<float, maxSamples> m_rankScores{}; //!< The same without the sign of returning callers
    std::size_t                   m_count{0};     //!< Requests so far
};

} // namespace sailpath::balance::quotas

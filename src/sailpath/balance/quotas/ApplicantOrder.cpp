#include <sailpath/balance/quotas/ApplicantOrder.hpp>

#include <algorithm>

namespace sailpath::balance::quotas
{
namespace
{
constexpr double byLotShare = 0.1; // Of the requests
constexpr double rankScore = 0.25; // A rank weighs as much as a quarter of the certainty that a caller returns
constexpr double maxRankScore = 1;
constexpr double lateScore = 4; // After all others

////////////////////////////////////////////////////////////
double rankScoreOf(const QuotaApplicant& applicant)
{
    return std::min(maxRankScore, rankScore * applicant.rank) + (applicant.late ? lateScore : 0);
}

} // namespace

////////////////////////////////////////////////////////////
double ApplicantOrder::place(const QuotaApplicant& applicant, core::Random& random)
{
    const std::size_t newest = m_count % maxSamples;
    m_rankScores.at(newest) = static_cast<float>(rankScoreOf(applicant));
    m_scores.at(newest) = static_cast<float>(rankScoreOf(applicant) + applicant.returning);
    ++m_count;
    const double among = random.unit();
    if (random.unit() < byLotShare)
        return among;
    const auto& scores = random.unit() < applicant.confidence ? m_scores : m_rankScores;
    const float score = scores.at(newest);
    const auto  count = std::min(m_count, maxSamples);
    const auto  end = scores.begin() + static_cast<std::ptrdiff_t>(count);
    const auto  before = std::count_if(scores.begin(), end, [score](float other) { return other < score; });
    const auto  equal = std::count(scores.begin(), end, score);
    return (static_cast<double>(before) + among * static_cast<double>(equal)) / static_cast<double>(count);
}

} // namespace sailpath::balance::quotas

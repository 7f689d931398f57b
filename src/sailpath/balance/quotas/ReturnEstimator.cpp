#include <sailpath/balance/quotas/ReturnEstimator.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance::quotas
{
namespace
{
constexpr double maxSamples = 100;        // Requests that the learned share spans
constexpr double newestWeight = 1.0 / 32; // Of a request in the share of new connections
constexpr double maxReturning = 0.95;     // Some first tries remain, however many callers return

} // namespace

////////////////////////////////////////////////////////////
double ReturnEstimator::openingShare() const
{
    return m_opened / (m_opened + m_kept);
}

////////////////////////////////////////////////////////////
ReturnSign ReturnEstimator::observe(bool firstOnConnection, bool calm)
{
    const bool begins = m_calm && !calm;
    m_calm = calm;
    if (calm)
    {
        (firstOnConnection ? m_opened : m_kept) += 1;
        const double excess = std::max(1.0, (m_opened + m_kept) / maxSamples);
        m_opened /= excess;
        m_kept /= excess;
        return {};
    }
    const double opening = openingShare();
    if (begins)
        m_newShare = opening;
    m_newShare += newestWeight * ((firstOnConnection ? 1 : 0) - m_newShare);
    const double returning = std::clamp((m_newShare - opening) / (1 - opening), 0.0, maxReturning);
    // With few samples, the share of first tries that open a connection may be larger than it seems.
    const double deviation = std::sqrt(opening * (1 - opening) / (m_opened + m_kept));
    const double telling = std::max(0.0, 1 - opening - deviation);
    const double ifNew = returning / (returning + (1 - returning) * opening);
    return {firstOnConnection ? ifNew : 0, telling * telling};
}

} // namespace sailpath::balance::quotas

#include <sailpath/balance/SharedRate.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double leastDoublings = -16; // 1 in 65,000 requests: hundreds of times more demand than is allowed

////////////////////////////////////////////////////////////
double mostDoublings(const RateBound& bound)
{
    return bound.maxSaved / bound.requestsToDouble;
}

} // namespace

////////////////////////////////////////////////////////////
SharedRate::SharedRate(double log2Probability, const RateBound& bound, core::Timestamp now) :
m_doublings(std::clamp(log2Probability, leastDoublings, mostDoublings(bound))),
m_at(now)
{
}

////////////////////////////////////////////////////////////
void SharedRate::advance(const RateBound& bound, core::Timestamp now)
{
    m_doublings = log2Probability(bound, now);
    m_at = std::max(m_at, now);
}

////////////////////////////////////////////////////////////
void SharedRate::spend(double requests, const RateBound& bound, core::Timestamp now)
{
    advance(bound, now);
    m_doublings = std::max(leastDoublings, m_doublings - requests / bound.requestsToDouble);
}

////////////////////////////////////////////////////////////
void SharedRate::moveTowards(double log2Probability, double weight, const RateBound& bound)
{
    m_doublings += weight * (std::clamp(log2Probability, leastDoublings, mostDoublings(bound)) - m_doublings);
}

////////////////////////////////////////////////////////////
double SharedRate::log2Probability(const RateBound& bound, core::Timestamp now) const
{
    const double seconds = core::toSeconds(std::max<core::Duration>(now - m_at, {}));
    return std::min(mostDoublings(bound), m_doublings + bound.perSecond / bound.requestsToDouble * seconds);
}

////////////////////////////////////////////////////////////
double SharedRate::admissionProbability(const RateBound& bound, core::Timestamp now) const
{
    return std::exp2(std::min(0.0, log2Probability(bound, now)));
}

} // namespace sailpath::balance

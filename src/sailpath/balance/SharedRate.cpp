#include <sailpath/balance/SharedRate.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double minLog2Probability = -16; // 1 in 65,000 requests; covers demand of hundreds of times the bound

////////////////////////////////////////////////////////////
double maxLog2Probability(const RateBound& bound)
{
    return bound.maxSaved / bound.requestsToDouble;
}

} // namespace

////////////////////////////////////////////////////////////
SharedRate::SharedRate(double log2Probability, const RateBound& bound, core::Timestamp now) :
m_log2Probability(std::clamp(log2Probability, minLog2Probability, maxLog2Probability(bound))),
m_at(now)
{
}

////////////////////////////////////////////////////////////
void SharedRate::advance(const RateBound& bound, core::Timestamp now)
{
    m_log2Probability = log2Probability(bound, now);
    m_at = std::max(m_at, now);
}

////////////////////////////////////////////////////////////
void SharedRate::spend(double requests, const RateBound& bound, core::Timestamp now)
{
    advance(bound, now);
    m_log2Probability = std::max(minLog2Probability, m_log2Probability - requests / bound.requestsToDouble);
}

////////////////////////////////////////////////////////////
void SharedRate::moveTowards(double log2Probability, double weight, const RateBound& bound)
{
    m_log2Probability +=
        weight * (std::clamp(log2Probability, minLog2Probability, maxLog2Probability(bound)) - m_log2Probability);
}

////////////////////////////////////////////////////////////
double SharedRate::log2Probability(const RateBound& bound, core::Timestamp now) const
{
    const double seconds = core::toSeconds(std::max<core::Duration>(now - m_at, {}));
    return std::min(maxLog2Probability(bound), m_log2Probability + bound.perSecond / bound.requestsToDouble * seconds);
}

////////////////////////////////////////////////////////////
double SharedRate::admissionProbability(const RateBound& bound, core::Timestamp now) const
{
    return std::exp2(std::min(0.0, log2Probability(bound, now)));
}

} // namespace sailpath::balance

#include <sailpath/balance/SharedLimit.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
// A value above 0 lets in a demand of nearly the limit whole.
constexpr double maxLog2Probability = 1;
constexpr double minRequestsToDouble = 0.4; // For limits below one request per second
// Seconds of the limit: twice the usual delay of reports between nodes.
constexpr double secondsToDouble = 0.12;
// Part of the limit to aim at: the sum varies by a request or two.
constexpr double targetShare = 0.985;
// Requests per second that are sent even under a limit of 0: otherwise no node would learn that the limit has ended.
constexpr double minRate = 0.2;
// Part of the difference between two nodes' figures by which the node that receives a report moves towards the other.
constexpr double convergence = 0.07;
// Doublings per second once the limit has ended: full load within a second, but not from all nodes at once.
constexpr double recoveryRate = 10;
constexpr auto   reorderingTime = std::chrono::milliseconds{250}; // By which reports of answers may overtake each other

////////////////////////////////////////////////////////////
RateBound boundOf(double perSecond)
{
    if (perSecond == unlimited)
        return {recoveryRate, 1, maxLog2Probability};
    const double requestsToDouble = minRequestsToDouble + secondsToDouble * perSecond;
    return {std::max(minRate, targetShare * perSecond), requestsToDouble, maxLog2Probability * requestsToDouble};
}

} // namespace

////////////////////////////////////////////////////////////
SharedLimit::SharedLimit(double log2Probability, core::Timestamp now) :
m_limitedSince(now),
m_rate(log2Probability, boundOf(unlimited), now)
{
}

////////////////////////////////////////////////////////////
bool SharedLimit::recordLimit(double perSecond, core::Timestamp at, core::Timestamp now)
{
    if (at + reorderingTime < m_lastLimitAt)
        return false;
    m_rate.advance(boundOf(this->perSecond(now)), now);
    if (perSecond <= this->perSecond(now))
    {
        m_lowLimit = perSecond;
        m_lowLimitUntil = now + reorderingTime;
    }
    const bool changed = perSecond != m_lastLimit;
    if (at >= m_lastLimitAt)
    {
        m_lastLimit = perSecond;
        m_lastLimitAt = at;
    }
    return changed;
}

////////////////////////////////////////////////////////////
void SharedLimit::recordSent(double requests, core::Timestamp now)
{
    m_sentHere += requests;
    count(requests, now);
}

////////////////////////////////////////////////////////////
void SharedLimit::recordSentElsewhere(double requests, double log2Probability, core::Timestamp now)
{
    count(requests, now);
    m_rate.moveTowards(log2Probability, convergence, boundOf(perSecond(now)));
}

////////////////////////////////////////////////////////////
void SharedLimit::count(double requests, core::Timestamp now)
{
    m_sentByAll += requests;
    const double rate = perSecond(now);
    m_rate.spend(rate == unlimited ? 0 : requests, boundOf(rate), now);
}

////////////////////////////////////////////////////////////
bool SharedLimit::admits(double draw, unsigned rank, core::Timestamp now) const
{
    return draw < std::exp2((1 + rank) * std::min(0.0, log2Probability(now)));
}

////////////////////////////////////////////////////////////
bool SharedLimit::hasEnded(core::Timestamp now) const
{
    return perSecond(now) == unlimited && log2Probability(now) >= 0;
}

////////////////////////////////////////////////////////////
double SharedLimit::admissionProbability(core::Timestamp now) const
{
    return m_rate.admissionProbability(boundOf(perSecond(now)), now);
}

////////////////////////////////////////////////////////////
double SharedLimit::perSecond(core::Timestamp now) const
{
    return now < m_lowLimitUntil ? std::min(m_lowLimit, m_lastLimit) : m_lastLimit;
}

////////////////////////////////////////////////////////////
double SharedLimit::log2Probability(core::Timestamp now) const
{
    return m_rate.log2Probability(boundOf(perSecond(now)), now);
}

////////////////////////////////////////////////////////////
core::Timestamp SharedLimit::lastLimitAt() const
{
    return m_lastLimitAt;
}

////////////////////////////////////////////////////////////
double SharedLimit::lastLimit() const
{
    return m_lastLimit;
}

////////////////////////////////////////////////////////////
double SharedLimit::sentHere() const
{
    return m_sentHere;
}

////////////////////////////////////////////////////////////
double SharedLimit::sentByAll() const
{
    return m_sentByAll;
}

////////////////////////////////////////////////////////////
core::Timestamp SharedLimit::limitedSince() const
{
    return m_limitedSince;
}

} // namespace sailpath::balance

#include <sailpath/balance/SharedLimit.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double headroom = 1;         // Doublings over fully open, so that demand of nearly the limit is let in whole
constexpr double fewestToDouble = 0.4; // Requests, for limits of less than one a second
constexpr double secondsToDouble = 0.12; // Of what the instance takes: twice as long as news are on their way as a rule
constexpr double aimShare = 0.985;       // Of what an instance takes: the sum is tossed by a request or two
constexpr double leastRate =
    0.2; // Requests a second that go even where none are taken: else nobody would hear of the end
constexpr double agreement = 0.07; // Of the difference between two nodes' figures, by which one that hears comes nearer
constexpr double reopening = 10;   // Doublings a second once it takes everything: without a herd, whole within a second
constexpr auto   overtaking = std::chrono::milliseconds{250}; // By which news of an answer may come before others

////////////////////////////////////////////////////////////
RateBound boundOf(double perSecond)
{
    if (perSecond == unlimited)
        return {reopening, 1, headroom};
    const double requestsToDouble = fewestToDouble + secondsToDouble * perSecond;
    return {std::max(leastRate, aimShare * perSecond), requestsToDouble, headroom * requestsToDouble};
}

} // namespace

////////////////////////////////////////////////////////////
SharedLimit::SharedLimit(double log2Probability, core::Timestamp now) :
m_since(now),
m_rate(log2Probability, boundOf(unlimited), now)
{
}

////////////////////////////////////////////////////////////
bool SharedLimit::recordLimit(double perSecond, core::Timestamp at, core::Timestamp now)
{
    if (at + overtaking < m_wordAt)
        return false;
    m_rate.advance(boundOf(this->perSecond(now)), now);
    if (perSecond <= this->perSecond(now))
    {
        m_low = perSecond;
        m_lowUntil = now + overtaking;
    }
    const bool changed = perSecond != m_word;
    if (at >= m_wordAt)
    {
        m_word = perSecond;
        m_wordAt = at;
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
    m_rate.moveTowards(log2Probability, agreement, boundOf(perSecond(now)));
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
    return now < m_lowUntil ? std::min(m_low, m_word) : m_word;
}

////////////////////////////////////////////////////////////
double SharedLimit::log2Probability(core::Timestamp now) const
{
    return m_rate.log2Probability(boundOf(perSecond(now)), now);
}

////////////////////////////////////////////////////////////
core::Timestamp SharedLimit::lastLimitAt() const
{
    return m_wordAt;
}

////////////////////////////////////////////////////////////
double SharedLimit::lastLimit() const
{
    return m_word;
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
    return m_since;
}

} // namespace sailpath::balance

#include <sailpath/balance/CallerPatience.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr double nearBand = 0.01;   // Of the longest time: what a new connection costs a first try
constexpr double nearIfAlike = 0.4; // Share of requests near the longest, first tries, when all that can are refused
constexpr double nearIfNot = 0.1;   // When times are spread over a tenth and more
constexpr double toTrust = 3.5;     // Logarithm of the odds: three near ones beside the two longest and no other
constexpr double toDoubt = -10;     // Chance alone is as far from it when most requests are further tries

} // namespace

////////////////////////////////////////////////////////////
core::Duration CallerPatience::heard(core::Duration left)
{
    const double told = core::toMilliseconds(left);
    m_left.at(m_count % kept) = told;
    ++m_count;
    const double top = longest();
    m_alike = evidence(top) >= (m_alike ? toDoubt : toTrust);
    // Mean worth of days with trouble where callers begin with different times: 0.65 when all are believed, 0.72 so.
    return m_alike ? core::fromMilliseconds(std::max(0.0, top - told)) : core::Duration{};
}

////////////////////////////////////////////////////////////
bool CallerPatience::alike() const
{
    return m_alike;
}

////////////////////////////////////////////////////////////
double CallerPatience::longest() const
{
    // The second longest: one odd caller must not make all others late.
    double first = 0;
    double second = 0;
    for (std::size_t i = 0; i < std::min(m_count, kept); ++i)
    {
        const double left = m_left.at(i);
        if (left > first)
            second = std::exchange(first, left);
        else
            second = std::max(second, left);
    }
    return second;
}

////////////////////////////////////////////////////////////
double CallerPatience::evidence(double longest) const
{
    constexpr std::size_t reference = 2; // The two longest say nothing of how close others are to them
    const auto            count = std::min(m_count, kept);
    if (count <= reference)
        return 0;
    const auto near = std::count_if(m_left.begin(), m_left.begin() + static_cast<std::ptrdiff_t>(count),
                                    [=](double left) { return left >= (1 - nearBand) * longest; });
    const auto closeOnes = static_cast<double>(near) - reference;
    const auto others = static_cast<double>(count) - static_cast<double>(near);
    return closeOnes * std::log(nearIfAlike / nearIfNot) + others * std::log((1 - nearIfAlike) / (1 - nearIfNot));
}

} // namespace sailpath::balance

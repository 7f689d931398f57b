#include <sailpath/state/Backoff.hpp>

#include <algorithm>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
Backoff::Backoff(core::Duration minWait, core::Duration maxWait) :
m_minWait(minWait),
m_maxWait(maxWait),
m_base(minWait)
{
}

////////////////////////////////////////////////////////////
core::Duration Backoff::next(core::Random& random)
{
    const auto upperBound = std::min(m_maxWait, m_base * 3);
    const auto range = static_cast<double>((upperBound - m_minWait).count());
    m_base = m_minWait + core::Duration{static_cast<std::int64_t>(range * random.unit())};
    // The next upper bound is at least 1.5 times this one, even after a short random wait.
    const core::Duration wait = m_base;
    m_base = std::max(m_base, upperBound / 2);
    return wait;
}

////////////////////////////////////////////////////////////
void Backoff::reset()
{
    m_base = m_minWait;
}

} // namespace sailpath::state

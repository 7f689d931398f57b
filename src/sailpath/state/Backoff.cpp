#include <sailpath/state/Backoff.hpp>

#include <algorithm>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
Backoff::Backoff(core::Duration first, core::Duration longest) :
m_minWait(first),
m_maxWait(longest),
m_last(first)
{
}

////////////////////////////////////////////////////////////
core::Duration Backoff::next(core::Random& random)
{
    const auto most = std::min(m_maxWait, m_last * 3);
    const auto spread = static_cast<double>((most - m_minWait).count());
    m_last = m_minWait + core::Duration{static_cast<std::int64_t>(spread * random.unit())};
    // Growth must not hinge on luck, so the next range grows at least by half.
    const core::Duration wait = m_last;
    m_last = std::max(m_last, most / 2);
    return wait;
}

////////////////////////////////////////////////////////////
void Backoff::reset()
{
    m_last = m_minWait;
}

} // namespace sailpath::state

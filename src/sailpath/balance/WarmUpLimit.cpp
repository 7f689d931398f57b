#include <sailpath/balance/WarmUpLimit.hpp>
#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
// By then a starting node knows all other nodes. Also longer than the second in which requests of the previous process
// still count.
constexpr auto   startupDelay = std::chrono::seconds{2};
constexpr double minKnownShare = 2.0 / 3; // Share of the fleet that a node must know for the bound to hold

} // namespace

////////////////////////////////////////////////////////////
WarmUpLimit::WarmUpLimit(std::uint32_t self, core::Timestamp startedAt) :
m_self(self),
m_sendFrom(startedAt + startupDelay)
{
}

////////////////////////////////////////////////////////////
void WarmUpLimit::setBound(const WarmUpBound& bound)
{
    m_bound = bound;
    m_chosen.clear();
}

////////////////////////////////////////////////////////////
void WarmUpLimit::setMembers(std::span<const std::uint32_t> members)
{
    if (std::equal(members.begin(), members.end(), m_members.begin(), m_members.end()))
        return;
    m_members.assign(members.begin(), members.end());
    m_chosen.clear();
}

////////////////////////////////////////////////////////////
bool WarmUpLimit::hasBound() const
{
    return m_bound.rate > 0;
}

////////////////////////////////////////////////////////////
unsigned WarmUpLimit::senderCount() const
{
    const double bound = m_bound.rate * m_bound.excess + m_bound.slack;
    return static_cast<unsigned>(std::max(1.0, minKnownShare * bound - m_bound.rate));
}

////////////////////////////////////////////////////////////
double WarmUpLimit::ratePerNode() const
{
    return m_bound.rate / senderCount();
}

////////////////////////////////////////////////////////////
bool WarmUpLimit::isChosen(std::uint32_t instance, core::Timestamp now)
{
    if (now < m_sendFrom)
        return false;
    const auto [found, added] = m_chosen.try_emplace(instance, false);
    if (added)
        found->second = ranksAmongFirst(instance);
    return found->second;
}

////////////////////////////////////////////////////////////
bool WarmUpLimit::ranksAmongFirst(std::uint32_t instance) const
{
    if (std::find(m_members.begin(), m_members.end(), m_self) == m_members.end())
        return false;
    const std::uint64_t ownWeight = core::mix(m_self, instance);
    const auto          higherRanked =
        std::count_if(m_members.begin(), m_members.end(),
                      [&](std::uint32_t member) { return core::mix(member, instance) > ownWeight; });
    return higherRanked < static_cast<std::ptrdiff_t>(senderCount());
}

} // namespace sailpath::balance

#include <sailpath/replication/MembershipExchange.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replication
{
namespace
{
constexpr auto        rememberedFor = std::chrono::minutes{10}; // Longer than most partitions between data centres
constexpr std::size_t maxRemembered = 8192;                     // Nodes
constexpr auto   lateAfter = std::chrono::seconds{8}; // Without news; each node of a tree is reported every 3 to 5 s
constexpr auto   firstInterval = std::chrono::milliseconds{100};  // Doubles with each exchange
constexpr auto   minInterval = std::chrono::seconds{1};           // After the start
constexpr auto   intervalPerNode = std::chrono::milliseconds{50}; // A list grows with the number of nodes
constexpr double lateShare = 0.5; // Of the exchanges go to nodes that were not heard from lately

} // namespace

////////////////////////////////////////////////////////////
MembershipExchange::MembershipExchange(std::string self, std::vector<std::string> seeds) :
m_self(std::move(self)),
m_seeds(std::move(seeds))
{
    std::erase(m_seeds, m_self);
}

////////////////////////////////////////////////////////////
void MembershipExchange::recordHeard(const std::string& address, core::Timestamp at)
{
    if (m_lastHeard.size() >= maxRemembered && m_lastHeard.count(address) == 0)
        return;
    core::Timestamp& last = m_lastHeard[address];
    last = std::max(last, at);
}

////////////////////////////////////////////////////////////
void MembershipExchange::forgetOld(core::Timestamp now)
{
    std::erase_if(m_lastHeard, [now](const auto& item) { return now - item.second > rememberedFor; });
}

////////////////////////////////////////////////////////////
std::optional<std::string> MembershipExchange::choosePartner(const std::set<std::string>& excluded, std::size_t known,
                                                             core::Random& random, core::Timestamp now)
{
    if (now < m_nextAt)
        return std::nullopt;
    forgetOld(now);
    const core::Duration steady = std::max<core::Duration>(minInterval, intervalPerNode * known);
    const core::Duration starting = core::Duration(firstInterval) * (1U << std::min(m_done, 16U));
    ++m_done;
    m_nextAt = now + core::fromMilliseconds(core::toMilliseconds(std::min(steady, starting)) * (0.5 + random.unit()));

    std::vector<std::string> late;
    std::vector<std::string> all;
    for (const std::string& seed : m_seeds)
    {
        if (excluded.count(seed) == 0 && m_lastHeard.count(seed) == 0)
            late.push_back(seed);
    }
    for (const auto& [address, last] : m_lastHeard)
    {
        if (excluded.count(address) > 0)
            continue;
        all.push_back(address);
        if (now - last > lateAfter)
            late.push_back(address);
    }
    const auto& chosen = !late.empty() && (all.empty() || random.unit() < lateShare) ? late : all;
    if (chosen.empty())
        return std::nullopt;
    return chosen[random.below(chosen.size())];
}

////////////////////////////////////////////////////////////
void MembershipExchange::postpone(core::Timestamp until)
{
    m_nextAt = std::max(m_nextAt, until);
}

////////////////////////////////////////////////////////////
core::Timestamp MembershipExchange::nextDue() const
{
    return m_nextAt;
}

////////////////////////////////////////////////////////////
std::size_t MembershipExchange::rememberedCount(core::Timestamp now)
{
    forgetOld(now);
    return m_lastHeard.size() + 1;
}

} // namespace sailpath::replication

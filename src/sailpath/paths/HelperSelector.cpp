#include <sailpath/paths/HelperSelector.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>
#include <tuple>

namespace sailpath::paths
{
namespace
{
constexpr auto     provenFor = std::chrono::seconds{10}; // Since it last opened a tunnel
constexpr auto     busyFor = std::chrono::milliseconds{300};
constexpr auto     firstAvoidance = std::chrono::milliseconds{700};
constexpr unsigned maxAvoidanceDoublings = 3;
constexpr unsigned ownFailuresToLookElsewhere = 2;
constexpr unsigned tunnelsToLookFurther = 6; // Through one helper, before one that is not proven is tried

} // namespace

////////////////////////////////////////////////////////////
HelperSelector::HelperSelector(std::string self, std::string dataCentre) :
m_self(std::move(self)),
m_dataCentre(std::move(dataCentre))
{
}

////////////////////////////////////////////////////////////
void HelperSelector::setPeers(std::span<const deployment::Peer> peers)
{
    std::map<std::string, Helper> helpers;
    for (const deployment::Peer& peer : peers)
    {
        if (peer.address == m_self)
            continue;
        const auto known = m_helpers.find(peer.address);
        Helper     helper = known != m_helpers.end() ? known->second : Helper{};
        helper.dataCentre = peer.dataCentre;
        helper.rank = core::hash(peer.address, core::hash(m_self));
        helpers.emplace(peer.address, std::move(helper));
    }
    m_helpers = std::move(helpers);
}

////////////////////////////////////////////////////////////
bool HelperSelector::isProven(const Helper& helper, core::Timestamp now) const
{
    return helper.openedAt != core::Timestamp{} && now - helper.openedAt < provenFor && helper.failures == 0;
}

////////////////////////////////////////////////////////////
std::optional<std::string> HelperSelector::choose(std::span<const std::string> tried, core::Timestamp now,
                                                  std::span<const std::string> lastChoice) const
{
    const bool         elsewhere = m_ownFailures >= ownFailuresToLookElsewhere;
    const std::string* best = nullptr;
    using Order = std::tuple<bool, core::Timestamp, bool, bool, unsigned, std::uint64_t>;
    Order bestOrder{};
    for (const auto& [address, helper] : m_helpers)
    {
        if (std::find(tried.begin(), tried.end(), address) != tried.end())
            continue;
        // When all are avoided, the one whose failure is the longest ago may work again.
        const core::Timestamp avoidUntil = now < helper.avoidUntil ? helper.avoidUntil : core::Timestamp{};
        const bool            proven = isProven(helper, now);
        const bool            preferred = proven && helper.tunnels < tunnelsToLookFurther;
        const bool            local = helper.dataCentre == m_dataCentre;
        const bool  isLast = std::find(lastChoice.begin(), lastChoice.end(), helper.dataCentre) != lastChoice.end();
        const Order order{isLast,         avoidUntil, !preferred, proven || !elsewhere ? !local : local,
                          helper.tunnels, helper.rank};
        if (best == nullptr || order < bestOrder)
        {
            best = &address;
            bestOrder = order;
        }
    }
    return best != nullptr ? std::optional(*best) : std::nullopt;
}

////////////////////////////////////////////////////////////
std::string HelperSelector::dataCentreOf(const std::string& address) const
{
    const auto found = m_helpers.find(address);
    return found == m_helpers.end() ? std::string() : found->second.dataCentre;
}

////////////////////////////////////////////////////////////
bool HelperSelector::existsOutside(const std::string& dataCentre) const
{
    return std::any_of(m_helpers.begin(), m_helpers.end(),
                       [&](const auto& entry) { return entry.second.dataCentre != dataCentre; });
}

////////////////////////////////////////////////////////////
void HelperSelector::recordOpened(const std::string& address, core::Timestamp now)
{
    const auto found = m_helpers.find(address);
    if (found == m_helpers.end())
        return;
    Helper& helper = found->second;
    helper.openedAt = now;
    helper.avoidUntil = {};
    helper.failures = 0;
    ++helper.tunnels;
    if (helper.dataCentre == m_dataCentre)
        m_ownFailures = 0;
}

////////////////////////////////////////////////////////////
void HelperSelector::recordClosed(const std::string& address)
{
    const auto found = m_helpers.find(address);
    if (found != m_helpers.end() && found->second.tunnels > 0)
        --found->second.tunnels;
}

////////////////////////////////////////////////////////////
void HelperSelector::recordFailed(const std::string& address, HelperFailure failure, core::Timestamp now)
{
    const auto found = m_helpers.find(address);
    if (found == m_helpers.end() || failure == HelperFailure::NotListed)
        return;
    Helper& helper = found->second;
    if (helper.dataCentre == m_dataCentre)
        ++m_ownFailures;
    if (failure == HelperFailure::Busy)
    {
        helper.avoidUntil = now + busyFor;
        return;
    }
    const unsigned doublings = std::min(helper.failures++, maxAvoidanceDoublings);
    helper.avoidUntil = now + firstAvoidance * (1U << doublings);
}

////////////////////////////////////////////////////////////
bool HelperSelector::isAvoided(const std::string& address, core::Timestamp now) const
{
    const auto found = m_helpers.find(address);
    return found == m_helpers.end() || (now < found->second.avoidUntil && found->second.failures > 0);
}

////////////////////////////////////////////////////////////
bool HelperSelector::empty() const
{
    return m_helpers.empty();
}

} // namespace sailpath::paths

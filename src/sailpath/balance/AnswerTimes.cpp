#include <sailpath/balance/AnswerTimes.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr auto span = std::chrono::minutes{1};

} // namespace

////////////////////////////////////////////////////////////
void AnswerTimes::record(std::string_view route, core::Duration took, core::Timestamp now)
{
    const auto found = m_routes.find(route);
    Longest&   longest = found != m_routes.end()
                             ? found->second
                             : m_routes.emplace(std::string(route), Longest{now, {}, {}}).first->second;
    if (now - longest.since > 2 * span)
        longest = {now, {}, {}};
    else if (now - longest.since > span)
        longest = {now, {}, longest.current};
    longest.current = std::max(longest.current, took);
}

////////////////////////////////////////////////////////////
std::optional<core::Duration> AnswerTimes::longest(std::string_view route, core::Timestamp now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || now - found->second.since > 2 * span)
        return std::nullopt;
    return std::max(found->second.current, found->second.previous);
}

////////////////////////////////////////////////////////////
void AnswerTimes::keepOnly(const std::set<std::string, std::less<>>& routes)
{
    std::erase_if(m_routes, [&](const auto& item) { return !routes.contains(item.first); });
}

} // namespace sailpath::balance

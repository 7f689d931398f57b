#include <sailpath/metrics/StageTimes.hpp>

#include "Quantiles.hpp"

#include <sailpath/core/StringMap.hpp>

namespace sailpath::metrics
{
namespace
{
constexpr std::size_t      mostRoutes = 100; // Told apart, so that memory is bounded
constexpr std::string_view furtherRoutes = "others";

////////////////////////////////////////////////////////////
struct RouteTimes
{
    priv::Quantiles decision;
    priv::Quantiles turn;
};

} // namespace

////////////////////////////////////////////////////////////
struct StageTimes::Impl
{
    core::StringMap<RouteTimes> byRoute; //!< By name
};

////////////////////////////////////////////////////////////
StageTimes::StageTimes() :
m_impl(std::make_unique<Impl>())
{
}

////////////////////////////////////////////////////////////
StageTimes::~StageTimes() = default;

////////////////////////////////////////////////////////////
void StageTimes::record(std::string_view route, core::Duration decision, core::Duration turn)
{
    auto found = m_impl->byRoute.find(route);
    if (found == m_impl->byRoute.end())
    {
        const std::string_view name = m_impl->byRoute.size() < mostRoutes ? route : furtherRoutes;
        found = m_impl->byRoute.try_emplace(std::string(name)).first;
    }
    found->second.decision.record(decision);
    found->second.turn.record(turn);
}

////////////////////////////////////////////////////////////
std::string StageTimes::text() const
{
    std::string text = "# TYPE sailpath_decision_seconds summary\n";
    for (const auto& [name, times] : m_impl->byRoute)
        times.decision.append(text, "sailpath_decision_seconds", "route=\"" + name + "\"");
    text += "# TYPE sailpath_turn_wait_seconds summary\n";
    for (const auto& [name, times] : m_impl->byRoute)
        times.turn.append(text, "sailpath_turn_wait_seconds", "route=\"" + name + "\"");
    return text;
}

} // namespace sailpath::metrics

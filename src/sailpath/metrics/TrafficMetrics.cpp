#include <sailpath/metrics/TrafficMetrics.hpp>

#include "Quantiles.hpp"

#include <sailpath/core/StringMap.hpp>

#include <map>
#include <mutex>

namespace sailpath::metrics
{
namespace
{
////////////////////////////////////////////////////////////
struct WorkspaceMetrics
{
    std::map<std::string, std::uint64_t, std::less<>> outcomes;  //!< Counts
    priv::Quantiles                                   latencies; //!< Of answered requests
};

} // namespace

////////////////////////////////////////////////////////////
struct TrafficMetrics::Impl
{
    mutable std::mutex                mutex;       //!< Guards the map
    core::StringMap<WorkspaceMetrics> byWorkspace; //!< By name
};

////////////////////////////////////////////////////////////
TrafficMetrics::TrafficMetrics() :
m_impl(std::make_unique<Impl>())
{
}

////////////////////////////////////////////////////////////
TrafficMetrics::~TrafficMetrics() = default;

////////////////////////////////////////////////////////////
void TrafficMetrics::record(std::string_view workspace, std::string_view outcome, core::Duration latency)
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    auto                              found = m_impl->byWorkspace.find(workspace);
    if (found == m_impl->byWorkspace.end())
        found = m_impl->byWorkspace.try_emplace(std::string(workspace)).first;
    auto count = found->second.outcomes.find(outcome);
    if (count == found->second.outcomes.end())
        count = found->second.outcomes.try_emplace(std::string(outcome), 0).first;
    ++count->second;
    if (outcome == "answered")
        found->second.latencies.record(latency);
}

////////////////////////////////////////////////////////////
void TrafficMetrics::forget(std::string_view workspace)
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    if (const auto found = m_impl->byWorkspace.find(workspace); found != m_impl->byWorkspace.end())
        m_impl->byWorkspace.erase(found);
}

////////////////////////////////////////////////////////////
std::string TrafficMetrics::text() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    std::string                       text = "# TYPE sailpath_requests_total counter\n";
    for (const auto& [name, metrics] : m_impl->byWorkspace)
    {
        for (const auto& [outcome, count] : metrics.outcomes)
            text.append("sailpath_requests_total{workspace=\"")
                .append(name)
                .append("\",outcome=\"")
                .append(outcome)
                .append("\"} ")
                .append(std::to_string(count))
                .append("\n");
    }
    text += "# TYPE sailpath_answer_seconds summary\n";
    for (const auto& [name, metrics] : m_impl->byWorkspace)
        metrics.latencies.append(text, "sailpath_answer_seconds", "workspace=\"" + name + "\"");
    return text;
}

} // namespace sailpath::metrics

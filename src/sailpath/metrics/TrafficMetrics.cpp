#include <sailpath/metrics/TrafficMetrics.hpp>

#include <sailpath/core/StringMap.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>

namespace sailpath::metrics
{
namespace
{
namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.99, 0.999};

using Latencies =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

////////////////////////////////////////////////////////////
struct WorkspaceMetrics
{
    std::map<std::string, std::uint64_t, std::less<>> outcomes;                  //!< Counts
    Latencies latencies{acc::tag::extended_p_square::probabilities = quantiles}; //!< Of answered requests, seconds
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
        found->second.latencies(core::toSeconds(latency));
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
    {
        const std::size_t count = acc::count(metrics.latencies);
        if (count == 0)
            continue;
        for (const double quantile : quantiles)
        {
            const double value = acc::quantile(metrics.latencies, acc::quantile_probability = quantile);
            text += "sailpath_answer_seconds{workspace=\"" + name + "\",quantile=\"" +
                    std::to_string(quantile).substr(0, 5) + "\"} " + std::to_string(value) + "\n";
        }
        text += "sailpath_answer_seconds_sum{workspace=\"" + name + "\"} " +
                std::to_string(acc::sum(metrics.latencies)) + "\n";
        text += "sailpath_answer_seconds_count{workspace=\"" + name + "\"} " + std::to_string(count) + "\n";
    }
    return text;
}

} // namespace sailpath::metrics

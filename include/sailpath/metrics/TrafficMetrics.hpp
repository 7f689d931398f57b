#pragma once

#include <sailpath/core/Time.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace sailpath::metrics
{
////////////////////////////////////////////////////////////
/// \brief Counts and latencies of requests, by workspace
///
/// Thread-safe.
////////////////////////////////////////////////////////////
class TrafficMetrics
{
public:
    TrafficMetrics();
    ~TrafficMetrics();
    TrafficMetrics(const TrafficMetrics&) = delete;
    TrafficMetrics& operator=(const TrafficMetrics&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Note a request that is done
    ///
    /// \param workspace Workspace; empty when the host names none
    /// \param outcome   `answered`, or the reason of a refusal
    /// \param latency   From the head's arrival to the end of the answer
    ////////////////////////////////////////////////////////////
    void record(std::string_view workspace, std::string_view outcome, core::Duration latency);

    ////////////////////////////////////////////////////////////
    /// \brief Forget a workspace that was deleted
    ////////////////////////////////////////////////////////////
    void forget(std::string_view workspace);

    ////////////////////////////////////////////////////////////
    /// \brief The metrics in Prometheus' text format
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's accumulators
};

} // namespace sailpath::metrics

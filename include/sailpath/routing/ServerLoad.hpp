#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/routing/LoadReport.hpp>
#include <sailpath/routing/LoadSettings.hpp>

#include <optional>
#include <vector>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief One node's estimate of the load of one backend server
///
/// Combines the exact number of the node's own requests in flight with load
/// reports, discounted by age, and with inferred values: the work per
/// request, from latencies, and the age of unanswered requests.
////////////////////////////////////////////////////////////
class ServerLoad
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the estimate for a server without any observations
    ///
    /// \param slots     Requests that the server processes concurrently
    /// \param roundTrip Network round-trip time to the server
    /// \param settings  Parameters of the estimate
    ////////////////////////////////////////////////////////////
    ServerLoad(unsigned slots, core::Duration roundTrip, LoadSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a request was sent
    ////////////////////////////////////////////////////////////
    void recordSent(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a request ended, whatever its outcome
    ///
    /// \param sentAt Time passed to `recordSent` for this request
    ////////////////////////////////////////////////////////////
    void recordEnded(core::Timestamp sentAt);

    ////////////////////////////////////////////////////////////
    /// \brief Update the estimated work with the latency of a successful answer
    ///
    /// The latency of an error answer must not be recorded: a server that fails
    /// fast would appear to be fast.
    ///
    /// \param latency  Time from sending the request to the end of its answer
    /// \param expected Usual work of such a request in the pool, in milliseconds
    ///
    /// \return Estimated work of the request without network and queueing time, in milliseconds
    ////////////////////////////////////////////////////////////
    double recordLatency(core::Duration latency, double expected);

    ////////////////////////////////////////////////////////////
    /// \brief Record a load report, which replaces an older one
    ///
    /// \param report Load that the server reported
    /// \param at     Time at which the report was made
    ////////////////////////////////////////////////////////////
    void recordReport(LoadReport report, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Return the number of own requests in flight
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned ownInFlight() const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the requests of other nodes in flight
    ///
    /// \param now      Current time
    /// \param expected Value that the estimate approaches as the report ages
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double othersInFlight(core::Timestamp now, double expected) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the requests of other nodes by the last report, not discounted by its age; empty before the first
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<double> reportedOthers() const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the time in milliseconds that the server takes for a request without queueing
    ///
    /// \param now  Current time, from which the age of unanswered requests is computed
    /// \param work Usual work of such a request in the pool, in milliseconds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double workMilliseconds(core::Timestamp now, double work) const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the time in milliseconds until a request sent now is answered
    ///
    /// \param now            Current time
    /// \param expectedOthers Requests of other nodes in flight, used in the absence of a fresh report
    /// \param work           Usual work of such a request in the pool, in milliseconds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMilliseconds(core::Timestamp now, double expectedOthers, double work) const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimate the requests of all nodes in flight
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double occupancy(core::Timestamp now, double expectedOthers) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the number of requests that the server processes concurrently
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned slots() const;

    ////////////////////////////////////////////////////////////
    /// \brief Reset the estimated work, for example after a restart of the server
    ////////////////////////////////////////////////////////////
    void resetWork();

private:
    ////////////////////////////////////////////////////////////
    /// \brief Return the age of the oldest unanswered request; at least one must be in flight
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration oldestAge(core::Timestamp now) const;

    struct StoredReport
    {
        double          others; //!< Requests of other nodes in flight
        core::Timestamp at;     //!< Time at which the report was made
    };

    unsigned     m_slots;                  //!< Requests that the server processes concurrently
    double       m_roundTrip;              //!< Network round-trip time in milliseconds
    LoadSettings m_settings;               //!< Parameters of the estimate
    double       m_usualRatio{1};          //!< Ratio of the usual work at this server to the usual work in the pool
    double       m_recentRatio{1};         //!< Ratio of the recent work at this server to the usual work in the pool
    std::vector<core::Timestamp> m_sentAt; //!< Send time of each request in flight
    std::optional<StoredReport>  m_report; //!< Last load report
};

} // namespace sailpath::routing

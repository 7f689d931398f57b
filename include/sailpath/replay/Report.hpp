#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replay/Trace.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
/// \brief What became of one request
////////////////////////////////////////////////////////////
struct RequestRecord
{
    core::Timestamp  at{};           //!< Arrival
    std::string_view host;           //!< Host header, of the trace
    std::string_view path;           //!< Path, of the trace
    core::Duration   latency{};      //!< Until its final answer
    bool             good{false};    //!< A server's good answer
    bool             refused{false}; //!< Refused as not run
    bool             nested{false};  //!< Made by a server, not by a caller
};

////////////////////////////////////////////////////////////
/// \brief Everything that a replay measured
////////////////////////////////////////////////////////////
struct Report
{
    std::vector<RequestRecord> requests;      //!< All requests
    std::uint64_t              attempts{0};   //!< Attempts at servers
    double                     probeCost{0};  //!< Server-milliseconds for probes
    std::uint64_t              afterDrain{0}; //!< Requests at servers three seconds after they began to leave
    std::uint64_t              doubleRuns{0}; //!< Requests not repeatable that a server began twice
    core::Duration             length{};      //!< Virtual time from start to the last arrival

    ////////////////////////////////////////////////////////////
    /// \brief A metric by name over the requests that an expectation selects
    ///
    /// `p50Ms`, `p99Ms`, `p999Ms` of good answers, `goodShare`, `goodput`
    /// (a second), `refusedShare`, `failedShare`, `slowestRefusalMs`,
    /// `attemptsPerRequest`, `probeCostMsPerS`, `afterDrain`, `doubleRuns`.
    ///
    /// \return Not-a-number for an unknown name
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double metric(const Expectation& selection) const;
};

////////////////////////////////////////////////////////////
/// \brief An expectation that was not met
////////////////////////////////////////////////////////////
struct Miss
{
    Expectation expectation; //!< What was stated
    double      value{0};    //!< What was measured
};

////////////////////////////////////////////////////////////
/// \brief Check a trace's stated outcomes
////////////////////////////////////////////////////////////
[[nodiscard]] std::vector<Miss> check(const Trace& trace, const Report& report);

////////////////////////////////////////////////////////////
/// \brief Say what was stated and what was measured
////////////////////////////////////////////////////////////
[[nodiscard]] std::string describe(const Miss& miss);

} // namespace sailpath::replay

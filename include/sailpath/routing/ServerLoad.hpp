#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/routing/LoadReport.hpp>
#include <sailpath/routing/LoadSettings.hpp>

#include <optional>
#include <vector>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief One node's view of the load of one backend server
///
/// Combines what the node knows for certain (its own requests in flight)
/// with what it only hears (reports, aged) and what it infers (the work per
/// request from latencies, the age of requests not answered yet).
////////////////////////////////////////////////////////////
class ServerLoad
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the view of a server nothing is known of
    ///
    /// \param slots     Requests the server works on at once
    /// \param roundTrip Network time to the server and back
    /// \param settings  Constants
    ////////////////////////////////////////////////////////////
    ServerLoad(unsigned slots, core::Duration roundTrip, LoadSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a request was sent
    ////////////////////////////////////////////////////////////
    void recordSent(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a request ended, whatever its outcome
    ///
    /// \param sentAt Time given to `sent` for this request
    ////////////////////////////////////////////////////////////
    void recordEnded(core::Timestamp sentAt);

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a good answer
    ///
    /// Answers that report an error must not be passed: a server that fails
    /// fast would look quick.
    ///
    /// \param latency  Time from sending to the whole answer
    /// \param expected Work that such a request usually is in the pool, milliseconds
    ///
    /// \return The request's work without network and waiting, milliseconds
    ////////////////////////////////////////////////////////////
    double recordLatency(core::Duration latency, double expected);

    ////////////////////////////////////////////////////////////
    /// \brief Note a report, which replaces an older one
    ///
    /// \param report What the server said
    /// \param at     Time to which the report belongs
    ////////////////////////////////////////////////////////////
    void recordReport(LoadReport report, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Own requests in flight
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned ownInFlight() const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimated requests in flight of other nodes
    ///
    /// \param now      Current time
    /// \param expected Value to fall back to as the report ages
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double othersInFlight(core::Timestamp now, double expected) const;

    ////////////////////////////////////////////////////////////
    /// \brief Others' requests as of the last report, unaged; nothing before the first
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<double> reportedOthers() const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimated time that a request takes when it need not wait, in milliseconds
    ///
    /// \param now  Current time, for the age of unanswered requests
    /// \param work Work that such a request usually is in the pool, milliseconds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double workMilliseconds(core::Timestamp now, double work) const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimated milliseconds until a request sent now is answered
    ///
    /// \param now            Current time
    /// \param expectedOthers Others' requests in flight when no fresh report says
    /// \param work           Work that such a request usually is in the pool, milliseconds
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMilliseconds(core::Timestamp now, double expectedOthers, double work) const;

    ////////////////////////////////////////////////////////////
    /// \brief Estimated requests in flight of all nodes
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double occupancy(core::Timestamp now, double expectedOthers) const;

    ////////////////////////////////////////////////////////////
    /// \brief Requests the server works on at once
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned slots() const;

    ////////////////////////////////////////////////////////////
    /// \brief Forget learned work, as after a restart of the server
    ////////////////////////////////////////////////////////////
    void resetWork();

private:
    ////////////////////////////////////////////////////////////
    /// \brief Age of the oldest request not answered yet
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration oldestAge(core::Timestamp now) const;

    struct StoredReport
    {
        double          others; //!< Requests of others
        core::Timestamp at;     //!< Time it belongs to
    };

    unsigned                     m_slots;     //!< Requests worked on at once
    double                       m_roundTrip; //!< Network time, milliseconds
    LoadSettings                 m_settings;  //!< Constants
    double                       m_usual{1};  //!< Usual work here over usual work in the pool
    double                       m_recent{1}; //!< The same for the last few requests
    std::vector<core::Timestamp> m_sentAt;    //!< Start of each request in flight
    std::optional<StoredReport>  m_report;    //!< Last report
};

} // namespace sailpath::routing

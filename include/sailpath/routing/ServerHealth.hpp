#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Which requests a server may receive at present
////////////////////////////////////////////////////////////
enum class Availability
{
    Healthy, //!< May receive any request
    Ramping, //!< May receive a growing share of requests, as it may still be cold
    Trial,   //!< May receive one trial request that shows whether it works again
    Ejected, //!< Receives no requests after failures in a row
    BackOff, //!< Receives no requests because it asked for a pause
    Draining //!< Receives no requests because it is leaving
};

////////////////////////////////////////////////////////////
/// \brief Parameters of the ejection and return of servers
////////////////////////////////////////////////////////////
struct HealthSettings
{
    unsigned       failuresToEject{3};                            //!< Failures in a row that eject a server
    core::Duration firstEjection{std::chrono::milliseconds{500}}; //!< First ejection; each further one doubles
    core::Duration maxEjection{std::chrono::seconds{8}};          //!< Longest ejection
    core::Duration rampDuration{std::chrono::seconds{2}};  //!< Time from the return of a server to its full share
    core::Duration drainTimeout{std::chrono::minutes{10}}; //!< Lifetime of a notice of draining
};

////////////////////////////////////////////////////////////
/// \brief Passive health check of one server by one node
///
/// Failures in a row eject the server. When the ejection ends, one trial
/// request decides whether the server returns; its share of requests then
/// grows over a ramp.
////////////////////////////////////////////////////////////
class ServerHealth
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the health state of a server that is assumed to work
    ///
    /// \param settings Parameters of ejection and return
    ////////////////////////////////////////////////////////////
    explicit ServerHealth(HealthSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Record a successful answer
    ////////////////////////////////////////////////////////////
    void recordSuccess(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record a failed request
    ///
    /// \param now      Current time
    /// \param mayEject Whether the pool allows one more ejection
    ///
    /// \return Whether this failure ejected the server
    ////////////////////////////////////////////////////////////
    bool recordFailure(core::Timestamp now, bool mayEject);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a trial ended without a result, for example because its caller disconnected
    ////////////////////////////////////////////////////////////
    void recordTrialAbandoned();

    ////////////////////////////////////////////////////////////
    /// \brief Record that a trial request was sent
    ////////////////////////////////////////////////////////////
    void recordTrialSent();

    ////////////////////////////////////////////////////////////
    /// \brief Record a notice by the server that it is leaving or that it is not
    ///
    /// \param leaving Whether the server is leaving
    /// \param at      Time of the notice; notices older than the last one are ignored
    ///
    /// \return Whether the server became draining by this notice
    ////////////////////////////////////////////////////////////
    bool recordDraining(bool leaving, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Record that the server asked this node to send no requests until a time; the latest time counts
    ////////////////////////////////////////////////////////////
    void recordBackOff(core::Timestamp until);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a draining server has closed its connections; trial requests detect its return
    ////////////////////////////////////////////////////////////
    void recordClosed(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return which requests the server may receive
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Availability availability(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the share of its normal load that the server should receive, in (0, 1]
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double share(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return whether the server is ejected or in trial
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isEjected() const;

    ////////////////////////////////////////////////////////////
    /// \brief Start the ramp, for example for a newly configured server
    ////////////////////////////////////////////////////////////
    void startRamp(core::Timestamp now);

private:
    HealthSettings  m_settings;             //!< Parameters of ejection and return
    unsigned        m_failures{0};          //!< Failures in a row up to now
    unsigned        m_ejections{0};         //!< Ejections since the server last worked for a whole ramp
    bool            m_ejected{false};       //!< Whether the server is ejected and no trial has succeeded since
    bool            m_trialInFlight{false}; //!< Whether a trial request is in flight
    core::Timestamp m_ejectedUntil{};       //!< Earliest time of the next trial
    core::Timestamp m_rampEnd{};            //!< Time from which the server receives its full share
    core::Timestamp m_drainUntil{};         //!< Time until which the server counts as draining
    core::Timestamp m_backOffUntil{};       //!< Time until which the server asked for no requests
    core::Timestamp m_drainNoticeAt{};      //!< Time of the last notice whether the server is leaving
};

} // namespace sailpath::routing

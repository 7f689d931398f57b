#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief What a server may be given at present
////////////////////////////////////////////////////////////
enum class Availability
{
    Healthy, //!< Any request
    Ramping, //!< A growing share, as it may be cold
    Trial,   //!< One request, to see whether it works again
    Ejected, //!< Nothing
    BackOff, //!< Nothing, it asked for that
    Draining //!< Nothing, it is leaving
};

////////////////////////////////////////////////////////////
/// \brief Constants of ejection and return
////////////////////////////////////////////////////////////
struct HealthSettings
{
    unsigned       failuresToEject{3};                            //!< Failures in a row
    core::Duration firstEjection{std::chrono::milliseconds{500}}; //!< Length of the first ejection; doubles
    core::Duration maxEjection{std::chrono::seconds{8}};          //!< Longest ejection
    core::Duration rampDuration{std::chrono::seconds{2}};         //!< Time from return to a full share
    core::Duration drainTimeout{std::chrono::minutes{10}}; //!< Draining is believed this long after it was last said
};

////////////////////////////////////////////////////////////
/// \brief One node's judgement of whether a server works
///
/// Failures in a row eject it; after a while one trial request decides
/// whether it returns, and then its share grows over a ramp.
////////////////////////////////////////////////////////////
class ServerHealth
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the judgement of a server assumed to work
    ///
    /// \param settings Constants
    ////////////////////////////////////////////////////////////
    explicit ServerHealth(HealthSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Note a good answer
    ////////////////////////////////////////////////////////////
    void recordSuccess(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Note a failure
    ///
    /// \param now       Current time
    /// \param mayEject  Whether the pool allows one more ejection
    ///
    /// \return Whether the server was ejected by this
    ////////////////////////////////////////////////////////////
    bool recordFailure(core::Timestamp now, bool mayEject);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a trial ended without a verdict, as when its caller hung up
    ////////////////////////////////////////////////////////////
    void recordTrialAbandoned();

    ////////////////////////////////////////////////////////////
    /// \brief Note that a trial request was sent
    ////////////////////////////////////////////////////////////
    void recordTrialSent();

    ////////////////////////////////////////////////////////////
    /// \brief Note whether the server says that it is leaving
    ///
    /// \param leaving What it says
    /// \param at      When it said so; older news is ignored
    ///
    /// \return Whether it was not believed to be leaving before
    ////////////////////////////////////////////////////////////
    bool recordDraining(bool leaving, core::Timestamp at);

    ////////////////////////////////////////////////////////////
    /// \brief Note that the server asked this node for no requests until a time; the latest holds
    ////////////////////////////////////////////////////////////
    void recordBackOff(core::Timestamp until);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a server that was leaving has closed its connections; trials tell when it is back
    ////////////////////////////////////////////////////////////
    void recordClosed(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief What the server may be given
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Availability availability(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Share of its normal load that it should get, in (0, 1]
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double share(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether it is ejected or waiting for the verdict of a trial
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool ejected() const;

    ////////////////////////////////////////////////////////////
    /// \brief Start the ramp, as for a server that was just declared
    ////////////////////////////////////////////////////////////
    void startRamp(core::Timestamp now);

private:
    HealthSettings  m_settings;             //!< Constants
    unsigned        m_failures{0};          //!< Failures in a row
    unsigned        m_ejections{0};         //!< Ejections since it last worked for a whole ramp
    bool            m_ejected{false};       //!< Ejected and no good trial yet
    bool            m_trialInFlight{false}; //!< A trial was sent
    core::Timestamp m_ejectedUntil{};       //!< No trial before this
    core::Timestamp m_rampEnd{};            //!< Full share from here on
    core::Timestamp m_drainUntil{};         //!< Believed to be leaving until then
    core::Timestamp m_backOffUntil{};       //!< It asked for nothing before
    core::Timestamp m_drainHeardAt{};       //!< When it was last said whether it is leaving
};

} // namespace sailpath::routing

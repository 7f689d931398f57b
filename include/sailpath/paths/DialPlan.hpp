#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/paths/PathState.hpp>

#include <optional>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief Ways by which one connection to a server may be opened
////////////////////////////////////////////////////////////
enum class DialWays
{
    Any,        //!< Directly or through a helper
    DirectOnly, //!< To learn whether the direct path works
    TunnelOnly  //!< To learn whether a helper reaches the server
};

////////////////////////////////////////////////////////////
/// \brief What is to be done next to open a connection
////////////////////////////////////////////////////////////
enum class DialStep
{
    Wait,          //!< Nothing until the next event or `DialPlan::nextDue`
    ConnectDirect, //!< Begin to connect to the server
    OpenTunnel,    //!< Ask one more helper; report `tunnelFailed` when none is left
    Fail           //!< No way is left
};

////////////////////////////////////////////////////////////
/// \brief Settings of a `DialPlan`
////////////////////////////////////////////////////////////
struct DialSettings
{
    core::Duration directTimeout{std::chrono::milliseconds{300}}; //!< For the direct connection to come up
    core::Duration tunnelTimeout{std::chrono::milliseconds{300}}; //!< For a helper to open a tunnel
    core::Duration tunnelDelay{std::chrono::milliseconds{80}};    //!< From the direct attempt to the first helper
    core::Duration suspectDelay{std::chrono::milliseconds{20}};   //!< The same while the path is suspect
    core::Duration helperStagger{std::chrono::milliseconds{80}};  //!< From one helper to the next
    unsigned       maxHelpers{6};                                 //!< Helpers asked for one connection
};

////////////////////////////////////////////////////////////
/// \brief The order in which a connection to a server is tried: directly, and through helpers when that takes long
///
/// The attempts overlap, and the first that succeeds is used. The request is
/// sent after that, so no attempt can make it run. While the direct path is
/// lost, helpers come first and the direct attempt last.
///
/// Does no input or output and reads no clock.
////////////////////////////////////////////////////////////
class DialPlan
{
public:
    ////////////////////////////////////////////////////////////
    /// \param state     What is known of the direct path
    /// \param ways      Ways that may be tried
    /// \param hasHelper Whether a helper may be asked
    ////////////////////////////////////////////////////////////
    DialPlan(const DialSettings& settings, PathState state, DialWays ways, bool hasHelper);

    [[nodiscard]] DialStep start(core::Timestamp now);        //!< Call once
    [[nodiscard]] DialStep directFailed(core::Timestamp now); //!< The direct attempt failed, or was given up
    [[nodiscard]] DialStep tunnelFailed(core::Timestamp now); //!< An asked helper opened no tunnel, or none was left

    [[nodiscard]] DialStep serverDown(core::Timestamp now); //!< An asked helper says that the server is at fault

    ////////////////////////////////////////////////////////////
    /// \brief Take a step whose time has come
    ////////////////////////////////////////////////////////////
    [[nodiscard]] DialStep processDue(core::Timestamp now);

    [[nodiscard]] bool directExpired(core::Timestamp now) const;      //!< Give the direct attempt up
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const;     //!< Null when only events are awaited
    [[nodiscard]] bool                           helpersLeft() const; //!< One more helper may be asked

private:
    [[nodiscard]] DialStep openTunnel(core::Timestamp now);
    [[nodiscard]] DialStep connectDirect(core::Timestamp now);
    [[nodiscard]] DialStep afterFailure(core::Timestamp now);

    DialSettings                   m_settings;
    PathState                      m_state;
    DialWays                       m_ways;
    std::optional<core::Timestamp> m_directUntil; //!< While the direct attempt is under way
    std::optional<core::Timestamp> m_tunnelAt;    //!< When the next helper is asked
    bool                           m_directTried{false};
    unsigned                       m_asked{0};   //!< Helpers asked
    unsigned                       m_pending{0}; //!< Helpers that have not answered
    unsigned                       m_maxHelpers; //!< 0 when helpers may not be asked
};

} // namespace sailpath::paths

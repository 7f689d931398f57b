#pragma once

#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <string_view>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief What a planned stop still has to wait for
////////////////////////////////////////////////////////////
struct OpenWork
{
    std::size_t requests{0};    //!< Requests without an answer
    std::size_t answers{0};     //!< Answers of which callers have not yet got all bytes
    std::size_t tunnels{0};     //!< Tunnels for other nodes on which an answer is due or being passed on
    std::size_t connections{0}; //!< Open connections of callers
};

////////////////////////////////////////////////////////////
/// \brief Why a planned stop ends the process
////////////////////////////////////////////////////////////
enum class StopReason
{
    None,       //!< It does not end yet
    Idle,       //!< Nothing is left
    Linger,     //!< Only connections are left whose callers have not sent a whole request
    GraceIsOver //!< Work is left, but there is no more time
};

[[nodiscard]] std::string_view toString(StopReason reason); //!< As in the log

////////////////////////////////////////////////////////////
/// \brief Decides when a planned stop ends the process
////////////////////////////////////////////////////////////
class StopSchedule
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a schedule
    ///
    /// \param grace Time from the start of the stop after which the process ends whatever is left
    ////////////////////////////////////////////////////////////
    explicit StopSchedule(core::Duration grace);

    [[nodiscard]] core::Timestamp endsAt(core::Timestamp beganAt) const; //!< Latest end of the process
    [[nodiscard]] core::Duration  noticeTime() const; //!< Time from the start until connections are first closed

    ////////////////////////////////////////////////////////////
    /// \brief Decide whether the process ends
    ///
    /// \param elapsed Time since the start of the stop, `noticeTime` or longer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] StopReason decide(const OpenWork& work, core::Duration elapsed) const;

private:
    core::Duration m_grace; //!< Longest time of the stop
};

} // namespace sailpath::gateway

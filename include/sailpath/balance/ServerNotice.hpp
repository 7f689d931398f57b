#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <memory>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What an answer says about the requests that its server still accepts
////////////////////////////////////////////////////////////
struct ServerNotice
{
    bool           leaving{false}; //!< The server shuts down and accepts no new requests
    core::Duration backOff{};      //!< How long this node is to send it no request; 0 if the answer does not say

    [[nodiscard]] bool empty() const
    {
        return !leaving && backOff.count() == 0;
    }
};

////////////////////////////////////////////////////////////
/// \brief The kind of answer that carried a notice
////////////////////////////////////////////////////////////
enum class NoticeSource
{
    Answer,       //!< Answer to a caller's request, also when the caller no longer waits
    HealthAnswer, //!< Answer to a probe
    Misdirected   //!< Answer of another instance that has the address now; this node concludes the notice from it
};

////////////////////////////////////////////////////////////
/// \brief Return the name of a source in logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(NoticeSource source);

////////////////////////////////////////////////////////////
/// \brief A notice that changed this node's state of an instance
////////////////////////////////////////////////////////////
struct NoticeChange
{
    std::shared_ptr<const deployment::Instance> instance;                     //!< The instance that the notice is about
    ServerNotice                                notice;                       //!< Only the part that is new
    NoticeSource                                source{NoticeSource::Answer}; //!< Kind of answer that carried it
    bool                                        listed{true};                 //!< An entry listed the instance then
};

////////////////////////////////////////////////////////////
/// \brief The notices of an instance that are in force now
////////////////////////////////////////////////////////////
struct NoticeInForce
{
    std::shared_ptr<const deployment::Instance> instance;       //!< The instance that gave the notices
    bool                                        leaving{false}; //!< The instance shuts down
    core::Duration                              leavingFor{};   //!< Time since the notice first arrived
    core::Duration                              backOffLeft{};  //!< Time until the instance accepts requests again
};

} // namespace sailpath::balance

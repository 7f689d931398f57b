#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <memory>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What an answer says of the requests that its server still wants
////////////////////////////////////////////////////////////
struct ServerNotice
{
    bool           leaving{false}; //!< It shuts down and wants no new requests
    core::Duration backOff{};      //!< It wants nothing from this node for so long; 0: it does not say

    [[nodiscard]] bool empty() const
    {
        return !leaving && backOff.count() == 0;
    }
};

////////////////////////////////////////////////////////////
/// \brief Which kind of answer a notice came on
////////////////////////////////////////////////////////////
enum class NoticeSource
{
    Answer,       //!< To a request of a caller, also one that nobody waits for any more
    HealthAnswer, //!< To a probe
    Misdirected   //!< Of another instance, which has the address now; concluded here
};

////////////////////////////////////////////////////////////
/// \brief The name of a source in logs
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(NoticeSource source);

////////////////////////////////////////////////////////////
/// \brief A notice that changed what is believed of an instance
////////////////////////////////////////////////////////////
struct NoticeChange
{
    std::shared_ptr<const deployment::Instance> instance;                     //!< Which
    ServerNotice                                notice;                       //!< What is new of it
    NoticeSource                                source{NoticeSource::Answer}; //!< Where it was heard
};

////////////////////////////////////////////////////////////
/// \brief The notices of an instance that hold now
////////////////////////////////////////////////////////////
struct NoticeInForce
{
    std::shared_ptr<const deployment::Instance> instance;       //!< Which
    bool                                        leaving{false}; //!< It shuts down
    core::Duration                              leavingFor{};   //!< Since it said so
    core::Duration                              backOffLeft{};  //!< Until it wants requests again
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/balance/ServerNotice.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What one instance has said of the requests that it still wants from this node
///
/// Belongs to one life of the instance: a new life begins without.
///
/// After a back-off the instance gets one request at a time until it has taken one: that all nodes and callers come
/// back in the same instant would overload it again. One that it does not turn away at once is followed by another.
////////////////////////////////////////////////////////////
class NoticeState
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Hear a notice
    ///
    /// An instance that leaves does not come back in the same life. Of several
    /// back-offs the one that ends last holds.
    ///
    /// \param spread By how much a back-off is made longer, 0 to 1: drawn, so that nodes that were told at the same
    ///               time do not come back at the same time
    ///
    /// \return What of it is new
    ////////////////////////////////////////////////////////////
    ServerNotice record(const ServerNotice& notice, double spread, core::Timestamp now);

    void recordSent(core::Timestamp now);        //!< This node sent it a request
    void recordAccepted(core::Timestamp sentAt); //!< It took a request that was sent then, and answered it

    [[nodiscard]] bool           mayReceiveRequest(core::Timestamp now) const; //!< As far as back-offs go
    [[nodiscard]] bool           isLeaving() const;                            //!< It shuts down
    [[nodiscard]] bool           isBackingOff(core::Timestamp now) const;      //!< It wants nothing now
    [[nodiscard]] core::Duration leavingFor(core::Timestamp now) const;        //!< Since it said so; 0 when it did not
    [[nodiscard]] core::Duration backOffLeft(core::Timestamp now) const;       //!< Until it wants requests again
    [[nodiscard]] bool           empty() const;                                //!< Nothing was ever heard
    [[nodiscard]] bool           isInForce(core::Timestamp now) const;         //!< Something of it still holds

private:
    std::optional<core::Timestamp> m_leavingSince;   //!< When it was first heard that it shuts down
    core::Timestamp                m_backOffUntil{}; //!< It wants nothing before
    bool                           m_onTrial{false}; //!< It has not taken a request since its last back-off
    std::optional<core::Timestamp> m_trialAt;        //!< It was sent one then
};

} // namespace sailpath::balance

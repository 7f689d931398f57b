#pragma once

#include <sailpath/balance/ServerNotice.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief The notices of one instance about the requests that it still accepts from this node
///
/// Belongs to one life of the instance: a new life starts with an empty state.
///
/// After a back-off the instance gets one trial request at a time until it has accepted one. If all nodes and callers
/// came back in the same instant, they would overload it again. A trial that is not rejected at once is followed by
/// another.
////////////////////////////////////////////////////////////
class NoticeState
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record a notice
    ///
    /// An instance that leaves does not come back in the same life. Of several
    /// back-offs the one that ends last holds.
    ///
    /// \param spread Random number, 0 to 1, that lengthens a back-off: nodes that were told at the same time do not
    ///               come back at the same time
    ///
    /// \return The part of the notice that is new
    ////////////////////////////////////////////////////////////
    ServerNotice record(const ServerNotice& notice, double spread, core::Timestamp now);

    void recordSent(core::Timestamp now);        //!< Record that this node sent the instance a request
    void recordAccepted(core::Timestamp sentAt); //!< Record that the instance ran a request that was sent at `sentAt`

    [[nodiscard]] bool           mayReceiveRequest(core::Timestamp now) const; //!< No back-off or open trial forbids it
    [[nodiscard]] bool           isLeaving() const;                            //!< The instance shuts down
    [[nodiscard]] bool           isBackingOff(core::Timestamp now) const;      //!< It accepts no requests now
    [[nodiscard]] core::Duration leavingFor(core::Timestamp now) const;  //!< Since its notice arrived; 0 without one
    [[nodiscard]] core::Duration backOffLeft(core::Timestamp now) const; //!< Until the back-off ends; 0 without one
    [[nodiscard]] bool           empty() const;                          //!< No notice was ever recorded
    [[nodiscard]] bool           isInForce(core::Timestamp now) const;   //!< The instance leaves or backs off

private:
    std::optional<core::Timestamp> m_leavingSince;   //!< When this node first heard that the instance shuts down
    core::Timestamp                m_backOffUntil{}; //!< The instance accepts no requests before this time
    bool                           m_onTrial{false}; //!< The instance has accepted no request since its last back-off
    std::optional<core::Timestamp> m_trialAt;        //!< When the last trial request was sent
};

} // namespace sailpath::balance

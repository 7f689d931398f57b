#pragma once

#include <sailpath/balance/ServerNotice.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What one instance has said of the requests that it still wants from this node
///
/// Belongs to one life of the instance: a new life begins without.
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
    /// \return What of it is new
    ////////////////////////////////////////////////////////////
    ServerNotice hear(const ServerNotice& notice, core::Timestamp now);

    [[nodiscard]] bool           leaving() const;                        //!< It shuts down
    [[nodiscard]] bool           backsOff(core::Timestamp now) const;    //!< It wants nothing now
    [[nodiscard]] core::Duration leavingFor(core::Timestamp now) const;  //!< Since it said so; 0 when it did not
    [[nodiscard]] core::Duration backOffLeft(core::Timestamp now) const; //!< Until it wants requests again
    [[nodiscard]] bool           empty() const;                          //!< Nothing was ever heard
    [[nodiscard]] bool           inForce(core::Timestamp now) const;     //!< Something of it still holds

private:
    std::optional<core::Timestamp> m_leavingSince;   //!< When it was first heard that it shuts down
    core::Timestamp                m_backOffUntil{}; //!< It wants nothing before
};

} // namespace sailpath::balance

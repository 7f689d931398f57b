#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Overload of a service, measured by the requests rejected among those that could still be answered in time
////////////////////////////////////////////////////////////
class Pressure
{
public:
    void recordAdmitted(core::Timestamp now); //!< A request that could be in time was sent to a server
    void recordRejected(core::Timestamp now); //!< A request that could be in time was rejected because of load

    [[nodiscard]] bool active(core::Timestamp now) const; //!< Whether a request was rejected recently
    /// \brief Whether `active`, and more requests are rejected than admitted
    [[nodiscard]] bool high(core::Timestamp now) const;

private:
    void record(double rejected, core::Timestamp now);

    std::optional<core::Timestamp> m_lastRejectedAt;   //!< Time of the last rejection
    double                         m_rejectedShare{0}; //!< Moving average of the share rejected
};

} // namespace sailpath::balance

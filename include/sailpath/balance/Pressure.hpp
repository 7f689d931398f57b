#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief How short of room a service is, by what became of requests that could still be answered in time
////////////////////////////////////////////////////////////
class Pressure
{
public:
    void recordAdmitted(core::Timestamp now); //!< Such a request was sent to a server
    void recordRejected(core::Timestamp now); //!< Such a request was refused for load

    [[nodiscard]] bool active(core::Timestamp now) const; //!< One was turned away lately
    [[nodiscard]] bool high(core::Timestamp now) const;   //!< Of late many of them were

private:
    void record(double rejected, core::Timestamp now);

    std::optional<core::Timestamp> m_lastRejectedAt;   //!< The last that was
    double                         m_rejectedShare{0}; //!< Of the last ones
};

} // namespace sailpath::balance

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
    void letIn(core::Timestamp now);      //!< Such a request was sent to a server
    void turnedAway(core::Timestamp now); //!< Such a request was refused for load

    [[nodiscard]] bool any(core::Timestamp now) const;  //!< One was turned away lately
    [[nodiscard]] bool high(core::Timestamp now) const; //!< Of late many of them were

private:
    void note(double refused, core::Timestamp now);

    std::optional<core::Timestamp> m_turnedAwayAt;    //!< The last that was
    double                         m_refusedShare{0}; //!< Of the last ones
};

} // namespace sailpath::balance

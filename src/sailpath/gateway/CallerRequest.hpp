#pragma once

#include "BodyReservation.hpp"

#include <sailpath/core/Time.hpp>
#include <sailpath/http/Head.hpp>

#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A whole request of a caller
////////////////////////////////////////////////////////////
struct CallerRequest
{
    http::Head      head;          //!< As it came
    std::string     body;          //!< Whole
    core::Timestamp firstByteAt{}; //!< When its first byte came
    BodyReservation reservation;   //!< Of its body
};

} // namespace sailpath::gateway::priv

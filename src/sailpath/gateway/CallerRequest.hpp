#pragma once

#include "BodyClaim.hpp"

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
    http::Head      head;    //!< As it came
    std::string     body;    //!< Whole
    core::Timestamp since{}; //!< When its first byte came
    BodyClaim       memory;  //!< Of its body
};

} // namespace sailpath::gateway::priv

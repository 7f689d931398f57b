#pragma once

#include "RequestBody.hpp"

#include <sailpath/core/Time.hpp>
#include <sailpath/http/Head.hpp>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A complete request of a caller
////////////////////////////////////////////////////////////
struct CallerRequest
{
    http::Head      head;                     //!< As received
    SharedBody      body;                     //!< Null when it is empty
    core::Timestamp firstByteAt{};            //!< When the first byte arrived
    bool            firstOnConnection{false}; //!< No earlier request arrived on the connection
};

} // namespace sailpath::gateway::priv

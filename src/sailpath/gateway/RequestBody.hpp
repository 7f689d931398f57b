#pragma once

#include "BodyReservation.hpp"

#include <memory>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Body of a caller's request with the memory reserved for it
///
/// Shared by all that send it, so its memory is released with the last one.
////////////////////////////////////////////////////////////
struct RequestBody
{
    std::string     bytes;       //!< Decoded and complete
    BodyReservation reservation; //!< Memory of `bytes`
};

using SharedBody = std::shared_ptr<const RequestBody>; //!< Null for a request without a body

} // namespace sailpath::gateway::priv

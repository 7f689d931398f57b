#pragma once

#include <sailpath/core/Time.hpp>

#include <string>
#include <string_view>

namespace sailpath::claims
{
////////////////////////////////////////////////////////////
/// \brief A caller's key for a request that must run at most once
////////////////////////////////////////////////////////////
struct Claim
{
    std::string    key;      //!< Key in the store
    std::string    token;    //!< Names this sending, so that its writer knows it again
    core::Duration window{}; //!< How long copies are recognised
};

////////////////////////////////////////////////////////////
/// \brief What came of a claim
////////////////////////////////////////////////////////////
enum class ClaimVerdict
{
    Granted,     //!< Durable: this sending may go on
    Duplicate,   //!< Another sending has the key
    Unavailable, //!< Certainly not durable; this sending must not go on
    Unresolved   //!< Perhaps durable; this sending must not go on, and the claim is to be taken back
};

////////////////////////////////////////////////////////////
/// \brief Key in the store for a caller's key
///
/// \param workspace      Workspace
/// \param service        Service
/// \param idempotencyKey What the caller sent, any text
////////////////////////////////////////////////////////////
[[nodiscard]] std::string claimKey(std::string_view workspace, std::string_view service,
                                   std::string_view idempotencyKey);

} // namespace sailpath::claims

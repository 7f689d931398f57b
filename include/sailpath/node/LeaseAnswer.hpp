#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Result of acquiring or renewing a lease
////////////////////////////////////////////////////////////
enum class LeaseResult
{
    Held,        //!< The lease was granted or renewed, and this VM has the key
    HeldByOther, //!< The lease is valid, but another VM has the key
    Gone,        //!< The lease has expired or was revoked
    Failed       //!< The store did not answer, so the state of the lease is unknown
};

////////////////////////////////////////////////////////////
/// \brief Answer to `AcquireLease` or `RenewLease`
////////////////////////////////////////////////////////////
struct LeaseAnswer
{
    LeaseResult     result{LeaseResult::Failed}; //!< Result of the request
    bool            renewal{false};              //!< Whether the request was a `RenewLease`
    unsigned        group{0};                    //!< Probe group of an `AcquireLease`
    std::int64_t    lease{0};                    //!< Id of the lease in the store
    core::Duration  length{};                    //!< Granted length, counted from `sentAt`
    core::Timestamp sentAt{};                    //!< When the request was sent
};

} // namespace sailpath::node

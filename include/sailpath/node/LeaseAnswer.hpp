#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief What came of acquiring or renewing a lease
////////////////////////////////////////////////////////////
enum class LeaseResult
{
    Held,        //!< Granted or renewed, and the key is ours
    HeldByOther, //!< The lease lives, but another VM has the key
    Gone,        //!< The store no longer knows the lease
    Failed       //!< No answer; nothing is known
};

////////////////////////////////////////////////////////////
/// \brief Answer to `AcquireLease` or `RenewLease`
////////////////////////////////////////////////////////////
struct LeaseAnswer
{
    LeaseResult     result{LeaseResult::Failed}; //!< What came of it
    bool            renewal{false};              //!< Answers a `RenewLease`
    unsigned        group{0};                    //!< For an acquisition: the probe group
    std::int64_t    lease{0};                    //!< The store's id
    core::Duration  length{};                    //!< Length granted
    core::Timestamp sentAt{};                    //!< When the request was sent
};

} // namespace sailpath::node

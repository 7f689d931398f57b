#pragma once

#include <string_view>

namespace sailpath::entry
{
// Headers of sailpath's own; docs/PROTOCOLS.md describes them.
inline constexpr std::string_view headerLoad = "Sailpath-Load";                   //!< Server: requests it holds
inline constexpr std::string_view headerDraining = "Sailpath-Draining";           //!< Server: it is leaving
inline constexpr std::string_view headerRan = "Sailpath-Ran";                     //!< Whether the request ran
inline constexpr std::string_view headerRetry = "Sailpath-Retry";                 //!< `never`: do not send again
inline constexpr std::string_view headerReason = "Sailpath-Reason";               //!< Why a request was refused
inline constexpr std::string_view headerRetryAfterMs = "Sailpath-Retry-After-Ms"; //!< When to come back
inline constexpr std::string_view headerDeadlineMs = "Sailpath-Deadline-Ms";      //!< Time the caller still waits
inline constexpr std::string_view headerIdempotencyKey =
    "Idempotency-Key";                                              //!< Names a request that must run at most once
inline constexpr std::string_view headerRequestId = "X-Request-Id"; //!< Follows a request everywhere

} // namespace sailpath::entry

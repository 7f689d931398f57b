#pragma once

#include <string_view>

namespace sailpath::entry
{
// HTTP headers used by sailpath, as specified in docs/PROTOCOLS.md.
inline constexpr std::string_view headerLoad = "Sailpath-Load";         //!< Requests in flight on the server
inline constexpr std::string_view headerDraining = "Sailpath-Draining"; //!< `true`: the server is draining
inline constexpr std::string_view headerRan = "Sailpath-Ran";           //!< Whether the request was executed
inline constexpr std::string_view headerRetry = "Sailpath-Retry";       //!< `never`: the request must not be retried
inline constexpr std::string_view headerReason = "Sailpath-Reason";     //!< Why a request was refused
inline constexpr std::string_view headerRetryAfterMs = "Sailpath-Retry-After-Ms"; //!< Retry delay in milliseconds
inline constexpr std::string_view headerDeadlineMs = "Sailpath-Deadline-Ms";      //!< Remaining time in milliseconds
inline constexpr std::string_view headerIdempotencyKey =
    "Idempotency-Key"; //!< Identifies a request that must be executed at most once
inline constexpr std::string_view headerRequestId = "X-Request-Id"; //!< Identifies a request across all hops

} // namespace sailpath::entry

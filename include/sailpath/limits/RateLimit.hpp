#pragma once

#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>

#include <string_view>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Rate limiter with one token bucket per key
////////////////////////////////////////////////////////////
class RateLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a limiter whose buckets are full
    ///
    /// \param perSecond Uses per second allowed to each key
    /// \param burst     Uses that a key may make at once
    ////////////////////////////////////////////////////////////
    RateLimit(double perSecond, double burst);

    ////////////////////////////////////////////////////////////
    /// \brief Consume one token of a key if there is one
    ///
    /// \return Whether the use is allowed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allow(std::string_view key, core::Timestamp now);

private:
    struct TokenBucket
    {
        double          tokens;     //!< Uses allowed at `refilledAt`
        core::Timestamp refilledAt; //!< Time of the last attempt to use the bucket
    };

    void removeFullBuckets(core::Timestamp now);

    double                       m_perSecond;     //!< Uses per second allowed to each key
    double                       m_burst;         //!< Capacity of a bucket in uses
    core::StringMap<TokenBucket> m_buckets;       //!< By key
    core::Timestamp              m_nextCleanup{}; //!< Time of the next removal of idle buckets
};

} // namespace sailpath::limits

#pragma once

#include <sailpath/core/Time.hpp>

#include <array>
#include <cstddef>

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief Learns the load of an instance at which it answers most requests in time
///
/// Answers the load pattern of a service whose instances slow down before their slots are full, or bear waiting ones.
/// By Little's law an instance that holds n requests, each for a time T, answers n / T of them a unit of time.
////////////////////////////////////////////////////////////
class BestLoad
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record the end of an attempt
    ///
    /// \param load   Requests held by the instance, this one included, per slot
    /// \param works  Time from the send to the end, in usual processing times of the route
    /// \param inTime Whether the answer came within the target latency
    ////////////////////////////////////////////////////////////
    void record(double load, double works, bool inTime, core::Timestamp now);

    [[nodiscard]] double value() const; //!< Best load, per slot

private:
    struct Bucket
    {
        double weight{0}; //!< Decaying count of the ends, assumed ones included
        double load{0};   //!< Decaying sum of the loads
        double works{0};  //!< Decaying sum of the times
        double inTime{0}; //!< Decaying count of the ends in time
    };

    static constexpr std::size_t bucketCount = 5; //!< Waiting requests add no work, so higher loads are not considered

    [[nodiscard]] Bucket withAssumed(std::size_t index, double worksAlone) const;
    void                 learnBest();

    std::array<Bucket, bucketCount> m_buckets; //!< By load
    core::Timestamp                 m_at{};    //!< Time of the last end
    double                          m_best{1}; //!< Best load, per slot
};

} // namespace sailpath::balance::admission

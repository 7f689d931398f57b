#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Adaptive limit of the expected queueing time at which a request is still admitted
///
/// A queue that forms and drains again absorbs a burst and justifies its
/// waiting time. A standing queue adds the same wait to every request
/// without increasing the throughput, so the limit is low until the queue
/// has drained (after CoDel: Nichols and Jacobson, ACM Queue 10(5), 2012).
////////////////////////////////////////////////////////////
class QueueWaitLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record whether the queue is empty
    ////////////////////////////////////////////////////////////
    void observe(bool empty, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return the longest expected wait at which a request is admitted
    ///
    /// \param configured   Configured upper bound
    /// \param usualLatency Usual time from sending a request to its answer
    /// \param now          Current time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration maxWait(core::Duration configured, core::Duration usualLatency,
                                         core::Timestamp now) const;

private:
    static constexpr core::Duration standingAfter = std::chrono::milliseconds{500}; //!< Age of a standing queue
    static constexpr core::Duration drainedAfter = std::chrono::milliseconds{100};  //!< Idle time that ends a queue
    static constexpr core::Duration minWait = std::chrono::milliseconds{20}; //!< Least limit, if configured allows

    core::Timestamp m_queuedSince{core::Timestamp::max()}; //!< Start of the present queue; the maximum for none
    core::Timestamp m_lastQueuedAt{};                      //!< Last time at which the queue was not empty
};

} // namespace sailpath::limits

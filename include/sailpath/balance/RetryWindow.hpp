#pragma once

#include <sailpath/balance/retry/FleetBudget.hpp>
#include <sailpath/core/Time.hpp>

#include <deque>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief This node's part of the retry budget of a service, counted over a sliding window
///
/// The parts of all nodes add up to at most the budget of the fleet: the ratio applies to the requests of this node;
/// the extra retries are divided by the number of nodes. A node gets its extra only when one window has passed since
/// its start, as the process before the restart may have used it.
////////////////////////////////////////////////////////////
class RetryWindow
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty window
    ///
    /// \param window    Length of the sliding window
    /// \param ratio     Retries allowed per request
    /// \param startedAt Start of this process
    ////////////////////////////////////////////////////////////
    RetryWindow(core::Duration window, double ratio, core::Timestamp startedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Count the first send of a request for the service
    ////////////////////////////////////////////////////////////
    void recordRequest(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Count a retry if the budget allows one
    ///
    /// \param extra This node's part of the retries that the fleet may send beyond the ratio
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool take(double extra, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Whether `take` would allow a retry
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allows(double extra, core::Timestamp now) const;

    [[nodiscard]] retry::BudgetUse use(double extra, core::Timestamp now) const; //!< Retries allowed and sent
    [[nodiscard]] double left(double extra, core::Timestamp now) const; //!< Retries that the budget still allows

    void recordRetry(core::Timestamp now); //!< Count a retry, also beyond this node's part

private:
    struct Bucket
    {
        core::Timestamp start{};     //!< Start of the span counted here
        unsigned        requests{0}; //!< First sends
        unsigned        retries{0};  //!< Sends beyond the first
    };

    Bucket& current(core::Timestamp now);

    core::Duration     m_window;    //!< Length of the sliding window
    double             m_ratio;     //!< Retries allowed per request
    core::Timestamp    m_startedAt; //!< Start of this process
    std::deque<Bucket> m_buckets;   //!< Counts by span, oldest first
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/core/Time.hpp>

#include <deque>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief One node's part of a service's retry budget over a sliding window
///
/// The parts of all nodes add up to at most the budget of the fleet: the
/// share follows the node's own requests, the extra is divided by the number
/// of nodes and withheld from a new life until a window has passed, as the
/// life before may have used it.
////////////////////////////////////////////////////////////
class RetryWindow
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start with nothing counted
    ///
    /// \param window Span
    /// \param ratio  Further sends as a share of requests
    /// \param born   Start of this life
    ////////////////////////////////////////////////////////////
    RetryWindow(core::Duration window, double ratio, core::Timestamp startedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Count a request for the service
    ////////////////////////////////////////////////////////////
    void recordRequest(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Count a further send, if the budget allows one
    ///
    /// \param extra This node's part of the fleet's extra
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool take(double extra, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Whether `take` would allow one
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allows(double extra, core::Timestamp now);

private:
    struct Bucket
    {
        core::Timestamp start{};     //!< Of the span counted here
        unsigned        requests{0}; //!< First sends
        unsigned        retries{0};  //!< Sends beyond the first
    };

    Bucket& current(core::Timestamp now);

    core::Duration     m_window;      //!< Span
    double             m_ratio;       //!< Share
    core::Timestamp    m_startedAt;   //!< Start of this life
    std::deque<Bucket> m_buckets;     //!< Oldest first
    unsigned           m_requests{0}; //!< Sum over the buckets
    unsigned           m_retries{0};  //!< Sum over the buckets
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::balance::retry
{
////////////////////////////////////////////////////////////
/// \brief Estimates how many requests the servers of a service reject, and whether they had room for them
///
/// Load: all servers of a service reject a share of their requests although they have free slots. Another server, or the
/// same one a moment later, would accept the request, so its caller loses time with each delay that it is told. A full
/// server also rejects requests; retries at once would only add to its load. The load report tells the two apart.
////////////////////////////////////////////////////////////
class RejectionMonitor
{
public:
    void recordAccepted(core::Timestamp now); //!< A server accepted a request

    ////////////////////////////////////////////////////////////
    /// \brief Record a rejected request
    ///
    /// \param hadRoom Whether the server reported a free slot and no queue; false without a report
    ////////////////////////////////////////////////////////////
    void recordRejected(bool hadRoom, core::Timestamp now);

    [[nodiscard]] double rejectedShare(core::Timestamp now) const; //!< Share of recent requests that were rejected

    ////////////////////////////////////////////////////////////
    /// \brief Whether a rejected request is likely to be accepted if it is sent again at once
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool wouldAccept(core::Timestamp now) const;

    [[nodiscard]] std::uint64_t rejectedWithRoom() const; //!< Rejections by servers with room since the start

private:
    void decay(core::Timestamp now);

    double          m_accepted{0};         //!< Decaying count of accepted requests
    double          m_rejected{0};         //!< Decaying count of rejected requests
    double          m_withRoom{0};         //!< Decaying count of those of `m_rejected` whose server had room
    core::Timestamp m_at{};                //!< Time of the decaying counts
    std::uint64_t   m_rejectedWithRoom{0}; //!< Rejections by servers with room since the start
};

} // namespace sailpath::balance::retry

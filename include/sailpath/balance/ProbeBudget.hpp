#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Token bucket for the probes that one node may send to the servers of one service
///
/// Load pattern: a burst of requests, each of which probes several servers. The mean rate is bounded; tokens saved
/// during quiet seconds serve the burst.
///
/// Limits: the bucket holds the tokens of a few seconds only, as hundreds of nodes that spend more at once would keep
/// the servers busy with probes.
////////////////////////////////////////////////////////////
class ProbeBudget
{
public:
    explicit ProbeBudget(core::Timestamp startedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Take a token for a probe if one is left
    ///
    /// \param perSecond Refill rate: probes a second that this node may send
    ///
    /// \return Whether the probe may be sent
    ////////////////////////////////////////////////////////////
    bool take(double perSecond, core::Timestamp now);

private:
    double          m_tokens{0}; //!< Probes that may be sent, as of `m_tokensAt`
    core::Timestamp m_tokensAt;  //!< Time of the last refill
};

} // namespace sailpath::balance

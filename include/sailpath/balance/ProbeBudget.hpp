#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Probes that one node may send to the servers of one service
///
/// Load pattern: a burst of requests, each of which asks several servers. The
/// mean over the life is bounded; what was saved up in calm seconds serves the
/// burst. Limits: saved up are a few seconds' worth, as hundreds of nodes that
/// spend more at once would keep the servers busy with probes.
////////////////////////////////////////////////////////////
class ProbeBudget
{
public:
    explicit ProbeBudget(core::Timestamp startedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Count a probe, if one may be sent
    ///
    /// \param perSecond Probes a second that this node may send
    ////////////////////////////////////////////////////////////
    bool take(double perSecond, core::Timestamp now);

private:
    double          m_tokens{0}; //!< Probes that may be sent
    core::Timestamp m_tokensAt;  //!< Time of that figure
};

} // namespace sailpath::balance

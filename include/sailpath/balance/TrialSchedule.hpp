#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What a refusal of a request relies on
////////////////////////////////////////////////////////////
enum class RefusalBasis
{
    Guess,     //!< The processing time of the route was never learned
    Estimates, //!< Learned values alone: the chosen server has room
    Load       //!< The chosen server has no room as far as is known
};

////////////////////////////////////////////////////////////
/// \brief Decides when a request that an estimate refuses is sent all the same, to test the estimate
///
/// A refusal sends nothing that could correct the estimate behind it. Trials
/// bound the time for which a wrong estimate refuses all requests of a route.
/// Requests that are admitted test the estimates as well, so trials are sent
/// only after a time without either, which is short where a trial delays no
/// other request.
////////////////////////////////////////////////////////////
class TrialSchedule
{
public:
    [[nodiscard]] bool due(RefusalBasis basis, core::Timestamp now) const; //!< Whether a trial may be sent now

    void recordSent(bool trial, core::Timestamp now); //!< A request of the route is sent
    void recordContradiction();                       //!< A trial was answered in time: the next one is due soon

private:
    unsigned        m_trials{0};   //!< Trials in a row that did not contradict the estimate
    core::Timestamp m_lastTrial{}; //!< Time of the last trial; the epoch without one
    core::Timestamp m_lastSent{};  //!< Time of the last request, trials included; the epoch without one
};

} // namespace sailpath::balance

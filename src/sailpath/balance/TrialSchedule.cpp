#include <sailpath/balance/TrialSchedule.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr auto     firstInterval = std::chrono::milliseconds{250}; // Doubles with each trial
constexpr unsigned maxDoublings = 5;                               // To 8 s
// While a server has room: an idle service refuses nobody for longer than a second.
constexpr auto     longestIntervalWithRoom = std::chrono::milliseconds{800};
constexpr auto     intervalWithoutRoom = std::chrono::seconds{8};

} // namespace

////////////////////////////////////////////////////////////
bool TrialSchedule::due(RefusalBasis basis, core::Timestamp now) const
{
    const unsigned       doublings = std::min(std::max(m_trials, 1U) - 1, maxDoublings);
    const core::Duration interval = firstInterval * (1U << doublings);
    switch (basis)
    {
    case RefusalBasis::Guess:
        return now - m_lastTrial >= interval;
    case RefusalBasis::Estimates:
        return now - m_lastSent >= std::min<core::Duration>(interval, longestIntervalWithRoom);
    case RefusalBasis::Load:
        break;
    }
    return now - m_lastSent >= intervalWithoutRoom;
}

////////////////////////////////////////////////////////////
void TrialSchedule::recordSent(bool trial, core::Timestamp now)
{
    m_lastSent = now;
    if (!trial)
        return;
    ++m_trials;
    m_lastTrial = now;
}

////////////////////////////////////////////////////////////
void TrialSchedule::recordContradiction()
{
    m_trials = 0;
}

} // namespace sailpath::balance

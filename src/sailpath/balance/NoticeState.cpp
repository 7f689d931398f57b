#include <sailpath/balance/NoticeState.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double maxSpread = 0.25;                           // Largest extension, as a part of the back-off
constexpr auto   trialWait = std::chrono::milliseconds{250}; // A server rejects a request well within this time

} // namespace

////////////////////////////////////////////////////////////
ServerNotice NoticeState::record(const ServerNotice& notice, double spread, core::Timestamp now)
{
    ServerNotice news;
    if (notice.leaving && !m_leavingSince)
    {
        m_leavingSince = now;
        news.leaving = true;
    }
    if (notice.backOff.count() > 0)
    {
        news.backOff = isBackingOff(now) ? core::Duration{} : notice.backOff;
        const auto length = core::fromMilliseconds(core::toMilliseconds(notice.backOff) * (1 + maxSpread * spread));
        m_backOffUntil = std::max<core::Timestamp>(m_backOffUntil, now + length);
        m_onTrial = true;
        m_trialAt.reset();
    }
    return news;
}

////////////////////////////////////////////////////////////
void NoticeState::recordSent(core::Timestamp now)
{
    if (m_onTrial && !isBackingOff(now))
        m_trialAt = now;
}

////////////////////////////////////////////////////////////
void NoticeState::recordAccepted(core::Timestamp sentAt)
{
    // A request that was sent before the end of the back-off says nothing about the time after it.
    m_onTrial = m_onTrial && sentAt < m_backOffUntil;
}

////////////////////////////////////////////////////////////
bool NoticeState::mayReceiveRequest(core::Timestamp now) const
{
    const bool trialIsOpen = m_trialAt && now - *m_trialAt < trialWait;
    return !isBackingOff(now) && (!m_onTrial || !trialIsOpen);
}

////////////////////////////////////////////////////////////
bool NoticeState::isLeaving() const
{
    return m_leavingSince.has_value();
}

////////////////////////////////////////////////////////////
bool NoticeState::isBackingOff(core::Timestamp now) const
{
    return now < m_backOffUntil;
}

////////////////////////////////////////////////////////////
core::Duration NoticeState::leavingFor(core::Timestamp now) const
{
    return m_leavingSince ? now - *m_leavingSince : core::Duration{};
}

////////////////////////////////////////////////////////////
core::Duration NoticeState::backOffLeft(core::Timestamp now) const
{
    return std::max<core::Duration>(core::Duration{}, m_backOffUntil - now);
}

////////////////////////////////////////////////////////////
bool NoticeState::empty() const
{
    return !isLeaving() && m_backOffUntil == core::Timestamp{};
}

////////////////////////////////////////////////////////////
bool NoticeState::isInForce(core::Timestamp now) const
{
    return isLeaving() || isBackingOff(now);
}

} // namespace sailpath::balance

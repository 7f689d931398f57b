#include <sailpath/balance/NoticeState.hpp>

#include <algorithm>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
ServerNotice NoticeState::hear(const ServerNotice& notice, core::Timestamp now)
{
    ServerNotice news;
    if (notice.leaving && !m_leavingSince)
    {
        m_leavingSince = now;
        news.leaving = true;
    }
    if (notice.backOff.count() > 0)
    {
        news.backOff = backsOff(now) ? core::Duration{} : notice.backOff;
        m_backOffUntil = std::max<core::Timestamp>(m_backOffUntil, now + notice.backOff);
    }
    return news;
}

////////////////////////////////////////////////////////////
bool NoticeState::leaving() const
{
    return m_leavingSince.has_value();
}

////////////////////////////////////////////////////////////
bool NoticeState::backsOff(core::Timestamp now) const
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
    return !leaving() && m_backOffUntil == core::Timestamp{};
}

////////////////////////////////////////////////////////////
bool NoticeState::inForce(core::Timestamp now) const
{
    return leaving() || backsOff(now);
}

} // namespace sailpath::balance

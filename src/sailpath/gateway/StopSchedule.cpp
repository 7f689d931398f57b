#include <sailpath/gateway/StopSchedule.hpp>

#include <algorithm>

namespace sailpath::gateway
{
namespace
{
constexpr auto noticeOfBalancer = std::chrono::milliseconds{2300}; // For the balancer in front to notice
constexpr auto lingerTime = std::chrono::seconds{1};               // For callers' connections to end

} // namespace

////////////////////////////////////////////////////////////
std::string_view toString(StopReason reason)
{
    switch (reason)
    {
    case StopReason::None:
        return "none";
    case StopReason::Idle:
        return "idle";
    case StopReason::Linger:
        return "linger";
    case StopReason::GraceIsOver:
        return "grace-over";
    }
    return "unknown";
}

////////////////////////////////////////////////////////////
StopSchedule::StopSchedule(core::Duration grace) :
m_grace(grace)
{
}

////////////////////////////////////////////////////////////
core::Timestamp StopSchedule::endsAt(core::Timestamp beganAt) const
{
    return beganAt + m_grace;
}

////////////////////////////////////////////////////////////
core::Duration StopSchedule::noticeTime() const
{
    return std::min<core::Duration>(noticeOfBalancer, m_grace);
}

////////////////////////////////////////////////////////////
StopReason StopSchedule::decide(const OpenWork& work, core::Duration elapsed) const
{
    const bool workLeft = work.requests + work.answers + work.tunnels > 0;
    if (!workLeft && work.connections == 0)
        return StopReason::Idle;
    if (!workLeft && elapsed >= noticeTime() + lingerTime)
        return StopReason::Linger;
    return elapsed >= m_grace ? StopReason::GraceIsOver : StopReason::None;
}

} // namespace sailpath::gateway

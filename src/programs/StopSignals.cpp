#include "StopSignals.hpp"

namespace sailpath::programs
{
////////////////////////////////////////////////////////////
StopSignals::StopSignals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

////////////////////////////////////////////////////////////
bool StopSignals::wait(core::Duration longest) const
{
    constexpr std::int64_t microsPerSecond = 1'000'000;
    const timespec         limit{longest.count() / microsPerSecond, longest.count() % microsPerSecond * 1000};
    return sigtimedwait(&m_signals, nullptr, &limit) > 0;
}

} // namespace sailpath::programs

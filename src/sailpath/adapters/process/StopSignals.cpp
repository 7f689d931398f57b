#include <sailpath/adapters/process/StopSignals.hpp>

namespace sailpath::adapters::process
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

////////////////////////////////////////////////////////////
void StopSignals::wait() const
{
    int signal = 0;
    (void)sigwait(&m_signals, &signal);
}

} // namespace sailpath::adapters::process

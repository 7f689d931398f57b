#include <sailpath/gateway/LoopWatchdog.hpp>

#include <sailpath/core/Clock.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::gateway
{
namespace
{
constexpr auto interval = std::chrono::seconds{1};
constexpr auto threshold = std::chrono::milliseconds{1500}; // Three times the interval of the loop's beats

} // namespace

////////////////////////////////////////////////////////////
LoopWatchdog::LoopWatchdog(const LoopProgress& progress, ports::EventLog& log) :
m_progress(progress),
m_log(log),
m_thread([this] { run(); })
{
}

////////////////////////////////////////////////////////////
LoopWatchdog::~LoopWatchdog()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
}

////////////////////////////////////////////////////////////
StallCounts LoopWatchdog::counts() const
{
    return {m_stalls.load(), core::Duration{m_longestUs.load()}};
}

////////////////////////////////////////////////////////////
void LoopWatchdog::run()
{
    StallDetector                detector(threshold, interval, core::now());
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stop.wait_for(lock, interval, [this] { return m_stopping; }))
    {
        if (const auto stall = detector.observe(m_progress.beats(), core::now()))
            report(*stall);
    }
}

////////////////////////////////////////////////////////////
void LoopWatchdog::report(const Stall& stall)
{
    if (!std::exchange(m_counted, !stall.ended))
        ++m_stalls;
    m_longestUs = std::max<std::int64_t>(m_longestUs, stall.lasted.count());
    if (stall.ended)
        m_log.write(ports::Level::Warning, "loop-resumed", {{"ms", core::toMilliseconds(stall.lasted)}});
    else
        m_log.write(ports::Level::Error, "loop-stalled",
                    {{"ms", core::toMilliseconds(stall.lasted)}, {"last", m_progress.activity()}});
}

} // namespace sailpath::gateway

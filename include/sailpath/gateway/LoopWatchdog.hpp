#pragma once

#include <sailpath/gateway/LoopProgress.hpp>
#include <sailpath/gateway/StallDetector.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Stalls of an event loop since the start
////////////////////////////////////////////////////////////
struct StallCounts
{
    std::uint64_t  stalls{0}; //!< Stalls detected
    core::Duration longest{}; //!< Longest of them so far
};

////////////////////////////////////////////////////////////
/// \brief Thread that logs when an event loop stands still, which the loop itself cannot tell
///
/// Logs `loop-stalled` with what the loop began last, and `loop-resumed`.
////////////////////////////////////////////////////////////
class LoopWatchdog
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the thread
    ///
    /// \param progress Progress of the loop; must outlive the watchdog
    /// \param log      Event log, used from the thread; must outlive the watchdog
    ////////////////////////////////////////////////////////////
    LoopWatchdog(const LoopProgress& progress, ports::EventLog& log);

    ~LoopWatchdog();
    LoopWatchdog(const LoopWatchdog&) = delete;
    LoopWatchdog& operator=(const LoopWatchdog&) = delete;

    [[nodiscard]] StallCounts counts() const; //!< May be called from any thread

private:
    void run();
    void report(const Stall& stall);

    const LoopProgress&        m_progress;       //!< Watched
    ports::EventLog&           m_log;            //!< Written to
    std::atomic<std::uint64_t> m_stalls{0};      //!< Stalls detected
    std::atomic<std::int64_t>  m_longestUs{0};   //!< Longest of them, microseconds
    bool                       m_counted{false}; //!< The stall in progress is part of `m_stalls`
    std::mutex                 m_mutex;          //!< Guards `m_stopping`
    std::condition_variable    m_stop;           //!< Signalled by the destructor
    bool                       m_stopping{false};
    std::thread                m_thread;
};

} // namespace sailpath::gateway

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief Thread that runs posted tasks in order, one at a time
////////////////////////////////////////////////////////////
class TaskThread
{
public:
    TaskThread();
    ~TaskThread();
    TaskThread(const TaskThread&) = delete;
    TaskThread& operator=(const TaskThread&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Append a task to the queue
    ////////////////////////////////////////////////////////////
    void post(std::function<void()> task);

    ////////////////////////////////////////////////////////////
    /// \brief Discard queued tasks and join the thread once the running task has ended
    ////////////////////////////////////////////////////////////
    void stop();

private:
    void run();

    std::mutex                        m_mutex;           //!< Guards the tasks and the stop flag
    std::condition_variable           m_wake;            //!< Signals a new task or the stop
    std::deque<std::function<void()>> m_tasks;           //!< Queued tasks
    bool                              m_stopping{false}; //!< `stop` has been called
    std::thread                       m_thread;          //!< Runs the tasks
};

} // namespace sailpath::control

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief One thread that runs tasks one after another
////////////////////////////////////////////////////////////
class TaskThread
{
public:
    TaskThread();
    ~TaskThread();
    TaskThread(const TaskThread&) = delete;
    TaskThread& operator=(const TaskThread&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Queue a task
    ////////////////////////////////////////////////////////////
    void post(std::function<void()> task);

    ////////////////////////////////////////////////////////////
    /// \brief Drop the tasks that wait and end the thread after the one that runs
    ////////////////////////////////////////////////////////////
    void stop();

private:
    void run();

    std::mutex                        m_mutex;         //!< Guards what follows
    std::condition_variable           m_wake;          //!< Signals a task or the end
    std::deque<std::function<void()>> m_tasks;         //!< Tasks that wait
    bool                              m_ending{false}; //!< `stop` was called
    std::thread                       m_thread;        //!< Runs the tasks
};

} // namespace sailpath::control

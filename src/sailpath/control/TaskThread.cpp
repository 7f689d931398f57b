#include <sailpath/control/TaskThread.hpp>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
TaskThread::TaskThread() :
m_thread([this] { run(); })
{
}

////////////////////////////////////////////////////////////
TaskThread::~TaskThread()
{
    stop();
}

////////////////////////////////////////////////////////////
void TaskThread::post(std::function<void()> task)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
}

////////////////////////////////////////////////////////////
void TaskThread::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_tasks.clear();
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

////////////////////////////////////////////////////////////
void TaskThread::run()
{
    while (true)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        if (m_stopping)
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }
}

} // namespace sailpath::control

#include "WorkerPool.hpp"

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
WorkerPool::WorkerPool(std::size_t workers, std::size_t backlog) :
m_backlog(backlog)
{
    m_threads.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

////////////////////////////////////////////////////////////
WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ending = true;
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads)
        thread.join();
}

////////////////////////////////////////////////////////////
bool WorkerPool::submit(Job job)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_jobs.size() >= m_backlog)
            return false;
        m_jobs.push_back(std::move(job));
    }
    m_wake.notify_one();
    return true;
}

////////////////////////////////////////////////////////////
void WorkerPool::run(std::size_t worker)
{
    while (true)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait(lock, [this] { return m_ending || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        const Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job(worker);
    }
}

} // namespace sailpath::adapters::http::priv

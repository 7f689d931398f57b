#include "WorkerPool.hpp"

#include <utility>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
WorkerPool::WorkerPool(std::size_t workers, std::size_t backlog) :
m_backlog(backlog)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_idle.reserve(workers);
    m_workers.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i)
    {
        m_workers.push_back(std::make_unique<Worker>());
        m_workers.back()->thread = std::thread([this, i] { run(i); });
    }
}

////////////////////////////////////////////////////////////
WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ending = true;
    }
    for (const auto& worker : m_workers)
        worker->wake.notify_one();
    for (const auto& worker : m_workers)
        worker->thread.join();
}

////////////////////////////////////////////////////////////
bool WorkerPool::submit(Job job)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_idle.empty())
    {
        Worker& worker = *m_workers[m_idle.back()];
        m_idle.pop_back();
        worker.job = std::move(job);
        worker.wake.notify_one();
        return true;
    }
    if (m_jobs.size() >= m_backlog)
        return false;
    m_jobs.push_back(std::move(job));
    return true;
}

////////////////////////////////////////////////////////////
void WorkerPool::run(std::size_t index)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    Worker&                      worker = *m_workers[index];
    while (true)
    {
        if (!worker.job && !m_jobs.empty())
        {
            worker.job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        if (!worker.job)
        {
            if (m_ending)
                return;
            m_idle.push_back(index);
            worker.wake.wait(lock, [&] { return m_ending || worker.job; });
            if (!worker.job)
                return;
        }
        const Job job = std::exchange(worker.job, nullptr);
        lock.unlock();
        job(index);
        lock.lock();
    }
}

} // namespace sailpath::adapters::http::priv

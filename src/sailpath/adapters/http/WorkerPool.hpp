#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief A fixed number of threads that serve jobs from a bounded queue
////////////////////////////////////////////////////////////
class WorkerPool
{
public:
    using Job = std::function<void(std::size_t worker)>;

    ////////////////////////////////////////////////////////////
    /// \brief Start the threads
    ///
    /// \param workers Number of threads
    /// \param backlog Jobs that may wait
    ////////////////////////////////////////////////////////////
    WorkerPool(std::size_t workers, std::size_t backlog);

    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Queue a job
    ///
    /// \return False when as many wait as may
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool submit(Job job);

private:
    void run(std::size_t worker);

    std::size_t              m_backlog;       //!< Jobs that may wait
    std::mutex               m_mutex;         //!< Guards what follows
    std::condition_variable  m_wake;          //!< Signals a job or the end
    std::deque<Job>          m_jobs;          //!< Jobs that wait
    bool                     m_ending{false}; //!< Threads return when set
    std::vector<std::thread> m_threads;       //!< The workers
};

} // namespace sailpath::adapters::http::priv

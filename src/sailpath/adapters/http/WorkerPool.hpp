#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief A fixed number of threads that serve jobs from a bounded queue
///
/// The thread that became idle last gets the next job: its stack and caches
/// are warm, and under light load few threads do all the work.
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
    struct Worker
    {
        std::condition_variable wake;   //!< Signals a job or the end
        Job                     job;    //!< Next job; empty while there is none
        std::thread             thread; //!< Serves jobs
    };

    void run(std::size_t index);

    std::size_t                          m_backlog;       //!< Jobs that may wait
    std::mutex                           m_mutex;         //!< Guards what follows
    std::deque<Job>                      m_jobs;          //!< Jobs that wait, as all workers are busy
    std::vector<std::size_t>             m_idle;          //!< Idle workers, the one that became idle last at the end
    bool                                 m_ending{false}; //!< Workers return when set
    std::vector<std::unique_ptr<Worker>> m_workers;       //!< All workers
};

} // namespace sailpath::adapters::http::priv

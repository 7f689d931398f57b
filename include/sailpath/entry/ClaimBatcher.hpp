#pragma once

#include <sailpath/claims/ClaimWriter.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/ports/Store.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sailpath::entry
{
////////////////////////////////////////////////////////////
/// \brief Collects the claims of many threads and commits them to the store in batches
///
/// A single claim is committed at once. Claims that arrive during a commit, or
/// before the minimum interval has passed, are committed together in the next batch.
////////////////////////////////////////////////////////////
class ClaimBatcher
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the writer's thread
    ///
    /// \param store       The store; used by the writer's thread only
    /// \param minInterval Returns the minimum interval between commits, so that the fleet keeps to the store's rate
    ////////////////////////////////////////////////////////////
    ClaimBatcher(ports::Store& store, std::function<core::Duration()> minInterval);

    ~ClaimBatcher();
    ClaimBatcher(const ClaimBatcher&) = delete;
    ClaimBatcher& operator=(const ClaimBatcher&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Commit a claim durably; blocks until the verdict is known
    ////////////////////////////////////////////////////////////
    [[nodiscard]] claims::ClaimVerdict claim(const claims::Claim& claim);

    ////////////////////////////////////////////////////////////
    /// \brief Release a claim in the background; only for a request that certainly did not run
    ////////////////////////////////////////////////////////////
    void release(claims::Claim claim);

    ////////////////////////////////////////////////////////////
    /// \brief Get the number of claims whose release is pending
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t pendingReleases();

private:
    struct PendingClaim
    {
        const claims::Claim* claim;                                      //!< Claim to commit
        claims::ClaimVerdict verdict{claims::ClaimVerdict::Unavailable}; //!< Result of the commit
        bool                 done{false};                                //!< Set once `verdict` is final
    };

    void run();
    void commitOnce(std::unique_lock<std::mutex>& lock);
    void releaseOnce(std::unique_lock<std::mutex>& lock);

    std::function<core::Duration()>       m_minInterval;   //!< Returns the minimum interval between commits
    claims::ClaimWriter                   m_writer;        //!< Writes to the store; used by `m_thread` only
    std::mutex                            m_mutex;         //!< Guards the members below, except the thread
    std::condition_variable               m_wake;          //!< Signals new work or the stop
    std::condition_variable               m_done;          //!< Signals new verdicts
    std::deque<PendingClaim*>             m_pending;       //!< Claims without a verdict
    std::deque<claims::Claim>             m_releases;      //!< Claims to release
    bool                                  m_ending{false}; //!< Set when the thread must end
    std::chrono::steady_clock::time_point m_nextCommit{};  //!< Earliest time of the next commit
    std::chrono::steady_clock::time_point m_pausedUntil{}; //!< Claims are refused until this time after a store failure
    std::thread                           m_thread;        //!< Commits and releases claims
};

} // namespace sailpath::entry

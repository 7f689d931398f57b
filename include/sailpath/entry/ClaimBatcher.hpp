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
/// \brief Lets many threads make claims through one writer, which commits them in groups
///
/// A claim alone is committed at once; those that come while a commit is
/// under way, or too soon after the last, share the next one.
////////////////////////////////////////////////////////////
class ClaimBatcher
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the writer's thread
    ///
    /// \param store The store; used by that thread only
    /// \param least Least time between two commits, so that the fleet keeps to the store's rate
    ////////////////////////////////////////////////////////////
    ClaimBatcher(ports::Store& store, std::function<core::Duration()> least);

    ~ClaimBatcher();
    ClaimBatcher(const ClaimBatcher&) = delete;
    ClaimBatcher& operator=(const ClaimBatcher&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Make a claim durable, waiting for the verdict
    ////////////////////////////////////////////////////////////
    [[nodiscard]] claims::ClaimVerdict claim(const claims::Claim& claim);

    ////////////////////////////////////////////////////////////
    /// \brief Take a claim back in the background, as its request certainly did not run
    ////////////////////////////////////////////////////////////
    void release(claims::Claim claim);

    ////////////////////////////////////////////////////////////
    /// \brief Claims that are to be taken back and are not yet
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t unreleased();

private:
    struct Waiting
    {
        const claims::Claim* claim;                                      //!< What is claimed
        claims::ClaimVerdict verdict{claims::ClaimVerdict::Unavailable}; //!< What came of it
        bool                 done{false};                                //!< The verdict is there
    };

    void run();
    void commitOnce(std::unique_lock<std::mutex>& lock);
    void releaseOnce(std::unique_lock<std::mutex>& lock);

    std::function<core::Duration()>       m_least;         //!< Least time between commits
    claims::ClaimWriter                   m_writer;        //!< Writes; the thread's
    std::mutex                            m_mutex;         //!< Guards what follows
    std::condition_variable               m_wake;          //!< Signals work or the end
    std::condition_variable               m_done;          //!< Signals verdicts
    std::deque<Waiting*>                  m_waiting;       //!< Claims without a verdict
    std::deque<claims::Claim>             m_releases;      //!< Claims to take back
    bool                                  m_ending{false}; //!< The thread is to end
    std::chrono::steady_clock::time_point m_nextCommit{};  //!< No commit before this
    std::chrono::steady_clock::time_point m_downUntil{};   //!< The store failed: refuse at once until then
    std::thread                           m_thread;        //!< Commits
};

} // namespace sailpath::entry

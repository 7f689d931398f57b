#include <sailpath/entry/ClaimBatcher.hpp>

#include <sailpath/entry/SteadyClock.hpp>

#include <algorithm>

namespace sailpath::entry
{
namespace
{
constexpr std::size_t maxBatchSize = 100;   // A transaction of the store is limited to 128 operations
constexpr std::size_t maxReleases = 10'000; // Claims beyond the limit expire with their window
constexpr auto        unavailablePause = std::chrono::seconds{1};
constexpr auto        releaseRetryInterval = std::chrono::milliseconds{500};

} // namespace

////////////////////////////////////////////////////////////
ClaimBatcher::ClaimBatcher(ports::Store& store, std::function<core::Duration()> minInterval) :
m_minInterval(std::move(minInterval)),
m_writer(store, steadyNow),
m_thread([this] { run(); })
{
}

////////////////////////////////////////////////////////////
ClaimBatcher::~ClaimBatcher()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ending = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

////////////////////////////////////////////////////////////
claims::ClaimVerdict ClaimBatcher::claim(const claims::Claim& claim)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_ending || std::chrono::steady_clock::now() < m_pausedUntil)
        return claims::ClaimVerdict::Unavailable;
    const auto same = [&](const PendingClaim* other) { return other->claim->key == claim.key; };
    if (std::any_of(m_pending.begin(), m_pending.end(), same))
        return claims::ClaimVerdict::Duplicate;

    PendingClaim pending{&claim};
    m_pending.push_back(&pending);
    m_wake.notify_one();
    m_done.wait(lock, [&pending] { return pending.done; });
    return pending.verdict;
}

////////////////////////////////////////////////////////////
void ClaimBatcher::release(claims::Claim claim)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_releases.push_back(std::move(claim));
    }
    m_wake.notify_one();
}

////////////////////////////////////////////////////////////
std::size_t ClaimBatcher::pendingReleases()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_releases.size();
}

////////////////////////////////////////////////////////////
void ClaimBatcher::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_ending || !m_pending.empty())
    {
        if (m_pending.empty() && m_releases.empty())
        {
            m_wake.wait(lock, [this] { return m_ending || !m_pending.empty() || !m_releases.empty(); });
            continue;
        }
        if (!m_pending.empty())
        {
            m_wake.wait_until(lock, m_nextCommit, [this] { return m_ending; });
            commitOnce(lock);
        }
        else
        {
            releaseOnce(lock);
        }
    }
}

////////////////////////////////////////////////////////////
void ClaimBatcher::commitOnce(std::unique_lock<std::mutex>& lock)
{
    const std::size_t                count = std::min(m_pending.size(), maxBatchSize);
    const std::vector<PendingClaim*> taken(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<claims::Claim>       batch;
    batch.reserve(count);
    for (const PendingClaim* pending : taken)
        batch.push_back(*pending->claim);

    lock.unlock();
    const auto                              start = std::chrono::steady_clock::now();
    const std::vector<claims::ClaimVerdict> verdicts = m_writer.commit(batch);
    const core::Duration                    minInterval = m_minInterval();
    lock.lock();

    m_nextCommit = start + minInterval;
    bool anyUnavailable = false;
    for (std::size_t i = 0; i < count; ++i)
    {
        taken[i]->verdict = verdicts[i];
        taken[i]->done = true;
        const bool unresolved = verdicts[i] == claims::ClaimVerdict::Unresolved;
        anyUnavailable = anyUnavailable || unresolved || verdicts[i] == claims::ClaimVerdict::Unavailable;
        // An unresolved claim may be durable although its request will not be sent, so the claim is released.
        if (unresolved && m_releases.size() < maxReleases)
            m_releases.push_back(batch[i]);
    }
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(count));
    if (anyUnavailable)
        m_pausedUntil = std::chrono::steady_clock::now() + unavailablePause;
    m_done.notify_all();
}

////////////////////////////////////////////////////////////
void ClaimBatcher::releaseOnce(std::unique_lock<std::mutex>& lock)
{
    const claims::Claim claim = m_releases.front();
    lock.unlock();
    const bool released = m_writer.release(claim);
    lock.lock();
    if (released)
        m_releases.pop_front();
    else
        m_wake.wait_for(lock, releaseRetryInterval, [this] { return m_ending || !m_pending.empty(); });
}

} // namespace sailpath::entry

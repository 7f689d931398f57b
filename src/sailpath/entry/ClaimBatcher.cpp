#include <sailpath/entry/ClaimBatcher.hpp>

#include <sailpath/entry/SteadyClock.hpp>

#include <algorithm>

namespace sailpath::entry
{
namespace
{
constexpr std::size_t mostInBatch = 100;     // The store's transactions take 128 operations
constexpr std::size_t mostReleases = 10'000; // Others end with their window
constexpr auto        downTime = std::chrono::seconds{1};
constexpr auto        releaseEvery = std::chrono::milliseconds{500};

} // namespace

////////////////////////////////////////////////////////////
ClaimBatcher::ClaimBatcher(ports::Store& store, std::function<core::Duration()> least) :
m_least(std::move(least)),
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
    if (m_ending || std::chrono::steady_clock::now() < m_downUntil)
        return claims::ClaimVerdict::Unavailable;
    const auto same = [&](const Waiting* other) { return other->claim->key == claim.key; };
    if (std::any_of(m_waiting.begin(), m_waiting.end(), same))
        return claims::ClaimVerdict::Duplicate;

    Waiting waiting{&claim};
    m_waiting.push_back(&waiting);
    m_wake.notify_one();
    m_done.wait(lock, [&waiting] { return waiting.done; });
    return waiting.verdict;
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
std::size_t ClaimBatcher::unreleased()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_releases.size();
}

////////////////////////////////////////////////////////////
void ClaimBatcher::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_ending || !m_waiting.empty())
    {
        if (m_waiting.empty() && m_releases.empty())
        {
            m_wake.wait(lock, [this] { return m_ending || !m_waiting.empty() || !m_releases.empty(); });
            continue;
        }
        if (!m_waiting.empty())
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
    const std::size_t           count = std::min(m_waiting.size(), mostInBatch);
    const std::vector<Waiting*> taken(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<claims::Claim>  batch;
    batch.reserve(count);
    for (const Waiting* waiting : taken)
        batch.push_back(*waiting->claim);

    lock.unlock();
    const auto                              start = std::chrono::steady_clock::now();
    const std::vector<claims::ClaimVerdict> verdicts = m_writer.commit(batch);
    const core::Duration                    least = m_least();
    lock.lock();

    m_nextCommit = start + least;
    bool anyUnavailable = false;
    for (std::size_t i = 0; i < count; ++i)
    {
        taken[i]->verdict = verdicts[i];
        taken[i]->done = true;
        const bool unresolved = verdicts[i] == claims::ClaimVerdict::Unresolved;
        anyUnavailable = anyUnavailable || unresolved || verdicts[i] == claims::ClaimVerdict::Unavailable;
        // It may be durable although the request will not be sent, so it is taken back.
        if (unresolved && m_releases.size() < mostReleases)
            m_releases.push_back(batch[i]);
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
    if (anyUnavailable)
        m_downUntil = std::chrono::steady_clock::now() + downTime;
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
        m_wake.wait_for(lock, releaseEvery, [this] { return m_ending || !m_waiting.empty(); });
}

} // namespace sailpath::entry

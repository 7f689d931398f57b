#include <sailpath/balance/ServerLives.hpp>

#include <algorithm>
#include <vector>

namespace sailpath::balance
{
namespace
{
constexpr auto        unusedLife = std::chrono::minutes{10}; // Of a record that no view uses; entries lapse for seconds
constexpr std::size_t maxUnused = 1024;                      // Records; about 300 KB
constexpr std::size_t forgetAfterAdded = maxUnused / 2; // Records added since the last run, also within the interval
constexpr auto        forgetInterval = std::chrono::seconds{10};

} // namespace

////////////////////////////////////////////////////////////
std::shared_ptr<LifeRecord> ServerLives::of(const deployment::Instance& instance, core::Timestamp now)
{
    Entry& entry = m_entries[{instance.id, instance.born}];
    entry.usedAt = now;
    if (!entry.record)
    {
        entry.record = std::make_shared<LifeRecord>();
        ++m_added;
    }
    return entry.record;
}

////////////////////////////////////////////////////////////
void ServerLives::forgetOld(core::Timestamp now)
{
    if (now - m_forgotAt < forgetInterval && m_added < forgetAfterAdded)
        return;
    m_forgotAt = now;
    m_added = 0;
    const std::size_t unused = eraseOld(now);
    if (unused > maxUnused)
        eraseOldest(unused - maxUnused);
}

////////////////////////////////////////////////////////////
std::size_t ServerLives::eraseOld(core::Timestamp now)
{
    std::size_t unused = 0;
    for (auto at = m_entries.begin(); at != m_entries.end();)
    {
        Entry& entry = at->second;
        if (entry.record.use_count() > 1)
        {
            entry.usedAt = now;
            ++at;
            continue;
        }
        if (entry.record->empty(now) || now - entry.usedAt > unusedLife)
        {
            at = m_entries.erase(at);
            continue;
        }
        ++unused;
        ++at;
    }
    return unused;
}

////////////////////////////////////////////////////////////
void ServerLives::eraseOldest(std::size_t count)
{
    std::vector<std::pair<core::Timestamp, Key>> unused;
    for (const auto& [key, entry] : m_entries)
    {
        if (entry.record.use_count() == 1)
            unused.emplace_back(entry.usedAt, key);
    }
    std::sort(unused.begin(), unused.end());
    for (std::size_t at = 0; at < std::min(count, unused.size()); ++at)
        m_entries.erase(unused[at].second);
}

////////////////////////////////////////////////////////////
std::size_t ServerLives::size() const
{
    return m_entries.size();
}

} // namespace sailpath::balance

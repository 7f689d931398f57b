#include "KeyValueStandIn.hpp"

namespace sailpath::standins
{
namespace
{
////////////////////////////////////////////////////////////
bool covers(const std::string& first, const std::string& end, const std::string& key)
{
    return end.empty() ? key == first : key >= first && key < end;
}

} // namespace

////////////////////////////////////////////////////////////
std::map<std::string, StoredKey> KeyValueStandIn::range(const std::string& first, const std::string& end,
                                                        std::int64_t& revision)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    expire();
    revision = m_revision;
    std::map<std::string, StoredKey> found;
    for (const auto& [key, content] : m_keys)
    {
        if (covers(first, end, key))
            found[key] = content;
    }
    return found;
}

////////////////////////////////////////////////////////////
bool KeyValueStandIn::transact(const Transaction& transaction, std::int64_t& revision)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    expire();
    revision = m_revision;
    for (const Condition& condition : transaction.conditions)
    {
        if (!holds(condition))
            return false;
    }
    for (const Change& change : transaction.changes)
    {
        if (change.lease != 0 && m_leases.count(change.lease) == 0)
            return false;
    }
    revision = ++m_revision;
    for (const Change& change : transaction.changes)
        apply(change);
    m_changed.notify_all();
    return true;
}

////////////////////////////////////////////////////////////
bool KeyValueStandIn::holds(const Condition& condition) const
{
    const auto found = m_keys.find(condition.key);
    const bool exists = found != m_keys.end();
    if (condition.modified && *condition.modified != (exists ? found->second.modified : 0))
        return false;
    return !condition.value || (exists && found->second.value == *condition.value);
}

////////////////////////////////////////////////////////////
void KeyValueStandIn::apply(const Change& change)
{
    if (!change.value)
    {
        m_keys.erase(change.key);
        m_history.push_back({m_revision, change.key, {}, true});
        return;
    }
    StoredKey& content = m_keys[change.key];
    content.created = content.created == 0 ? m_revision : content.created;
    content.value = *change.value;
    content.modified = m_revision;
    content.lease = change.lease;
    m_history.push_back({m_revision, change.key, content, false});
}

////////////////////////////////////////////////////////////
std::int64_t KeyValueStandIn::grant(std::int64_t seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leases[++m_nextLease] = {seconds, Clock::now() + std::chrono::seconds{seconds}};
    return m_nextLease;
}

////////////////////////////////////////////////////////////
std::int64_t KeyValueStandIn::renew(std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    expire();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return 0;
    found->second.until = Clock::now() + std::chrono::seconds{found->second.seconds};
    return found->second.seconds;
}

////////////////////////////////////////////////////////////
void KeyValueStandIn::revoke(std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto                        found = m_leases.find(lease);
    if (found != m_leases.end())
        found->second.until = {};
    expire();
}

////////////////////////////////////////////////////////////
std::vector<StoredChange> KeyValueStandIn::changes(const std::string& first, const std::string& end, std::int64_t from,
                                                   std::chrono::milliseconds patience)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto                   until = Clock::now() + patience;
    while (true)
    {
        expire();
        std::vector<StoredChange> found;
        for (const StoredChange& change : m_history)
        {
            if (change.revision >= from && covers(first, end, change.key))
                found.push_back(change);
        }
        if (!found.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            return found;
    }
}

////////////////////////////////////////////////////////////
void KeyValueStandIn::expire()
{
    const auto now = Clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();)
    {
        if (lease->second.until > now)
        {
            ++lease;
            continue;
        }
        for (auto key = m_keys.begin(); key != m_keys.end();)
        {
            if (key->second.lease != lease->first)
            {
                ++key;
                continue;
            }
            m_history.push_back({++m_revision, key->first, {}, true});
            key = m_keys.erase(key);
        }
        lease = m_leases.erase(lease);
        m_changed.notify_all();
    }
}

} // namespace sailpath::standins

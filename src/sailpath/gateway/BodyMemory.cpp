#include "BodyMemory.hpp"

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::int64_t commonParts = 3; // Of four, for anybody
constexpr std::int64_t allParts = 4;

} // namespace

////////////////////////////////////////////////////////////
BodyMemory::BodyMemory(std::int64_t total) :
m_total(total)
{
}

////////////////////////////////////////////////////////////
bool BodyMemory::take(const std::string& workspace, std::int64_t bytes)
{
    const auto         known = m_held.find(workspace);
    const std::int64_t held = known == m_held.end() ? 0 : known->second;
    const auto         holders = static_cast<std::int64_t>(m_held.size()) + (known == m_held.end() ? 1 : 0);
    const bool         common = m_used + bytes <= commonBytes();
    // One share more than there are holders: the next workspace finds room too.
    const bool         fair = held + bytes <= m_total / (holders + 1);
    if (m_used + bytes > m_total || (!common && !fair))
        return false;
    count(workspace, bytes);
    return true;
}

////////////////////////////////////////////////////////////
void BodyMemory::count(const std::string& workspace, std::int64_t bytes)
{
    m_used += bytes;
    m_held[workspace] += bytes;
}

////////////////////////////////////////////////////////////
void BodyMemory::giveBack(const std::string& workspace, std::int64_t bytes)
{
    m_used -= bytes;
    const auto known = m_held.find(workspace);
    if (known == m_held.end())
        return;
    known->second -= bytes;
    if (known->second <= 0)
        m_held.erase(known);
}

////////////////////////////////////////////////////////////
std::int64_t BodyMemory::used() const
{
    return m_used;
}

////////////////////////////////////////////////////////////
bool BodyMemory::scarce() const
{
    return m_used > commonBytes();
}

////////////////////////////////////////////////////////////
std::int64_t BodyMemory::commonBytes() const
{
    return m_total / allParts * commonParts;
}

} // namespace sailpath::gateway::priv

#include "BodyMemory.hpp"

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::int64_t sharedParts = 3; // Of four; usable by any workspace
constexpr std::int64_t totalParts = 4;

} // namespace

////////////////////////////////////////////////////////////
BodyMemory::BodyMemory(std::int64_t total) :
m_total(total)
{
}

////////////////////////////////////////////////////////////
bool BodyMemory::reserve(const std::string& workspace, std::int64_t bytes)
{
    const auto         found = m_usedBy.find(workspace);
    const std::int64_t held = found == m_usedBy.end() ? 0 : found->second;
    const auto         holders = static_cast<std::int64_t>(m_usedBy.size()) + (found == m_usedBy.end() ? 1 : 0);
    const bool         withinSharedPart = m_used + bytes <= sharedBytes();
    // The equal share leaves room for one more workspace than uses memory now.
    const bool         withinFairShare = held + bytes <= m_total / (holders + 1);
    if (m_used + bytes > m_total || (!withinSharedPart && !withinFairShare))
        return false;
    forceReserve(workspace, bytes);
    return true;
}

////////////////////////////////////////////////////////////
void BodyMemory::forceReserve(const std::string& workspace, std::int64_t bytes)
{
    m_used += bytes;
    m_usedBy[workspace] += bytes;
}

////////////////////////////////////////////////////////////
void BodyMemory::release(const std::string& workspace, std::int64_t bytes)
{
    m_used -= bytes;
    const auto found = m_usedBy.find(workspace);
    if (found == m_usedBy.end())
        return;
    found->second -= bytes;
    if (found->second <= 0)
        m_usedBy.erase(found);
}

////////////////////////////////////////////////////////////
std::int64_t BodyMemory::used() const
{
    return m_used;
}

////////////////////////////////////////////////////////////
bool BodyMemory::isSharedPartUsedUp() const
{
    return m_used > sharedBytes();
}

////////////////////////////////////////////////////////////
std::int64_t BodyMemory::sharedBytes() const
{
    return m_total / totalParts * sharedParts;
}

} // namespace sailpath::gateway::priv

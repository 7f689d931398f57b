#include "BodyClaim.hpp"

#include "BodyMemory.hpp"

#include <utility>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
BodyClaim::BodyClaim(std::shared_ptr<BodyMemory> memory, std::string workspace) :
m_memory(std::move(memory)),
m_workspace(std::move(workspace))
{
}

////////////////////////////////////////////////////////////
BodyClaim::~BodyClaim()
{
    release();
}

////////////////////////////////////////////////////////////
BodyClaim::BodyClaim(BodyClaim&& other) noexcept :
m_memory(std::move(other.m_memory)),
m_workspace(std::move(other.m_workspace)),
m_bytes(std::exchange(other.m_bytes, 0))
{
}

////////////////////////////////////////////////////////////
BodyClaim& BodyClaim::operator=(BodyClaim&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_memory = std::move(other.m_memory);
    m_workspace = std::move(other.m_workspace);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

////////////////////////////////////////////////////////////
bool BodyClaim::growTo(std::int64_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_memory == nullptr || !m_memory->take(m_workspace, bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

////////////////////////////////////////////////////////////
void BodyClaim::add(std::int64_t bytes)
{
    if (m_memory == nullptr)
        return;
    m_memory->count(m_workspace, bytes);
    m_bytes += bytes;
}

////////////////////////////////////////////////////////////
bool BodyClaim::claims() const
{
    return m_memory != nullptr;
}

////////////////////////////////////////////////////////////
void BodyClaim::release()
{
    if (m_memory != nullptr && m_bytes > 0)
        m_memory->giveBack(m_workspace, m_bytes);
    m_bytes = 0;
}

} // namespace sailpath::gateway::priv

#include "BodyReservation.hpp"

#include "BodyMemory.hpp"

#include <utility>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
BodyReservation::BodyReservation(std::shared_ptr<BodyMemory> memory, std::string workspace) :
m_memory(std::move(memory)),
m_workspace(std::move(workspace))
{
}

////////////////////////////////////////////////////////////
BodyReservation::~BodyReservation()
{
    release();
}

////////////////////////////////////////////////////////////
BodyReservation::BodyReservation(BodyReservation&& other) noexcept :
m_memory(std::move(other.m_memory)),
m_workspace(std::move(other.m_workspace)),
m_bytes(std::exchange(other.m_bytes, 0))
{
}

////////////////////////////////////////////////////////////
BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept
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
bool BodyReservation::growTo(std::int64_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_memory == nullptr || !m_memory->reserve(m_workspace, bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

////////////////////////////////////////////////////////////
void BodyReservation::forceGrowBy(std::int64_t bytes)
{
    if (m_memory == nullptr)
        return;
    m_memory->forceReserve(m_workspace, bytes);
    m_bytes += bytes;
}

////////////////////////////////////////////////////////////
bool BodyReservation::canReserve() const
{
    return m_memory != nullptr;
}

////////////////////////////////////////////////////////////
void BodyReservation::release()
{
    if (m_memory != nullptr && m_bytes > 0)
        m_memory->release(m_workspace, m_bytes);
    m_bytes = 0;
}

} // namespace sailpath::gateway::priv

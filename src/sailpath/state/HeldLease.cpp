#include <sailpath/state/HeldLease.hpp>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
void HeldLease::recordGrant(std::int64_t id, core::Duration length, core::Timestamp sentAt)
{
    m_id = id;
    m_validUntil =
        sentAt + core::Duration{static_cast<std::int64_t>(static_cast<double>(length.count()) * (1.0 - safetyMargin))};
}

////////////////////////////////////////////////////////////
void HeldLease::recordLoss()
{
    m_id = 0;
    m_validUntil = {};
}

////////////////////////////////////////////////////////////
bool HeldLease::isValid(core::Timestamp now) const
{
    return m_id != 0 && now < m_validUntil;
}

////////////////////////////////////////////////////////////
std::optional<std::int64_t> HeldLease::id(core::Timestamp now) const
{
    if (!isValid(now))
        return std::nullopt;
    return m_id;
}

} // namespace sailpath::state

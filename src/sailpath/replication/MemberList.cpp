#include <sailpath/replication/MemberList.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::replication
{
namespace
{
// Longer than nodes are usually cut off from each other; a few members that are gone hardly affect what is
// chosen among members.
constexpr auto memberTtl = std::chrono::seconds{60};

} // namespace

////////////////////////////////////////////////////////////
void MemberList::recordHeard(std::string_view address, core::Timestamp now)
{
    core::Timestamp& last = m_lastHeard[static_cast<std::uint32_t>(core::hash(address))];
    last = std::max(last, now);
}

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> MemberList::hashes(core::Timestamp now)
{
    std::erase_if(m_lastHeard, [now](const auto& item) { return now - item.second > memberTtl; });
    std::vector<std::uint32_t> list;
    list.reserve(m_lastHeard.size());
    for (const auto& [hash, last] : m_lastHeard)
        list.push_back(hash);
    std::sort(list.begin(), list.end());
    return list;
}

} // namespace sailpath::replication

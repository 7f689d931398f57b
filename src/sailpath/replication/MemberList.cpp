#include <sailpath/replication/MemberList.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::replication
{
namespace
{
constexpr auto remembrance = std::chrono::seconds{60}; // Longer than nodes are cut off from one another as a rule; what
                                                       // is chosen among members suffers little from some that are gone

} // namespace

////////////////////////////////////////////////////////////
void MemberList::heard(std::string_view address, core::Timestamp now)
{
    core::Timestamp& last = m_heard[static_cast<std::uint32_t>(core::hash(address))];
    last = std::max(last, now);
}

////////////////////////////////////////////////////////////
std::vector<std::uint32_t> MemberList::hashes(core::Timestamp now)
{
    std::erase_if(m_heard, [now](const auto& item) { return now - item.second > remembrance; });
    std::vector<std::uint32_t> list;
    list.reserve(m_heard.size());
    for (const auto& [hash, last] : m_heard)
        list.push_back(hash);
    std::sort(list.begin(), list.end());
    return list;
}

} // namespace sailpath::replication

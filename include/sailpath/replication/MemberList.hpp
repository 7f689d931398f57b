#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Nodes heard from recently, remembered longer than for ranking and counting
///
/// Work that nodes divide by their rank among all members is divided without
/// overlap only while the nodes know nearly the same members. A node that is
/// cut off from the others drops them after some seconds for other purposes;
/// this list keeps them.
////////////////////////////////////////////////////////////
class MemberList
{
public:
    void recordHeard(std::string_view address, core::Timestamp now); //!< Record that a node was heard from, by any node

    ////////////////////////////////////////////////////////////
    /// \brief Drop expired nodes and list the short hashes of the remaining addresses, sorted
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::uint32_t> hashes(core::Timestamp now);

private:
    std::unordered_map<std::uint32_t, core::Timestamp> m_lastHeard; //!< When a node was last heard from, by short hash
};

} // namespace sailpath::replication

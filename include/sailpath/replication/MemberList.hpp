#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief All nodes heard of lately, kept longer than nodes are followed or counted
///
/// What nodes share by rank among all members stays apart only while they
/// know nearly the same members. A node that is cut off from the others
/// forgets them for every other purpose after some seconds; here it does not.
////////////////////////////////////////////////////////////
class MemberList
{
public:
    void heard(std::string_view address, core::Timestamp now); //!< Of a node, by anybody

    ////////////////////////////////////////////////////////////
    /// \brief Short hashes of the addresses, in order
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::uint32_t> hashes(core::Timestamp now);

private:
    std::unordered_map<std::uint32_t, core::Timestamp> m_heard; //!< When last, by short hash
};

} // namespace sailpath::replication

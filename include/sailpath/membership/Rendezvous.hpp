#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
/// \brief Return whether a member is among those chosen for a task
///
/// Uses rendezvous hashing: the weight of a member for the task is a hash of
/// both names, and the members with the largest weights are chosen. VMs with
/// the same view choose the same members; adding or removing one member
/// moves only the tasks of that member.
///
/// \param task    Name of the task
/// \param self    Name of the member to check
/// \param members Names of all members, including `self`
/// \param count   Number of members to choose
////////////////////////////////////////////////////////////
[[nodiscard]] bool isChosen(std::string_view task, std::string_view self, std::span<const std::string_view> members,
                            std::size_t count);

} // namespace sailpath::membership

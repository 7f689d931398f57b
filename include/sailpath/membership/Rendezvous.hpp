#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
/// \brief Whether a member is among those chosen for a task
///
/// Rendezvous hashing: each member's weight for the task is a hash of both
/// names, and the heaviest are chosen. VMs with the same view choose the
/// same members; a change of one member moves only its own tasks.
///
/// \param task    Name of the task
/// \param self    Member in question
/// \param members All members, `self` included
/// \param count   Number of members chosen
////////////////////////////////////////////////////////////
[[nodiscard]] bool isChosen(std::string_view task, std::string_view self, std::span<const std::string_view> members,
                            std::size_t count);

} // namespace sailpath::membership

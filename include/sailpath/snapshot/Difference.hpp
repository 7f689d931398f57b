#pragma once

#include <sailpath/snapshot/LearnedState.hpp>

namespace sailpath::snapshot
{
////////////////////////////////////////////////////////////
/// \brief Whether `learned` has a value that differs from the stored one, or has none there
///
/// \param relative Difference that counts, as a part of the stored value
////////////////////////////////////////////////////////////
[[nodiscard]] bool differ(const LearnedState& stored, const LearnedState& learned, double relative);

////////////////////////////////////////////////////////////
/// \brief Whether `learned` has a value that is unknown to the stored one
////////////////////////////////////////////////////////////
[[nodiscard]] bool lacks(const LearnedState& stored, const LearnedState& learned);

////////////////////////////////////////////////////////////
/// \brief Return all that `learned` holds, and what only `stored` holds
///
/// A node that serves some routes only must not remove the others.
////////////////////////////////////////////////////////////
[[nodiscard]] LearnedState merge(const LearnedState& stored, const LearnedState& learned);

} // namespace sailpath::snapshot

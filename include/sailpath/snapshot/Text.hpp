#pragma once

#include <sailpath/snapshot/LearnedState.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::snapshot
{
constexpr std::size_t maxTextBytes = 64UL * 1024;

////////////////////////////////////////////////////////////
/// \brief Write a state as text of at most `maxTextBytes`; what does not fit is left out
////////////////////////////////////////////////////////////
[[nodiscard]] std::string toText(const LearnedState& state);

////////////////////////////////////////////////////////////
/// \brief Read a state; null if the text is cut short, too large, malformed or of another version
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<LearnedState> fromText(std::string_view text);

} // namespace sailpath::snapshot

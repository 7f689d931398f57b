#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Identifies content by the first half of its SHA-256
///
/// Callers choose the content. With a hash that is not cryptographic, a caller
/// could choose content whose hash equals that of another caller's content.
////////////////////////////////////////////////////////////
struct ContentHash
{
    std::array<std::uint8_t, 16> bytes{}; //!< The first half of the hash

    [[nodiscard]] std::string text() const; //!< 32 hexadecimal digits

    [[nodiscard]] static std::optional<ContentHash>
    fromText(std::string_view text); //!< Null unless it has the form that `text` returns

    friend bool operator==(const ContentHash&, const ContentHash&) = default;
    friend bool operator<(const ContentHash& left, const ContentHash& right)
    {
        return left.bytes < right.bytes;
    }
};

////////////////////////////////////////////////////////////
/// \brief Hash several texts without copying; each text's length is hashed too, so boundaries matter
////////////////////////////////////////////////////////////
[[nodiscard]] ContentHash contentHash(std::span<const std::string_view> texts);

} // namespace sailpath::core

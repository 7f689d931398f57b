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
/// \brief What stands for some content: half of its SHA-256
///
/// Content is chosen by callers. With a hash that is not cryptographic one
/// of them could choose his so that it stands for that of another.
////////////////////////////////////////////////////////////
struct ContentHash
{
    std::array<std::uint8_t, 16> bytes{}; //!< The first half of the hash

    [[nodiscard]] std::string text() const; //!< 32 hexadecimal digits

    [[nodiscard]] static std::optional<ContentHash>
    fromText(std::string_view text); //!< Null unless it is as `text` gives

    friend bool operator==(const ContentHash&, const ContentHash&) = default;
    friend bool operator<(const ContentHash& left, const ContentHash& right)
    {
        return left.bytes < right.bytes;
    }
};

////////////////////////////////////////////////////////////
/// \brief Hash several texts, told apart by their lengths; none is copied
////////////////////////////////////////////////////////////
[[nodiscard]] ContentHash contentHash(std::span<const std::string_view> texts);

} // namespace sailpath::core

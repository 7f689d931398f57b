#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

////////////////////////////////////////////////////////////
/// \brief Large values as their difference from an earlier one, and long messages in few bytes
///
/// The format is zstd's, with the earlier value as its prefix.
////////////////////////////////////////////////////////////
namespace sailpath::replication
{
constexpr std::size_t maxValueSize = std::size_t{64} << 20U; //!< Bytes; what claims to be longer is not unpacked

////////////////////////////////////////////////////////////
/// \brief Pack a value
///
/// \param value What is packed
/// \param base  An earlier value that the other side has, or empty
////////////////////////////////////////////////////////////
[[nodiscard]] std::string packValue(std::string_view value, std::string_view base);

////////////////////////////////////////////////////////////
/// \brief Unpack a value
///
/// \param packed Result of `packValue`
/// \param base   The value that it was packed against
///
/// \return Null when the bytes are not in form, too long, or of another base
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<std::string> unpackValue(std::string_view packed, std::string_view base);

} // namespace sailpath::replication

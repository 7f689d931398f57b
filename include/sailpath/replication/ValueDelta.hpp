#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

////////////////////////////////////////////////////////////
/// \brief Compression of large values as deltas from an earlier value, and of long messages
///
/// The format is zstd's, with the earlier value as its prefix.
////////////////////////////////////////////////////////////
namespace sailpath::replication
{
constexpr std::size_t maxValueSize = std::size_t{64} << 20U; //!< Bytes; values that declare a larger size are rejected

////////////////////////////////////////////////////////////
/// \brief Compress a value
///
/// \param value Value
/// \param base  Earlier value that the receiver has; empty to compress without one
///
/// \return Compressed bytes; empty if the compression failed
////////////////////////////////////////////////////////////
[[nodiscard]] std::string packValue(std::string_view value, std::string_view base);

////////////////////////////////////////////////////////////
/// \brief Decompress a value
///
/// \param packed Result of `packValue`
/// \param base   Earlier value that it was compressed with
///
/// \return The value; null if the bytes are malformed, the value is larger than `maxValueSize`, or the base differs
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<std::string> unpackValue(std::string_view packed, std::string_view base);

} // namespace sailpath::replication

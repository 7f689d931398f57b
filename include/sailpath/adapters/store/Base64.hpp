#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sailpath::adapters::store
{
////////////////////////////////////////////////////////////
/// \brief Encode bytes in base64, as the gateway's JSON has them
////////////////////////////////////////////////////////////
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

////////////////////////////////////////////////////////////
/// \brief Decode base64; nothing when the text is not base64
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace sailpath::adapters::store

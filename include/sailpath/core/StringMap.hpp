#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Hash for maps that are keyed by strings and look up views without a copy
////////////////////////////////////////////////////////////
struct StringHash
{
    using is_transparent = void; //!< Enables lookup by view

    ////////////////////////////////////////////////////////////
    /// \brief Hash a text
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

////////////////////////////////////////////////////////////
/// \brief Map that is keyed by strings and looks up views without a copy
////////////////////////////////////////////////////////////
template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

} // namespace sailpath::core

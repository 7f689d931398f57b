#pragma once

#include <cstdint>
#include <string>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief A key of the store with its value, or the removal of a key
////////////////////////////////////////////////////////////
struct Item
{
    std::string   key;         //!< Full key, with its prefix
    std::string   value;       //!< Bytes; empty for a removal
    std::uint64_t revision{0}; //!< Store revision of the last change
    bool          gone{false}; //!< The key was removed (a tombstone)

    friend bool operator==(const Item&, const Item&) = default;
};

} // namespace sailpath::replication

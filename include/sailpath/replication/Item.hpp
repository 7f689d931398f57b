#pragma once

#include <cstdint>
#include <string>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief One key of the store as of its last change
////////////////////////////////////////////////////////////
struct Item
{
    std::string   key;         //!< Whole key
    std::string   value;       //!< Bytes; empty when gone
    std::uint64_t revision{0}; //!< The store's revision of the change
    bool          gone{false}; //!< The key was removed

    friend bool operator==(const Item&, const Item&) = default;
};

} // namespace sailpath::replication

#pragma once

#include <cstdint>
#include <string>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief One workspace's configuration as the store keeps it
////////////////////////////////////////////////////////////
struct Document
{
    std::string   workspace;      //!< Name of the workspace
    std::string   text;           //!< Declaration; empty when deleted
    std::uint64_t revision{0};    //!< The store's revision of this version
    bool          deleted{false}; //!< The workspace was deleted

    friend bool operator==(const Document&, const Document&) = default;
};

} // namespace sailpath::state

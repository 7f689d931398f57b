#pragma once

#include <cstdint>
#include <string>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief Configuration of one workspace as the store holds it
////////////////////////////////////////////////////////////
struct Document
{
    std::string   workspace;      //!< Name of the workspace
    std::string   text;           //!< Text of the configuration; empty when deleted
    std::uint64_t revision{0};    //!< Store revision of this version
    bool          deleted{false}; //!< Whether the workspace was deleted

    friend bool operator==(const Document&, const Document&) = default;
};

} // namespace sailpath::state

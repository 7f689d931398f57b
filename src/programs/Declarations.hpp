#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Findings.hpp>

#include <string>
#include <vector>

namespace sailpath::programs
{
////////////////////////////////////////////////////////////
/// \brief Declarations read from files
////////////////////////////////////////////////////////////
struct Declarations
{
    std::vector<config::Workspace> workspaces; //!< In order of their names
    core::Findings                 findings;   //!< Everything that is wrong in any file
};

////////////////////////////////////////////////////////////
/// \brief Read declarations from a file, or from every `.json` file of a directory
////////////////////////////////////////////////////////////
[[nodiscard]] Declarations readDeclarations(const std::string& path);

} // namespace sailpath::programs

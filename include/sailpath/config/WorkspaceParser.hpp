#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Result of parsing a workspace declaration
////////////////////////////////////////////////////////////
struct ParsedWorkspace
{
    std::optional<Workspace> workspace; //!< Set if the declaration is valid, that is, has no findings
    core::Findings           findings;  //!< All errors in the declaration, each with its JSON path
};

////////////////////////////////////////////////////////////
/// \brief Parse and validate the declaration of one workspace
///
/// \param text   JSON document, which may contain comments
/// \param source Prefix for the path of each finding, usually the file name
///
/// \return The workspace, or all findings
////////////////////////////////////////////////////////////
[[nodiscard]] ParsedWorkspace parseWorkspace(std::string_view text, std::string_view source);

////////////////////////////////////////////////////////////
/// \brief Format a workspace in its stored form: JSON without comments
////////////////////////////////////////////////////////////
[[nodiscard]] std::string formatWorkspace(const Workspace& workspace);

} // namespace sailpath::config

#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Outcome of reading a declaration
////////////////////////////////////////////////////////////
struct ParsedWorkspace
{
    std::optional<Workspace> workspace; //!< Set when there are no findings
    core::Findings           findings;  //!< Everything that is wrong, with its place
};

////////////////////////////////////////////////////////////
/// \brief Read one workspace's declaration
///
/// \param text   JSON document; comments are allowed
/// \param source Name to put before each finding's path, usually the file
///
/// \return The workspace, or every finding at once
////////////////////////////////////////////////////////////
[[nodiscard]] ParsedWorkspace parseWorkspace(std::string_view text, std::string_view source);

////////////////////////////////////////////////////////////
/// \brief Write a declaration in its stored form: JSON without comments
////////////////////////////////////////////////////////////
[[nodiscard]] std::string formatWorkspace(const Workspace& workspace);

} // namespace sailpath::config

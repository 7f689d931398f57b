#pragma once

#include <sailpath/adapters/settings/Option.hpp>
#include <sailpath/adapters/settings/Settings.hpp>
#include <sailpath/core/Findings.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
/// \brief A program as its command line presents it
////////////////////////////////////////////////////////////
struct Program
{
    std::string_view        name;     //!< Name of the binary
    std::string_view        summary;  //!< What it does, one line
    std::string_view        operands; //!< Operands for the usage line; empty when it takes none
    std::span<const Option> options;  //!< Its settings
};

////////////////////////////////////////////////////////////
/// \brief Exit codes of all programs
////////////////////////////////////////////////////////////
enum ExitCode : int
{
    ExitOk = 0,       //!< Done
    ExitFailed = 1,   //!< The work failed
    ExitUsage = 2,    //!< Settings or operands are wrong
    ExitConflict = 3, //!< Somebody else changed the resource first
    ExitFindings = 4  //!< A declaration has findings
};

////////////////////////////////////////////////////////////
/// \brief What a program is started with
////////////////////////////////////////////////////////////
struct ReadSettings
{
    Settings                 settings; //!< Checked values
    std::vector<std::string> operands; //!< What follows the flags
    core::Findings           findings; //!< All that is wrong
    std::optional<int>       exitCode; //!< Set when the program should end at once
    std::string              output;   //!< What to print then
};

////////////////////////////////////////////////////////////
/// \brief Read a program's settings: flag before variable before default
///
/// The variable of `--peer-port` of `sailpath-entry` is
/// `SAILPATH_ENTRY_PEER_PORT`. `--help`, `--version` and `--check` are
/// understood by every program; `--check` only checks the settings.
///
/// \param program     The program
/// \param arguments   Arguments as given to `main`, the program's name first
/// \param environment Variables as `NAME=value`
////////////////////////////////////////////////////////////
[[nodiscard]] ReadSettings readSettings(const Program& program, std::span<char* const> arguments,
                                        std::span<const std::string> environment);

////////////////////////////////////////////////////////////
/// \brief The same for the environment of this process, printing output and findings
///
/// \param exitCode Receives the code when the program should end at once
///
/// \return Nothing when the program should end
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<ReadSettings> startProgram(const Program& program, int argc, char** argv, int& exitCode);

////////////////////////////////////////////////////////////
/// \brief The whole of a `main`: read settings, run, report what is thrown
///
/// \param program The program
/// \param argc    As given to `main`
/// \param argv    As given to `main`
/// \param run     The program's work; returns the exit code
////////////////////////////////////////////////////////////
[[nodiscard]] int runProgram(const Program& program, int argc, char** argv, int (*run)(const ReadSettings&));

} // namespace sailpath::adapters::settings

#include "Declarations.hpp"

#include <sailpath/config/WorkspaceParser.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace sailpath::programs
{
namespace
{
namespace fs = std::filesystem;

////////////////////////////////////////////////////////////
std::vector<std::string> filesAt(const std::string& path, core::Findings& findings)
{
    std::error_code          error;
    std::vector<std::string> files;
    if (fs::is_regular_file(path, error))
        files.push_back(path);
    else if (fs::is_directory(path, error))
    {
        for (const auto& item : fs::directory_iterator(path, error))
        {
            if (item.path().extension() == ".json")
                files.push_back(item.path().string());
        }
        std::sort(files.begin(), files.end());
        if (files.empty())
            findings.add(path, "no .json file in this directory");
    }
    else
        findings.add(path, "no such file or directory");
    return files;
}

} // namespace

////////////////////////////////////////////////////////////
Declarations readDeclarations(const std::string& path)
{
    Declarations all;
    for (const std::string& file : filesAt(path, all.findings))
    {
        std::ifstream     stream(file);
        std::stringstream text;
        text << stream.rdbuf();
        config::ParsedWorkspace parsed = config::parseWorkspace(text.str(), file);
        all.findings.append(parsed.findings);
        if (!parsed.workspace)
            continue;
        const auto same =
            std::find_if(all.workspaces.begin(), all.workspaces.end(),
                         [&](const config::Workspace& known) { return known.name == parsed.workspace->name; });
        if (same != all.workspaces.end())
            all.findings.add(file + ":/workspace", "\"" + same->name + "\" is declared in another file too");
        else
            all.workspaces.push_back(std::move(*parsed.workspace));
    }
    return all;
}

} // namespace sailpath::programs

// sailpath-timeline: merges the event logs of all processes into one time line.

#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/timeline/ClockAlignment.hpp>
#include <sailpath/timeline/Renderer.hpp>

#include <array>
#include <fstream>
#include <iostream>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;

constexpr std::array options{
    Option{"format", OptionKind::Name, "text", "text, jsonl, html or trace"},
    Option{"request", OptionKind::Text, "",
           "only events that name this request, and those that explain what a process believed"},
    Option{"corrections", OptionKind::Switch, "false", "print the clock corrections to standard error"}};

constexpr adapters::settings::Program program{"sailpath-timeline", "Merges event logs into one time line.", "LOG...",
                                              options};

////////////////////////////////////////////////////////////
/// \brief Read one log; false when it cannot be opened
////////////////////////////////////////////////////////////
bool readLog(const std::string& path, std::vector<timeline::Event>& events, std::size_t& skipped)
{
    std::ifstream file(path);
    if (!file)
        return false;
    for (std::string line; std::getline(file, line);)
    {
        if (auto event = timeline::parseEvent(line))
            events.push_back(std::move(*event));
        else
            ++skipped;
    }
    return true;
}

////////////////////////////////////////////////////////////
/// \brief Whether an event names a request or tells of a change of what a process believed
////////////////////////////////////////////////////////////
bool concerns(const timeline::Event& event, std::string_view request)
{
    return event.field("request") == request || event.field("request").empty();
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const auto render = timeline::rendererNamed(started.settings.text("format"));
    if (!render)
    {
        std::cerr << "--format: expected text, jsonl, html or trace\n";
        return adapters::settings::ExitUsage;
    }
    std::vector<timeline::Event> events;
    std::size_t                  skipped = 0;
    for (const std::string& path : started.operands)
    {
        if (!readLog(path, events, skipped))
        {
            std::cerr << path << ": cannot be read\n";
            return adapters::settings::ExitFailed;
        }
    }
    const timeline::ClockCorrections corrections = timeline::alignClocks(events);
    timeline::applyCorrections(events, corrections);
    const std::string& request = started.settings.text("request");
    if (!request.empty())
        std::erase_if(events, [&request](const timeline::Event& event) { return !concerns(event, request); });
    std::cout << (*render)(events);
    if (skipped > 0)
        std::cerr << skipped << " lines are no events and were left out\n";
    if (started.settings.isOn("corrections"))
    {
        for (const auto& [node, micros] : corrections)
            std::cerr << node << " +" << micros << " us\n";
    }
    return adapters::settings::ExitOk;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

// sailpath-replay: replays traces against the real decision logic in virtual time.

#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/replay/Replay.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;

constexpr std::array options{
    Option{"variants", OptionKind::Text, "sailpath", "names separated by commas, or all"},
    Option{"check", OptionKind::Switch, "true", "check the trace's stated outcomes for the variant sailpath"},
    Option{"host", OptionKind::Text, "", "measure only requests of this host"},
    Option{"path", OptionKind::Text, "", "measure only requests of this path"},
    Option{"seed", OptionKind::Whole, "0", "replaces the trace's seed unless 0"},
};

constexpr adapters::settings::Program program{
    "sailpath-replay", "Replays traces in virtual time and checks their stated outcomes.", "TRACE...", options};

////////////////////////////////////////////////////////////
bool isWanted(const std::string& list, const std::string& name)
{
    return list == "all" || ("," + list + ",").find("," + name + ",") != std::string::npos;
}

////////////////////////////////////////////////////////////
double value(const replay::Report& report, const adapters::settings::Settings& settings, const char* metric)
{
    replay::Expectation selection;
    selection.metric = metric;
    selection.host = settings.text("host");
    selection.path = settings.text("path");
    return report.metric(selection);
}

////////////////////////////////////////////////////////////
void printRow(const std::string& name, const replay::Report& report, const adapters::settings::Settings& settings)
{
    std::printf("%-14s %8.2f %8.2f %8.2f %7.4f %7.4f %7.4f %8.1f %6.3f %8.1f\n", name.c_str(),
                value(report, settings, "p50Ms"), value(report, settings, "p99Ms"), value(report, settings, "p999Ms"),
                value(report, settings, "goodShare"), value(report, settings, "refusedShare"),
                value(report, settings, "failedShare"), value(report, settings, "goodput"),
                value(report, settings, "attemptsPerRequest"), value(report, settings, "probeCostMsPerS"));
}

////////////////////////////////////////////////////////////
/// \brief Replay one trace; returns how many stated outcomes were missed
////////////////////////////////////////////////////////////
std::size_t runTrace(const std::string& path, const adapters::settings::Settings& settings)
{
    std::ifstream     file(path);
    std::stringstream text;
    text << file.rdbuf();
    replay::ReadTrace read = replay::readTrace(text.str(), path);
    if (!file || !read.findings.empty())
    {
        std::cerr << (file ? read.findings.text() : path + ": cannot be read\n");
        return 1;
    }
    if (settings.whole("seed") != 0)
        read.trace.setup.seed = settings.whole("seed");
    std::printf("%s\n%-14s %8s %8s %8s %7s %7s %7s %8s %6s %8s\n", path.c_str(), "variant", "p50ms", "p99ms", "p99.9ms",
                "good", "refused", "failed", "good/s", "att/rq", "probe/s");
    std::size_t missed = 0;
    for (const replay::Variant& variant : replay::knownVariants())
    {
        if (!isWanted(settings.text("variants"), variant.name))
            continue;
        const replay::Report report = replay::replay(read.trace, variant);
        printRow(variant.name, report, settings);
        if (variant.name != "sailpath" || !settings.isOn("check"))
            continue;
        for (const replay::Miss& miss : replay::check(read.trace, report))
        {
            std::printf("  MISSED %s\n", replay::describe(miss).c_str());
            ++missed;
        }
    }
    return missed;
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    std::size_t missed = 0;
    for (const std::string& path : started.operands)
        missed += runTrace(path, started.settings);
    std::printf("%zu stated outcomes missed\n", missed);
    return missed == 0 ? adapters::settings::ExitOk : adapters::settings::ExitFailed;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

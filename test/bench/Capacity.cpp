// sailpath-capacity: measures slopes of the control and decision logic in virtual time and prints fits.

#include "support/ControlGroup.hpp"

#include <sailpath/adapters/peers/MessageSize.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/node/Dispatcher.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using adapters::settings::Option;
using adapters::settings::OptionKind;
using support::ControlGroup;

constexpr std::array options{Option{"seconds", OptionKind::Whole, "120", "virtual seconds for each fleet size"}};

constexpr adapters::settings::Program program{"sailpath-capacity", "Measures slopes for docs/CAPACITY.md.", "",
                                              options};

////////////////////////////////////////////////////////////
/// \brief A straight line through measured points, by least squares
////////////////////////////////////////////////////////////
struct Fit
{
    double slope{0};     //!< Change for one more
    double intercept{0}; //!< At none
    double error{0};     //!< Largest distance of a point from the line
};

////////////////////////////////////////////////////////////
Fit fitLine(const std::vector<std::pair<double, double>>& points)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& [x, y] : points)
    {
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    Fit fit;
    fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    fit.intercept = (sy - fit.slope * sx) / n;
    for (const auto& [x, y] : points)
        fit.error = std::max(fit.error, std::abs(y - fit.intercept - fit.slope * x));
    return fit;
}

////////////////////////////////////////////////////////////
void printFit(const char* name, const std::vector<std::pair<double, double>>& points, double at)
{
    const Fit fit = fitLine(points);
    std::printf("  fit %-28s %.6g + %.6g x nodes (largest distance %.3g); at %.0f: %.6g\n", name, fit.intercept,
                fit.slope, fit.error, at, fit.intercept + fit.slope * at);
}

////////////////////////////////////////////////////////////
std::string declaration(unsigned number, unsigned servers, double budget)
{
    std::string text = R"({"workspace": "w)" + std::to_string(number) + R"(", "measuringBudgetMsPerS": )" +
                       std::to_string(budget) + R"(, "services": [{"name": "s", "servers": [)";
    for (unsigned i = 0; i < servers; ++i)
        text += (i ? ", " : "") + std::string(R"({"name": "s)") + std::to_string(i) +
                R"(", "address": "10.0.0.1", "port": 80, "dataCentre": "0"})";
    return text + "]}]}";
}

////////////////////////////////////////////////////////////
long residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

////////////////////////////////////////////////////////////
/// \brief One fleet size: steady state, then changes, a failure, an outage
////////////////////////////////////////////////////////////
struct FleetCost
{
    double bytesPerSecond{0};  //!< Of digests, both ways, a node
    double microsPerSecond{0}; //!< Processor time of the control logic, a node
    double kilobytes{0};       //!< Memory of the control logic, a node
    double storeCalls{0};      //!< A second, the fleet
    double spreadSeconds{0};   //!< Slowest of ten changes to be in force everywhere, 10% of calls lost
    double noticeSeconds{0};   //!< Until all hold a killed node for dead
};

////////////////////////////////////////////////////////////
FleetCost measureFleet(unsigned nodes, core::Duration length)
{
    const long   before = residentKilobytes();
    ControlGroup group({.nodes = nodes, .dataCentres = 7, .seed = 5, .loss = 0.1});
    group.digestSize = adapters::peers::encodedSize;
    for (unsigned i = 0; i < 16; ++i)
        (void)group.put("w" + std::to_string(i), declaration(i, nodes / 16 + 1, 30));
    group.run(60s);
    FleetCost cost;
    cost.kilobytes = static_cast<double>(residentKilobytes() - before) / nodes;

    const auto bytes = group.peerBytes;
    const auto calls = group.storeCalls;
    const auto start = std::chrono::steady_clock::now();
    group.run(length);
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
    const double                                    nodeSeconds = core::toSeconds(length) * nodes;
    // Each byte of a digest is sent by one node and received by another.
    cost.bytesPerSecond = 2.0 * static_cast<double>(group.peerBytes - bytes) / nodeSeconds;
    cost.microsPerSecond = spent.count() / nodeSeconds;
    cost.storeCalls = static_cast<double>(group.storeCalls - calls) / core::toSeconds(length);

    for (unsigned i = 0; i < 10; ++i)
    {
        const core::Timestamp at = group.now();
        const auto            revision = group.put("w1", declaration(1, nodes / 16 + 1, 30));
        (void)group.runUntil([&] { return group.appliedEverywhere("w1", revision); }, 60s);
        cost.spreadSeconds = std::max(cost.spreadSeconds, core::toSeconds(group.now() - at));
    }
    const core::Timestamp killed = group.now();
    group.stop(nodes / 2);
    const auto noticed = [&]
    {
        for (unsigned i = 0; i < nodes; ++i)
        {
            if (i != nodes / 2 && !group.seesStatus(i, nodes / 2, membership::MemberStatus::Dead))
                return false;
        }
        return true;
    };
    (void)group.runUntil(noticed, 120s);
    cost.noticeSeconds = core::toSeconds(group.now() - killed);
    return cost;
}

////////////////////////////////////////////////////////////
/// \brief Nanoseconds for one decision: admit and finish
////////////////////////////////////////////////////////////
double decisionNanoseconds(unsigned servers)
{
    config::Service service;
    service.name = "s";
    service.routes = {{"/", {"GET"}, true, config::Priority::Interactive}};
    for (unsigned i = 0; i < servers; ++i)
        service.servers.push_back({"s" + std::to_string(i), "10.0.0.1", 80, "dc", 3, 200});
    node::Dispatcher dispatcher{{}};
    core::Timestamp  now{1h};
    dispatcher.configure({"w", 0, {service}}, now);
    node::Outcome outcome;
    outcome.result = retries::AttemptResult::Answered;
    outcome.report = routing::LoadReport{1};

    constexpr int decisions = 200'000;
    const auto    start = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i)
    {
        now += 100us;
        const node::Step step = dispatcher.admit({"s.w", "GET", "/x", {}}, now);
        if (step.verdict == node::Verdict::Forward)
            (void)dispatcher.finishAttempt(step.ticket, outcome, now + 5ms);
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / decisions;
}

////////////////////////////////////////////////////////////
void measureDecisions()
{
    std::printf("decisions (admit and finish)\n");
    std::vector<std::pair<double, double>> points;
    for (const unsigned servers : {10U, 30U, 100U, 490U})
    {
        const double nanoseconds = decisionNanoseconds(servers);
        points.emplace_back(servers, nanoseconds);
        std::printf("  %4u servers in the service: %.0f ns\n", servers, nanoseconds);
    }
    const Fit fit = fitLine(points);
    std::printf("  fit: %.0f ns + %.1f ns x servers (largest distance %.0f)\n", fit.intercept, fit.slope, fit.error);
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    measureDecisions();
    const core::Duration                   length = std::chrono::seconds{started.settings.whole("seconds")};
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> micros;
    std::vector<std::pair<double, double>> kilobytes;
    std::vector<std::pair<double, double>> calls;
    std::printf("control (16 workspaces, 10%% of calls between peers lost)\n");
    std::printf("  %5s %12s %12s %10s %12s %10s %10s\n", "nodes", "bytes/s/node", "cpu us/s/nd", "KB/node",
                "store calls/s", "spread s", "notice s");
    for (const unsigned nodes : {18U, 50U, 100U, 200U, 490U})
    {
        const FleetCost cost = measureFleet(nodes, length);
        bytes.emplace_back(nodes, cost.bytesPerSecond);
        micros.emplace_back(nodes, cost.microsPerSecond);
        kilobytes.emplace_back(nodes, cost.kilobytes);
        calls.emplace_back(nodes, cost.storeCalls);
        std::printf("  %5u %12.0f %12.1f %10.1f %12.2f %10.2f %10.1f\n", nodes, cost.bytesPerSecond,
                    cost.microsPerSecond, cost.kilobytes, cost.storeCalls, cost.spreadSeconds, cost.noticeSeconds);
    }
    constexpr double target = 490;
    printFit("bytes/s a node", bytes, target);
    printFit("cpu us/s a node", micros, target);
    printFit("KB a node", kilobytes, target);
    printFit("store calls/s", calls, target);
    return 0;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

// sailpath-load: sends requests at a steady rate and reports what came back.

#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;
using adapters::settings::Settings;
using Clock = std::chrono::steady_clock;

constexpr std::array options{
    Option{"target", OptionKind::Endpoints, adapters::settings::required,
           "where to send; connections are spread over all"},
    Option{"host", OptionKind::Text, "", "Host header; none of its own when empty"},
    Option{"path", OptionKind::Text, "/", "request path; {n} becomes the request's number"},
    Option{"method", OptionKind::Name, "GET", "GET or POST"},
    Option{"rate", OptionKind::Number, "100", "requests a second, over all connections"},
    Option{"connections", OptionKind::Whole, "10", "connections, each with a thread"},
    Option{"seconds", OptionKind::Number, "5", "length of the run"},
    Option{"name", OptionKind::Name, "load", "name of the run in the report and in request ids"},
    Option{"json", OptionKind::Switch, "false", "report as one line of JSON"},
    Option{"check-path", OptionKind::Switch, "false", "fail when an answer's JSON does not repeat the request's path"},
};

constexpr adapters::settings::Program program{"sailpath-load", "Sends requests at a steady rate and reports.", "",
                                              options};

////////////////////////////////////////////////////////////
/// \brief What came back
////////////////////////////////////////////////////////////
struct Results
{
    std::mutex                  mutex;      //!< Guards what follows
    std::map<std::string, long> outcomes;   //!< Count by status and reason
    std::vector<double>         latencies;  //!< Of answers with status 2xx, milliseconds
    long                        crossed{0}; //!< Answers that belong to another request
};

////////////////////////////////////////////////////////////
std::string outcomeOf(const httplib::Result& answer)
{
    if (!answer)
        return "broken-" + httplib::to_string(answer.error());
    std::string outcome = std::to_string(answer->status);
    if (answer->has_header("Sailpath-Reason"))
        outcome += "-" + answer->get_header_value("Sailpath-Reason") + "-" + answer->get_header_value("Sailpath-Ran");
    return outcome;
}

////////////////////////////////////////////////////////////
std::string numbered(std::string path, long number)
{
    const auto mark = path.find("{n}");
    if (mark != std::string::npos)
        path.replace(mark, 3, std::to_string(number));
    return path;
}

////////////////////////////////////////////////////////////
bool isCrossed(const httplib::Result& answer, const std::string& path)
{
    if (!answer || answer->status != 200)
        return false;
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    return !body.is_object() || body.value("path", std::string()) != path.substr(0, path.find('?'));
}

////////////////////////////////////////////////////////////
/// \brief One connection: sends its share of the requests at their times
////////////////////////////////////////////////////////////
void runConnection(const Settings& settings, std::size_t index, Clock::time_point start, Results& results)
{
    const auto      targets = settings.endpoints("target");
    const auto&     target = targets[index % targets.size()];
    httplib::Client client(target.address, target.port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds{30});
    client.set_url_encode(false);

    const auto                          connections = static_cast<double>(settings.whole("connections"));
    const std::chrono::duration<double> between(connections / settings.number("rate"));
    const std::chrono::duration<double> offset(between.count() * static_cast<double>(index) / connections);
    const std::chrono::duration<double> length(settings.number("seconds"));
    const std::string                   prefix = settings.text("name") + "-" + std::to_string(index) + "-";
    for (long number = 0;; ++number)
    {
        const std::chrono::duration<double> due = offset + between * static_cast<double>(number);
        if (due >= length)
            return;
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(due));
        const std::string path = numbered(settings.text("path"), static_cast<long>(index) * 1'000'000 + number);
        httplib::Headers  headers{{"X-Request-Id", prefix + std::to_string(number)}};
        if (!settings.text("host").empty())
            headers.emplace("Host", settings.text("host"));

        const auto sent = Clock::now();
        const auto answer = settings.text("method") == "POST" ? client.Post(path, headers, "{}", "application/json")
                                                              : client.Get(path, headers);
        const std::chrono::duration<double, std::milli> latency = Clock::now() - sent;

        const std::lock_guard<std::mutex> lock(results.mutex);
        ++results.outcomes[outcomeOf(answer)];
        if (answer && answer->status / 100 == 2)
            results.latencies.push_back(latency.count());
        if (settings.isOn("check-path") && isCrossed(answer, path))
            ++results.crossed;
    }
}

////////////////////////////////////////////////////////////
double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

////////////////////////////////////////////////////////////
void report(const Settings& settings, Results& results)
{
    std::sort(results.latencies.begin(), results.latencies.end());
    nlohmann::json summary{{"name", settings.text("name")},
                           {"p50Ms", quantile(results.latencies, 0.5)},
                           {"p99Ms", quantile(results.latencies, 0.99)},
                           {"p999Ms", quantile(results.latencies, 0.999)},
                           {"outcomes", results.outcomes},
                           {"crossed", results.crossed}};
    if (settings.isOn("json"))
    {
        std::cout << summary.dump() << "\n";
        return;
    }
    std::cout << settings.text("name") << ":";
    for (const auto& [outcome, count] : results.outcomes)
        std::cout << " " << outcome << "=" << count;
    std::cout << " p50=" << summary["p50Ms"] << "ms p99=" << summary["p99Ms"] << "ms crossed=" << results.crossed
              << "\n";
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const Settings&          settings = started.settings;
    Results                  results;
    std::vector<std::thread> threads;
    const auto               start = Clock::now() + std::chrono::milliseconds{100};
    for (std::size_t i = 0; i < settings.whole("connections"); ++i)
        threads.emplace_back([&, i] { runConnection(settings, i, start, results); });
    for (std::thread& thread : threads)
        thread.join();
    report(settings, results);
    return results.crossed == 0 ? adapters::settings::ExitOk : adapters::settings::ExitFailed;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

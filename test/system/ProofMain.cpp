// sailpath-proof: callers that record what happens to them, and the check of the history.

#include "History.hpp"

#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/core/Random.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace
{
using namespace sailpath;
using adapters::settings::Endpoint;
using adapters::settings::Option;
using adapters::settings::OptionKind;
using adapters::settings::Settings;
using nlohmann::json;
using sailpath::system::Ending;
using sailpath::system::Execution;
using sailpath::system::History;
using sailpath::system::Sending;

constexpr std::array options{
    Option{"entries", OptionKind::Endpoints, adapters::settings::required, "entries to call"},
    Option{"backends", OptionKind::Endpoints, adapters::settings::required,
           "backend stand-ins to ask for what they ran"},
    Option{"host", OptionKind::Text, "ledger.proof", "Host header"},
    Option{"callers", OptionKind::Whole, "24", "callers at once"},
    Option{"seconds", OptionKind::Number, "20", "length of the run"},
    Option{"send-key", OptionKind::Switch, "true", "off shows that the check catches what happens without claims"},
    Option{"seed", OptionKind::Whole, "1", "seed of the callers' choices"},
};

constexpr adapters::settings::Program program{"sailpath-proof", "Records a concurrent run and checks its history.", "",
                                              options};
constexpr int                         mostSendings = 6;
constexpr auto                        longestPause = std::chrono::milliseconds{400};

////////////////////////////////////////////////////////////
/// \brief One caller: sends operations, each again under its key until it is answered
////////////////////////////////////////////////////////////
class Caller
{
public:
    Caller(const Settings& settings, unsigned number, History& history, std::mutex& mutex) :
    m_settings(settings),
    m_number(number),
    m_entries(settings.endpoints("entries")),
    m_random(settings.whole("seed") * 1000 + number),
    m_history(history),
    m_mutex(mutex)
    {
    }

    ////////////////////////////////////////////////////////////
    void run(std::chrono::steady_clock::time_point end)
    {
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
        {
            const std::string operation =
                "op-" + m_settings.text("seed") + "-" + std::to_string(m_number) + "-" + std::to_string(i);
            const bool keyed = m_random.unit() < 0.7;
            perform(operation, keyed);
        }
    }

private:
    ////////////////////////////////////////////////////////////
    void perform(const std::string& operation, bool keyed)
    {
        for (int number = 0; number < mostSendings; ++number)
        {
            std::chrono::milliseconds pause{50};
            const Sending             sending = send(operation, keyed, number, pause);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_history.sendings.push_back(sending);
            }
            // Without a key only what certainly did not run may be sent again.
            if (sending.ending == Ending::Answered || (!keyed && sending.ending != Ending::NotRun))
                return;
            std::this_thread::sleep_for(std::min<std::chrono::milliseconds>(pause, longestPause));
        }
    }

    ////////////////////////////////////////////////////////////
    Sending send(const std::string& operation, bool keyed, int number, std::chrono::milliseconds& pause)
    {
        const Endpoint& entry = m_entries[m_random.below(m_entries.size())];
        Sending         sending;
        sending.operation = operation;
        sending.request = operation + "-" + std::to_string(number);
        httplib::Client client(entry.address, entry.port);
        client.set_connection_timeout(std::chrono::seconds{1});
        client.set_read_timeout(std::chrono::seconds{2});
        httplib::Headers headers{
            {"Host", m_settings.text("host")}, {"X-Request-Id", sending.request}, {"Operation", operation}};
        if (keyed && m_settings.isOn("send-key"))
            headers.emplace("Idempotency-Key", operation);
        const auto answer = client.Post("/fees", headers, "{}", "application/json");
        if (!answer)
            return sending;
        judge(*answer, sending);
        const std::string comeBack = answer->get_header_value("Sailpath-Retry-After-Ms");
        if (!comeBack.empty())
            pause = std::chrono::milliseconds{std::stoll(comeBack)};
        return sending;
    }

    ////////////////////////////////////////////////////////////
    static void judge(const httplib::Response& answer, Sending& sending)
    {
        if (answer.status == 200)
        {
            const json body = json::parse(answer.body, nullptr, false);
            sending.ending = Ending::Answered;
            sending.whole = body.is_object();
            const std::string attempt = sending.whole ? body.value("request", std::string()) : std::string();
            sending.answeredFor = attempt.substr(0, attempt.rfind('.'));
            return;
        }
        const std::string ran = answer.get_header_value("Sailpath-Ran");
        // A server's own failure passes through without a word on whether it ran.
        sending.ending = ran == "not-run" ? Ending::NotRun : Ending::Unknown;
    }

    const Settings&       m_settings; //!< Checked settings
    unsigned              m_number;   //!< Which caller
    std::vector<Endpoint> m_entries;  //!< Entries to call
    core::Random          m_random;   //!< For choices
    History&              m_history;  //!< Receives what happened
    std::mutex&           m_mutex;    //!< Guards the history
};

////////////////////////////////////////////////////////////
/// \brief Ask the servers what they ran; false when one does not answer
////////////////////////////////////////////////////////////
bool readExecutions(const Settings& settings, History& history)
{
    for (const Endpoint& backend : settings.endpoints("backends"))
    {
        httplib::Client client(backend.address, backend.port);
        client.set_read_timeout(std::chrono::seconds{10});
        const auto answer = client.Get("/history");
        if (!answer || answer->status != 200)
            return false;
        for (const json& item : json::parse(answer->body))
            history.executions.push_back({backend.text(), item.value("attempt", ""), item.value("operation", "")});
    }
    return true;
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const Settings&          settings = started.settings;
    History                  history;
    std::mutex               mutex;
    std::vector<std::thread> threads;
    const auto               end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds{static_cast<std::int64_t>(settings.number("seconds") * 1000)};
    for (unsigned i = 0; i < settings.whole("callers"); ++i)
        threads.emplace_back([&, i] { Caller(settings, i, history, mutex).run(end); });
    for (std::thread& thread : threads)
        thread.join();
    // What was paused may still be on its way.
    std::this_thread::sleep_for(std::chrono::seconds{2});
    if (!readExecutions(settings, history))
    {
        std::cerr << "a backend stand-in does not answer\n";
        return adapters::settings::ExitFailed;
    }
    std::map<Ending, std::size_t> endings;
    for (const Sending& sending : history.sendings)
        ++endings[sending.ending];
    std::printf("sendings %zu: answered %zu, not-run %zu, unknown %zu, broken %zu; executions %zu\n",
                history.sendings.size(), endings[Ending::Answered], endings[Ending::NotRun], endings[Ending::Unknown],
                endings[Ending::Broken], history.executions.size());
    const auto violations = sailpath::system::checkHistory(history);
    for (const auto& violation : violations)
        std::printf("VIOLATION %s: %s\n", violation.rule.c_str(), violation.details.c_str());
    std::printf("violations %zu\n", violations.size());
    return violations.empty() ? adapters::settings::ExitOk : adapters::settings::ExitFailed;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

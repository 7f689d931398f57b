#include "EntryStatus.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sailpath/adapters/http/ServerThread.hpp>

#include <optional>
#include <stdexcept>
#include <thread>

namespace sailpath::programs
{
namespace
{
using nlohmann::json;

////////////////////////////////////////////////////////////
void addCounter(std::string& text, std::string_view name, std::uint64_t value)
{
    text += "# TYPE " + std::string(name) + " counter\n" + std::string(name) + " " + std::to_string(value) + "\n";
}

////////////////////////////////////////////////////////////
void addGauge(std::string& text, std::string_view name, double value)
{
    text += "# TYPE " + std::string(name) + " gauge\n" + std::string(name) + " " + std::to_string(value) + "\n";
}

////////////////////////////////////////////////////////////
std::string_view statusName(membership::MemberStatus status)
{
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "leaving", "dead"};
    return names.at(static_cast<std::size_t>(status));
}

} // namespace

////////////////////////////////////////////////////////////
struct EntryStatus::Impl
{
    explicit Impl(EntryParts shown) :
    parts(std::move(shown))
    {
    }

    ////////////////////////////////////////////////////////////
    void health(httplib::Response& response)
    {
        const control::ControlStatus status = parts.control.status();
        std::string_view             state = "ready";
        if (parts.leaving)
            state = "leaving";
        else if (status.revision == 0)
            state = "no-configuration";
        response.status = state == "ready" ? 200 : 503;
        response.set_content(json{{"state", state}, {"revision", status.revision}}.dump() + "\n", "application/json");
    }

    ////////////////////////////////////////////////////////////
    void status(httplib::Response& response)
    {
        const control::ControlStatus status = parts.control.status();
        json                         members = json::array();
        for (const membership::Member& member : status.members)
            members.push_back({{"name", member.name},
                               {"dataCentre", member.dataCentre},
                               {"status", statusName(member.status)},
                               {"incarnation", member.incarnation}});
        const json body{{"node", parts.node},      {"revision", status.revision},     {"relay", status.relay},
                        {"probes", status.probes}, {"probeCostMs", status.probeCost}, {"storeCalls", status.storeCalls},
                        {"members", members}};
        response.set_content(body.dump() + "\n", "application/json");
    }

    ////////////////////////////////////////////////////////////
    void metrics(httplib::Response& response)
    {
        const control::ControlStatus          control = parts.control.status();
        const adapters::http::IngressCounters ingress = parts.ingress.counters();
        std::string                           text = parts.metrics.text();
        addGauge(text, "sailpath_configuration_revision", static_cast<double>(control.revision));
        addGauge(text, "sailpath_connections_open", static_cast<double>(ingress.open));
        addGauge(text, "sailpath_requests_serving", static_cast<double>(ingress.serving));
        addCounter(text, "sailpath_requests_turned_away_total", ingress.refused);
        addCounter(text, "sailpath_requests_malformed_total", ingress.malformed);
        addCounter(text, "sailpath_caller_hang_ups_total", ingress.callerDisconnects);
        addCounter(text, "sailpath_probes_total", control.probes);
        addCounter(text, "sailpath_store_calls_total", control.storeCalls);
        text += "# TYPE sailpath_probe_cost_milliseconds_total counter\n";
        for (const auto& [workspace, cost] : control.probeCost)
        {
            text.append("sailpath_probe_cost_milliseconds_total{workspace=\"").append(workspace).append("\"} ");
            text.append(std::to_string(cost)).append("\n");
        }
        addServices(text);
        response.set_content(text, "text/plain; version=0.0.4");
    }

    ////////////////////////////////////////////////////////////
    void addServices(std::string& text)
    {
        parts.door.with(
            [&text](const node::Dispatcher& dispatcher)
            {
                dispatcher.visitCounters(
                    [&text](std::string_view workspace, std::string_view service,
                            const node::DispatcherCounters& counts)
                    {
                        const std::string labels =
                            "{workspace=\"" + std::string(workspace) + "\",service=\"" + std::string(service) + "\"} ";
                        text += "sailpath_attempts_total" + labels + std::to_string(counts.attempts) + "\n";
                        text += "sailpath_retries_total" + labels + std::to_string(counts.retries) + "\n";
                        text += "sailpath_held_total" + labels + std::to_string(counts.held) + "\n";
                        text += "sailpath_refused_total" + labels + std::to_string(counts.refused) + "\n";
                        text += "sailpath_ejections_total" + labels + std::to_string(counts.ejections) + "\n";
                    });
            });
    }

    EntryParts                                  parts;  //!< What is shown
    httplib::Server                             server; //!< The library's server
    std::optional<adapters::http::ServerThread> thread; //!< Runs the server
};

////////////////////////////////////////////////////////////
EntryStatus::EntryStatus(const adapters::settings::Endpoint& listen, EntryParts parts) :
m_impl(std::make_unique<Impl>(std::move(parts)))
{
    Impl& impl = *m_impl;
    impl.server.new_task_queue = [] { return new httplib::ThreadPool(4); };
    impl.server.Get("/health",
                    [&impl](const httplib::Request&, httplib::Response& response) { impl.health(response); });
    impl.server.Get("/status",
                    [&impl](const httplib::Request&, httplib::Response& response) { impl.status(response); });
    impl.server.Get("/metrics",
                    [&impl](const httplib::Request&, httplib::Response& response) { impl.metrics(response); });
    impl.thread.emplace(impl.server, listen);
}

////////////////////////////////////////////////////////////
EntryStatus::~EntryStatus()
{
    m_impl->thread.reset();
}

////////////////////////////////////////////////////////////
std::uint16_t EntryStatus::port() const
{
    return m_impl->thread->port();
}

} // namespace sailpath::programs

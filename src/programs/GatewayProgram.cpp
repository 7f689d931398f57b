#include "GatewayProgram.hpp"

#include <sailpath/adapters/logging/BoundedEventLog.hpp>
#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/core/Clock.hpp>
#include <sailpath/core/Hash.hpp>
#include <sailpath/gateway/Gateway.hpp>
#include <sailpath/gateway/LoopWatchdog.hpp>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

namespace sailpath::programs
{
namespace
{
using adapters::settings::Option;
using adapters::settings::OptionKind;
using adapters::settings::Settings;

constexpr std::array options{
    Option{"name", OptionKind::Name, adapters::settings::required, "name of this VM, unique in the fleet"},
    Option{"data-centre", OptionKind::Name, adapters::settings::required, "data centre where this VM runs"},
    Option{"listen", OptionKind::Endpoint, "0.0.0.0:8080", "where callers connect"},
    Option{"readiness-listen", OptionKind::Endpoint, "0.0.0.0:8081", "where readiness is asked for"},
    Option{"peer-listen", OptionKind::Endpoint, adapters::settings::required,
           "where peers connect; they are told this address"},
    Option{"seeds", OptionKind::Endpoints, "", "peers to begin with"},
    Option{"store", OptionKind::Endpoint, adapters::settings::required, "store of what operators and servers declare"},
    Option{"drain-s", OptionKind::Number, "2", "longest time from a server's leaving to its last new request, seconds"},
    Option{"grace-s", OptionKind::Number, "6", "longest time of a planned stop, seconds"},
    Option{"retry-ratio", OptionKind::Number, "0.1", "further sends as a share of requests, over the fleet"},
    Option{"retry-extra", OptionKind::Number, "0", "further sends beyond the share in a window, over the fleet"},
    Option{"retry-window-s", OptionKind::Number, "10", "span that the retry budget is counted over, seconds"},
    Option{"probe-rate", OptionKind::Number, "20", "probes that a server may get a second, from all nodes"},
    Option{"warm-up-excess", OptionKind::Number, "1.5",
           "times its declared rate that a cold server may get in one second, from all nodes"},
    Option{"warm-up-slack", OptionKind::Number, "8", "and so many requests more"},
    Option{"quota-window-s", OptionKind::Number, "5", "span that what workspaces send is counted over, seconds"},
    Option{"quota-excess", OptionKind::Number, "0.1",
           "part of its quota that a workspace may send beyond it in the span"},
    Option{"quota-slack", OptionKind::Number, "20", "and so many requests more"},
    Option{"link-mbps", OptionKind::Number, "100", "bandwidth of this VM, Mbit/s"},
    Option{"cpu-share", OptionKind::Number, "1", "cores that this VM may use"},
    Option{"memory-mb", OptionKind::Number, "256", "memory that the process may use"},
    Option{"descriptors", OptionKind::Whole, "4096", "file descriptors that the process may use"},
    Option{"server-source", OptionKind::Address, "",
           "IP address that connections to servers come from; the system chooses when empty"},
    Option{"metrics-listen", OptionKind::Endpoints, "", "where /metrics is served; nowhere when empty"},
    Option{"log-lines", OptionKind::Whole, "40", "lines of one kind of event in a second, at most"},
    Option{"log-file", OptionKind::Text, "", "event log; standard output when empty"},
    Option{"log-level", OptionKind::Text, "info", "debug, info, warning or error"},
};

constexpr adapters::settings::Program program{"sailpath-gateway", "Takes callers' requests, decides, forwards.", "",
                                              options};
constexpr auto                        stopCheck = std::chrono::milliseconds{50};
constexpr double                      graceShare = 0.9;   // Of the grace; the process has ended by then
constexpr double                      bufferShare = 0.25; // Of the memory, for request bodies
constexpr double                      answerShare = 0.2;  // Of the memory, for bodies of servers' answers
constexpr double                      bytesPerMegabyte = 1e6;
constexpr auto                        snapshotInterval = std::chrono::seconds{5}; // Between offers to the fleet
constexpr std::size_t                 callersShare = 2;  // One in two descriptors may be a caller's
constexpr std::size_t                 tunnelsShare = 16; // A tunnel for another node takes two descriptors

////////////////////////////////////////////////////////////
core::Duration seconds(const Settings& settings, std::string_view name)
{
    return core::fromMilliseconds(settings.number(name) * 1000);
}

////////////////////////////////////////////////////////////
gateway::GatewaySettings gatewaySettings(const Settings& settings)
{
    gateway::GatewaySettings gateway;
    gateway.listen = settings.endpoint("listen");
    gateway.readinessListen = settings.endpoint("readiness-listen");
    if (const auto metrics = settings.endpoints("metrics-listen"); !metrics.empty())
        gateway.metricsListen = metrics.front();
    gateway.serverSource = settings.text("server-source");
    gateway.maxBufferedBytes =
        static_cast<std::uint64_t>(bufferShare * settings.number("memory-mb") * bytesPerMegabyte);
    gateway.maxBufferedAnswerBytes =
        static_cast<std::uint64_t>(answerShare * settings.number("memory-mb") * bytesPerMegabyte);
    gateway.maxCallers = settings.whole("descriptors") / callersShare;
    gateway.balance.dataCentre = settings.text("data-centre");
    gateway.balance.retryRatio = settings.number("retry-ratio");
    gateway.balance.retryExtra = settings.number("retry-extra");
    gateway.balance.retryWindow = seconds(settings, "retry-window-s");
    gateway.balance.probeRate = settings.number("probe-rate");
    gateway.balance.warmUpExcess = settings.number("warm-up-excess");
    gateway.balance.warmUpSlack = settings.number("warm-up-slack");
    gateway.balance.quotas.window = seconds(settings, "quota-window-s");
    gateway.balance.quotas.excess = settings.number("quota-excess");
    gateway.balance.quotas.slack = settings.number("quota-slack");
    gateway.balance.self = deployment::shortHash(settings.text("peer-listen"));
    gateway.self = settings.text("peer-listen");
    gateway.maxTunnels = settings.whole("descriptors") / tunnelsShare;
    gateway.balance.seed = std::random_device{}();
    // As long as changes may take to be heard of everywhere.
    gateway.balance.maxConfigurationAgeToDeny = seconds(settings, "drain-s");
    // A server serves on for that time after the store took its word, which may have been before it was heard here.
    gateway.balance.leavingGrace = seconds(settings, "drain-s") / 2;
    return gateway;
}

////////////////////////////////////////////////////////////
/// \brief How well this VM can serve its peers: the binary order of its scarcer resource
////////////////////////////////////////////////////////////
std::uint32_t capacity(const Settings& settings)
{
    constexpr double smallestLink = 5;     // Mbit/s
    constexpr double smallestShare = 0.05; // Cores
    const double     scarcer =
        std::min(settings.number("link-mbps") / smallestLink, settings.number("cpu-share") / smallestShare);
    return static_cast<std::uint32_t>(std::max(0.0, std::log2(std::max(1.0, scarcer))));
}

////////////////////////////////////////////////////////////
fleet::FleetSettings fleetSettings(const Settings& settings)
{
    fleet::FleetSettings fleet;
    fleet.listen = settings.endpoint("peer-listen");
    fleet.replica.self = {settings.text("peer-listen"), settings.text("data-centre"), 0, capacity(settings)};
    for (const auto& seed : settings.endpoints("seeds"))
        fleet.replica.seeds.push_back(seed.text());
    // All that happens to a change on its way has to fit into the servers' time for leaving.
    const core::Duration drain = seconds(settings, "drain-s");
    fleet.replica.staleAfter = drain * 7 / 10;
    fleet.replica.watchTimeout = drain / 2;
    fleet.replica.watchPause = drain / 10;
    fleet.retention.retention = drain * 11 / 20;
    fleet.retention.outageThreshold = drain;
    fleet.replica.randomSeed = std::random_device{}();
    return fleet;
}

////////////////////////////////////////////////////////////
std::string controlMetrics(const fleet::FleetStatus& status, std::uint64_t linesLeftOut,
                           const gateway::StallCounts& stalls)
{
    std::string text;
    const auto  add = [&text](std::string_view name, std::string_view type, auto value)
    {
        text.append("# TYPE sailpath_").append(name).append(" ").append(type).append("\nsailpath_").append(name);
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    add("copy_age_seconds", "gauge", status.ageMs / 1000);
    add("copy_revision", "gauge", status.revision);
    add("nodes_known", "gauge", status.nodes);
    add("nodes_remembered", "gauge", status.remembered);
    add("data_centres_evacuated", "gauge", status.evacuated);
    add("server_entries_rejected_total", "counter", status.rejected);
    add("followers", "gauge", status.followers);
    add("store_calls_total", "counter", status.storeCalls);
    add("snapshot_writes_total", "counter", status.snapshotWrites);
    if (status.snapshotAge)
        add("snapshot_age_seconds", "gauge", core::toSeconds(*status.snapshotAge));
    add("store_watched", "gauge", status.watching ? 1 : 0);
    add("store_readings_total", "counter", status.readings.times);
    add("store_reading_bytes_total", "counter", status.readings.bytes);
    add("store_watches_total", "counter", status.watches.times);
    add("store_watch_bytes_total", "counter", status.watches.bytes);
    text.append("# TYPE sailpath_start_seconds gauge\n");
    const auto stage = [&](std::string_view name, const std::optional<core::Timestamp>& at)
    {
        if (at)
            text.append("sailpath_start_seconds{stage=\"")
                .append(name)
                .append("\"} ")
                .append(std::to_string(status.start.msTo(at) / 1000))
                .append("\n");
    };
    stage("link", status.start.linkAt);
    stage("copy", status.start.copyAt);
    stage("usable", status.start.usableAt);
    add("log_lines_left_out_total", "counter", linesLeftOut);
    add("loop_stalls_total", "counter", stalls.stalls);
    add("loop_stall_longest_seconds", "gauge", core::toSeconds(stalls.longest));
    return text;
}

////////////////////////////////////////////////////////////
/// \brief Stops the gateway in order: not ready, then no new connections, then the end
////////////////////////////////////////////////////////////
class PlannedStop
{
public:
    PlannedStop(asio::io_context& context, gateway::Gateway& gateway, core::Duration grace, ports::EventLog& log) :
    m_context(context),
    m_gateway(gateway),
    m_schedule(grace),
    m_log(log),
    m_timer(context)
    {
    }

    void begin()
    {
        if (m_begun)
            return;
        m_begun = true;
        m_since = core::now();
        write("leaving", ports::Level::Info, "asked");
        // A signal that came while the process was paused is handled after the pause, but its grace has begun.
        m_gateway.startDraining(m_schedule.endsAt(m_gateway.earliestArrival()));
        wait(m_schedule.noticeTime());
    }

private:
    void wait(core::Duration time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait(
            [this](const asio::error_code& error)
            {
                if (!error)
                    check();
            });
    }

    void check()
    {
        m_gateway.closeIdle();
        const auto reason = m_schedule.decide(m_gateway.openWork(), core::now() - m_since);
        if (reason == gateway::StopReason::None)
            return wait(stopCheck);
        const bool cuts = reason == gateway::StopReason::GraceIsOver;
        write("stopped", cuts ? ports::Level::Warning : ports::Level::Info, gateway::toString(reason));
        m_context.stop();
    }

    void write(std::string_view event, ports::Level level, std::string_view reason)
    {
        const gateway::OpenWork work = m_gateway.openWork();
        m_log.write(level, event,
                    {{"unfinished", work.requests + work.answers + work.tunnels},
                     {"requests", work.requests},
                     {"answers", work.answers},
                     {"tunnels", work.tunnels},
                     {"callers", work.connections},
                     {"reason", reason},
                     {"ms", core::toMilliseconds(core::now() - m_since)}});
    }

    asio::io_context&     m_context;      //!< Loop
    gateway::Gateway&     m_gateway;      //!< Is stopped
    gateway::StopSchedule m_schedule;     //!< Decides when the process ends
    ports::EventLog&      m_log;          //!< Told
    asio::steady_timer    m_timer;        //!< Next check
    core::Timestamp       m_since{};      //!< Start
    bool                  m_begun{false}; //!< It was told to stop
};

////////////////////////////////////////////////////////////
void watchSignals(asio::signal_set& signals, PlannedStop& stop, ports::EventLog& log)
{
    signals.async_wait(
        [&](const asio::error_code& error, int signal)
        {
            if (error)
                return;
            if (signal == SIGHUP)
                log.write(ports::Level::Info, "reload-asked", {{"changed", "nothing; settings hold for a life"}});
            else
                stop.begin();
            watchSignals(signals, stop, log);
        });
}

////////////////////////////////////////////////////////////
/// \brief Offers what the gateway has learned to the fleet, at intervals
////////////////////////////////////////////////////////////
class SnapshotOffers
{
public:
    SnapshotOffers(asio::io_context& context, const gateway::Gateway& gateway, fleet::FleetThread& fleet) :
    m_gateway(gateway),
    m_fleet(fleet),
    m_timer(context)
    {
        wait();
    }

private:
    void wait()
    {
        m_timer.expires_after(snapshotInterval);
        m_timer.async_wait(
            [this](const asio::error_code& error)
            {
                if (error)
                    return;
                m_fleet.offerSnapshot(m_gateway.learned());
                wait();
            });
    }

    const gateway::Gateway& m_gateway; //!< Source
    fleet::FleetThread&     m_fleet;   //!< Receiver
    asio::steady_timer      m_timer;   //!< Next offer
};

////////////////////////////////////////////////////////////
/// \brief End the process without taking it apart
///
/// All that callers are owed is done, and the system closes what is open. To take the log library apart can
/// take seconds, in which the VM serves nobody.
////////////////////////////////////////////////////////////
[[noreturn]] void endNow()
{
    std::cout.flush();
    std::_Exit(adapters::settings::ExitOk);
}

} // namespace

////////////////////////////////////////////////////////////
int runGateway(int argc, char** argv, const Surroundings& surroundings)
{
    int        exitCode = adapters::settings::ExitOk;
    const auto started = adapters::settings::startProgram(program, argc, argv, exitCode);
    if (!started)
        return exitCode;
    const Settings& settings = started->settings;
    std::signal(SIGPIPE, SIG_IGN);
    adapters::logging::Log4cplusEventLog lines(settings.text("name"), settings.text("log-file"),
                                               settings.text("log-level"));
    if (settings.text("log-file").empty())
        lines.useStandardOutput();
    adapters::logging::BoundedEventLog log(lines, static_cast<unsigned>(settings.whole("log-lines")), core::now);
    asio::io_context                   context(1);
    gateway::Gateway                   gateway(context, gatewaySettings(settings), surroundings.dialect, log);
    PlannedStop stop(context, gateway, core::fromMilliseconds(settings.number("grace-s") * 1000 * graceShare), log);
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    watchSignals(signals, stop, log);
    fleet::FleetThread fleet(
        fleetSettings(settings),
        [&](asio::io_context& loop) { return surroundings.makeSource(loop, settings.endpoint("store")); },
        surroundings.translator,
        [&](deployment::DeclaredState declared)
        { asio::post(context, [&gateway, declared = std::move(declared)] { gateway.configure(declared); }); },
        log);
    gateway.setConfirmedAtSource([&] { return fleet.provedAt(); });
    gateway.setFleetContactSource([&] { return fleet.heardAt(); });
    gateway.onServerFailures([&](std::vector<std::uint32_t> servers)
                             { fleet.reportServerFailures(std::move(servers)); });
    fleet.onFailures(
        [&](std::vector<deployment::ServerFailure> failures) {
            asio::post(context,
                       [&gateway, failures = std::move(failures)] { gateway.receiveServerFailures(failures); });
        });
    gateway.onServerCrashes([&](deployment::CrashReport news) { fleet.reportCrashes(std::move(news)); },
                            [&](const deployment::Quarantine& quarantine) { fleet.reportQuarantine(quarantine); });
    fleet.onCrashes(
        [&](deployment::CrashReport news)
        { asio::post(context, [&gateway, news = std::move(news)] { gateway.receiveServerCrashes(news); }); });
    gateway.onServerLimits([&](std::vector<deployment::LimitReport> news) { fleet.reportLimits(std::move(news)); });
    fleet.onLimits([&](std::vector<deployment::LimitReport> news)
                   { asio::post(context, [&gateway, news = std::move(news)] { gateway.receiveServerLimits(news); }); });
    fleet.onTunnels(
        [&](adapters::links::TunnelRequest request)
        {
            asio::post(context,
                       [&gateway, request = std::move(request)]() mutable { gateway.serveTunnel(std::move(request)); });
        });
    SnapshotOffers              offers(context, gateway, fleet);
    const gateway::LoopWatchdog watchdog(gateway.progress(), log);
    gateway.setAdditionalMetrics([&] { return controlMetrics(fleet.status(), log.leftOut(), watchdog.counts()); });
    log.write(ports::Level::Info, "started", {{"dataCentre", settings.text("data-centre")}, {"port", gateway.port()}});
    context.run();
    endNow();
}

} // namespace sailpath::programs

// sailpath-entry: takes callers' requests, decides, forwards.

#include "EntryStatus.hpp"

#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>
#include <sailpath/adapters/platform/HttpVmList.hpp>
#include <sailpath/adapters/process/StopSignals.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>
#include <sailpath/adapters/store/EtcdStore.hpp>
#include <sailpath/control/ControlThread.hpp>
#include <sailpath/entry/Proxy.hpp>
#include <sailpath/entry/SteadyClock.hpp>

#include <array>
#include <random>
#include <thread>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;
using adapters::settings::Settings;

constexpr std::array options{
    Option{"name", OptionKind::Name, adapters::settings::required, "name of this VM, unique in the fleet"},
    Option{"data-centre", OptionKind::Name, adapters::settings::required, "data centre where this VM runs"},
    Option{"listen", OptionKind::Endpoint, "0.0.0.0:8080", "where callers connect"},
    Option{"status-listen", OptionKind::Endpoint, "0.0.0.0:8081", "where /health, /status and /metrics are served"},
    Option{"peer-listen", OptionKind::Endpoint, adapters::settings::required,
           "where peers connect; they are told this address"},
    Option{"peer-key-file", OptionKind::SecretFile, adapters::settings::required,
           "file with the key that all peers share"},
    Option{"platform", OptionKind::Endpoint, adapters::settings::required,
           "the platform's key-value service and list of VMs"},
    Option{"workers", OptionKind::Whole, "128", "requests served at once"},
    Option{"connections", OptionKind::Whole, "4096", "callers' connections kept at once"},
    Option{"largest-body", OptionKind::Whole, "1073741824", "largest request body in bytes"},
    Option{"connect-timeout-ms", OptionKind::Milliseconds, "250", "longest time to connect to a backend server"},
    Option{"leave-ms", OptionKind::Milliseconds, "4000", "planned stop: time for the balancer to notice"},
    Option{"finish-ms", OptionKind::Milliseconds, "30000", "planned stop: longest wait for requests in flight"},
    Option{"log-file", OptionKind::Text, "", "event log; standard error when empty"},
    Option{"log-level", OptionKind::Text, "info", "debug, info, warning or error"},
};

constexpr adapters::settings::Program program{"sailpath-entry", "Takes callers' requests, decides, forwards.", "",
                                              options};
constexpr core::Duration              storeTimeout = std::chrono::seconds{2};
constexpr core::Duration              bodyIdle = std::chrono::seconds{30};
constexpr auto                        dispatcherTick = std::chrono::milliseconds{2};
constexpr auto                        noticeGoneEvery = std::chrono::milliseconds{500};
constexpr int                         claimWritesPerSecond = 70; // Of the store's hundred, for the whole fleet
constexpr auto                        pruneEvery = std::chrono::seconds{5};

////////////////////////////////////////////////////////////
/// \brief Calls something again and again on a thread of its own
////////////////////////////////////////////////////////////
class Repeater
{
public:
    Repeater(std::chrono::milliseconds every, std::function<void()> work) :
    m_thread(
        [this, every, work = std::move(work)]
        {
            while (!m_ending)
            {
                std::this_thread::sleep_for(every);
                work();
            }
        })
    {
    }

    ~Repeater()
    {
        m_ending = true;
        m_thread.join();
    }

    Repeater(const Repeater&) = delete;
    Repeater& operator=(const Repeater&) = delete;

private:
    std::atomic<bool> m_ending{false}; //!< The thread is to end
    std::thread       m_thread;        //!< Calls
};

////////////////////////////////////////////////////////////
node::ControllerSettings controllerSettings(const Settings& settings)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();

    node::ControllerSettings control;
    control.self.name = settings.text("name");
    control.self.address = settings.text("peer-listen");
    control.self.dataCentre = settings.text("data-centre");
    // A restarted VM outbids what is remembered of the one before it.
    control.self.incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    control.seed = std::random_device{}();
    return control;
}

////////////////////////////////////////////////////////////
adapters::http::IngressSettings ingressSettings(const Settings& settings)
{
    adapters::http::IngressSettings ingress;
    ingress.listen = settings.endpoint("listen");
    ingress.workers = settings.whole("workers");
    ingress.maxConnections = settings.whole("connections");
    ingress.maxBodyBytes = settings.whole("largest-body");
    return ingress;
}

////////////////////////////////////////////////////////////
/// \brief Notice leaving servers that have closed their connections
////////////////////////////////////////////////////////////
void noticeGone(entry::SharedDispatcher& door, adapters::http::BackendClient& client)
{
    std::vector<std::shared_ptr<const node::Target>> leaving;
    door.with(
        [&leaving](const node::Dispatcher& dispatcher)
        {
            dispatcher.visitServers(entry::steadyNow(),
                                    [&leaving](const auto& target, routing::Availability standing)
                                    {
                                        if (standing == routing::Availability::Draining)
                                            leaving.push_back(target);
                                    });
        });
    for (const auto& target : leaving)
    {
        if (client.allClosed(target->address, target->port))
            door.with([&target](node::Dispatcher& dispatcher) { dispatcher.serverGone(*target, entry::steadyNow()); });
    }
}

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const Settings&                      settings = started.settings;
    const adapters::process::StopSignals signals;
    const std::string&                   name = settings.text("name");
    adapters::logging::Log4cplusEventLog log(name, settings.text("log-file"), settings.text("log-level"));

    node::DispatcherSettings decisions;
    decisions.dataCentre = settings.text("data-centre");
    decisions.maxRequests = settings.whole("workers");
    decisions.seed = std::random_device{}();
    entry::SharedDispatcher        door(decisions);
    adapters::http::BackendClient  client(settings.milliseconds("connect-timeout-ms"), bodyIdle);
    metrics::TrafficMetrics        metrics;
    adapters::store::EtcdStore     store(settings.endpoint("platform"), storeTimeout);
    adapters::store::EtcdStore     watcher(settings.endpoint("platform"), storeTimeout);
    adapters::platform::HttpVmList vms(settings.endpoint("platform"), storeTimeout);

    adapters::peers::PeerSettings peers;
    peers.listen = settings.endpoint("peer-listen");
    peers.key = settings.secret("peer-key-file");
    control::ControlThread control(controllerSettings(settings), peers, {store, watcher, vms, client, door, log});

    adapters::store::EtcdStore claimStore(settings.endpoint("platform"), storeTimeout);
    entry::ClaimBatcher        claims(
               claimStore,
               [&control] { return control.aliveVms() * core::Duration{std::chrono::seconds{1}} / claimWritesPerSecond; });
    entry::Proxy            proxy(name, door, client, claims, metrics, log);
    adapters::http::Ingress ingress(ingressSettings(settings), proxy);
    std::atomic<bool>       leaving{false};
    programs::EntryStatus status(settings.endpoint("status-listen"), {name, control, door, metrics, ingress, leaving});
    const Repeater        ticker(dispatcherTick, [&door] { door.tick(); });
    const Repeater        goneNoticer(noticeGoneEvery, [&] { noticeGone(door, client); });
    const Repeater        pruner(pruneEvery, [&client] { client.prune(); });
    log.write(ports::Level::Info, "started",
              {{"port", ingress.port()}, {"statusPort", status.port()}, {"dataCentre", decisions.dataCentre}});

    while (!signals.wait(std::chrono::seconds{1}))
    {
        if (const std::string failure = control.failure(); !failure.empty())
        {
            log.write(ports::Level::Error, "control-failed", {{"reason", failure}});
            return adapters::settings::ExitFailed;
        }
    }

    log.write(ports::Level::Info, "leaving", {});
    leaving = true;
    control.leave();
    ingress.disableKeepAlive();
    // A second signal cuts the wait for the balancer short, not the requests in flight.
    (void)signals.wait(settings.milliseconds("leave-ms"));
    const bool finished = ingress.drain(settings.milliseconds("finish-ms"));
    log.write(finished ? ports::Level::Info : ports::Level::Error, "stopped", {{"allFinished", finished}});
    return finished ? adapters::settings::ExitOk : adapters::settings::ExitFailed;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}

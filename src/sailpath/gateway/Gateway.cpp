#include "GatewayImpl.hpp"

#include <sailpath/core/Clock.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sailpath::gateway
{
namespace
{
using priv::CallerConnection;
using Socket = asio::ip::tcp::socket;

constexpr auto sweepInterval = std::chrono::milliseconds{500};
constexpr auto stallThreshold = std::chrono::milliseconds{1000}; // Twice the sweep interval
constexpr auto catchUpTime = std::chrono::milliseconds{
    50}; // Time to read what arrived during a stall: the receive buffers of some hundred callers
constexpr auto          acceptRetryDelay = std::chrono::milliseconds{20}; // Time for file descriptors to become free
constexpr std::uint32_t maxHeadBytesUnconfigured = 64U * 1024;            // Until the operators' limit is known
constexpr std::size_t   proofServers = 3; // Asked to show that this node has a path to servers

////////////////////////////////////////////////////////////
asio::ip::tcp::acceptor listenOn(asio::io_context& context, const adapters::settings::Endpoint& listen)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.address), listen.port);
    return {context, endpoint, true};
}

} // namespace

////////////////////////////////////////////////////////////
Gateway::Impl::Impl(asio::io_context& loop, GatewaySettings initialSettings, const Dialect& headerDialect,
                    ports::EventLog& log) :
context(loop),
settings(std::move(initialSettings)),
dialect(headerDialect),
events(log),
balancer(settings.balance, core::now()),
servers(
    loop, settings, headerDialect,
    [this](const deployment::Instance& instance, unsigned idle, unsigned open)
    { balancer.setConnectionCounts(instance, idle, open); },
    [this](const std::shared_ptr<const deployment::Instance>& instance, const balance::ServerNotice& notice,
           balance::NoticeSource source) { recordNotice(instance, notice, source); }),
tunnels(
    loop, settings, servers.paths(), [this](std::string_view id) { return balancer.findInstance(id); },
    [this](const deployment::Instance& except) { servers.provePath(balancer.drawInstances(except, proofServers)); }),
acceptor(listenOn(loop, settings.listen)),
acceptTimer(loop),
dueTimer(loop),
sweepTimer(loop),
bodies(std::make_shared<priv::BodyMemory>(static_cast<std::int64_t>(settings.maxBufferedBytes))),
answerBodies(std::make_shared<priv::BodyMemory>(static_cast<std::int64_t>(settings.maxBufferedAnswerBytes))),
unknownFieldDetector(headerDialect),
readinessServer(loop, settings.readinessListen, {{headerDialect.readinessPath, [this] {
                                                      return priv::StatusAnswer{ready && !isDraining ? 200U : 503U, {}};
                                                  }}})
{
    if (settings.metricsListen)
        metricsServer.emplace(loop, *settings.metricsListen,
                              priv::StatusServer::Pages{{"/metrics",
                                                         [this] {
                                                             return priv::StatusAnswer{200, metrics()};
                                                         }},
                                                        {"/quarantine",
                                                         [this] {
                                                             return priv::StatusAnswer{200, quarantineList()};
                                                         }},
                                                        {"/limits",
                                                         [this] {
                                                             return priv::StatusAnswer{200, limitList()};
                                                         }},
                                                        {"/notices",
                                                         [this] {
                                                             return priv::StatusAnswer{200, noticeList()};
                                                         }},
                                                        {"/paths",
                                                         [this] {
                                                             return priv::StatusAnswer{200, pathList()};
                                                         }},
                                                        {"/quotas", [this] {
                                                             return priv::StatusAnswer{200, quotaList()};
                                                         }}});
    // Until the operators' limits are known, a head has a fixed limit and a body only that of the memory budget.
    callerLimits.headBytes = maxHeadBytesUnconfigured;
    callerLimits.bodyBytes = settings.maxBufferedBytes;
    accept();
    scheduleSweep();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::accept()
{
    acceptor.async_accept(acceptedPeer,
                          [this](const asio::error_code& error, Socket socket)
                          {
                              if (error == asio::error::operation_aborted)
                                  return;
                              if (error)
                                  return retryAccept(error.message());
                              progress.enter("accept");
                              addCaller(std::move(socket));
                              accept();
                          });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::addCaller(asio::ip::tcp::socket socket)
{
    // At the connection limit, the caller that has been idle longest makes room for a new one.
    if (callers.size() >= settings.maxCallers && !closeLongestIdleCaller())
        return;
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto caller =
        std::make_shared<CallerConnection>(std::move(socket), acceptedPeer.address().to_string(), *this, bodies);
    callers.insert(caller);
    caller->start();
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::closeLongestIdleCaller()
{
    std::shared_ptr<CallerConnection> longest;
    for (const auto& caller : callers)
    {
        const auto since = caller->idleSince();
        if (since && (!longest || *since < *longest->idleSince()))
            longest = caller;
    }
    if (!longest)
        return false;
    ++counters.idleCallersClosed;
    longest->closeIfIdle();
    return true;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::retryAccept(const std::string& reason)
{
    // The usual cause is a lack of file descriptors; closing idle connections frees some.
    events.write(ports::Level::Warning, "accept-failed", {{"why", reason}, {"callers", callers.size()}});
    servers.closeIdle();
    closeLongestIdleCaller();
    acceptTimer.expires_after(acceptRetryDelay);
    acceptTimer.async_wait(
        [this](const asio::error_code& error)
        {
            if (!error && acceptor.is_open())
                accept();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::scheduleSweep()
{
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            progress.beat();
            progress.enter("sweep");
            const auto                                           at = core::now();
            const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
            detectStall();
            for (const auto& caller : all)
                caller->checkTimeouts(at);
            servers.closeExpired();
            servers.recheckPaths();
            logPathChanges();
            scheduleSweep();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::detectStall()
{
    const core::Timestamp at = core::now();
    const core::Duration  gap = at - std::exchange(lastRunAt, at);
    if (gap < stallThreshold)
        return;
    events.write(ports::Level::Warning, "stood-still", {{"ms", core::toMilliseconds(gap)}});
    stalledSince = at - gap;
    catchUpUntil = at + catchUpTime;
    // Expired timers come before received bytes; otherwise a request past its deadline would be sent once more.
    updateFleetContact();
    balancer.processDue(at);
    performPendingSteps();
}

////////////////////////////////////////////////////////////
core::Timestamp Gateway::Impl::earliestArrival()
{
    progress.enter("caller-bytes");
    detectStall();
    return lastRunAt < catchUpUntil ? stalledSince : lastRunAt;
}

////////////////////////////////////////////////////////////
std::size_t Gateway::Impl::countSendingCallers() const
{
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->isSending(); }));
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::quarantineList() const
{
    std::string text;
    const auto  at = core::now();
    for (const deployment::Quarantine& item : balancer.crashes().listInForce(at))
    {
        text.append("content=").append(item.content.text());
        text.append(" servers=").append(std::to_string(item.servers));
        text.append(" callers=").append(item.caller ? "one" : "all");
        text.append(" source=").append(item.source);
        text.append(" stored=").append(item.stored ? "1" : "0");
        text.append(" leftS=").append(std::to_string(static_cast<int>(core::toSeconds(item.until - at)))).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::limitList() const
{
    std::string text;
    const auto  at = core::now();
    for (const balance::LimitState& item : balancer.limits(at))
    {
        text.append("instance=").append(item.instance->id);
        text.append(" service=").append(item.instance->service);
        text.append(" perSecond=").append(std::to_string(item.perSecond));
        text.append(" sinceS=").append(std::to_string(core::toSeconds(at - item.limitedSince)));
        text.append(" openness=").append(std::to_string(item.admissionProbability));
        text.append(" sentHere=").append(std::to_string(item.sentHere));
        text.append(" sentByAll=").append(std::to_string(item.sentByAll)).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::noticeList() const
{
    std::string text;
    for (const balance::NoticeInForce& item : balancer.notices(core::now()))
    {
        text.append("instance=").append(item.instance->id);
        text.append(" service=").append(item.instance->service);
        text.append(" leaving=").append(item.leaving ? "1" : "0");
        text.append(" leavingForS=").append(std::to_string(core::toSeconds(item.leavingFor)));
        text.append(" backOffLeftS=").append(std::to_string(core::toSeconds(item.backOffLeft))).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::pathList()
{
    constexpr std::array<std::string_view, 3> names{"direct", "suspect", "lost"};
    std::string                               text;
    for (const paths::FailedPath& item : servers.paths().monitor.list(core::now()))
    {
        const bool unreachable = servers.paths().monitor.isUnreachable(item.instance, core::now());
        text.append("instance=").append(item.instance.id);
        text.append(" service=").append(item.instance.service);
        text.append(" dataCentre=").append(item.instance.dataCentre);
        text.append(" path=").append(names[static_cast<std::size_t>(item.state)]);
        text.append(" byHelpers=").append(unreachable ? "0" : "1");
        text.append(" failedForS=").append(std::to_string(core::toSeconds(item.failedFor))).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::pathMetrics()
{
    const auto  states = servers.paths().monitor.list(core::now());
    const auto  lost = std::count_if(states.begin(), states.end(),
                                     [](const auto& item) { return item.state == paths::PathState::Lost; });
    std::string text;
    const auto  add = [&text](std::string_view name, std::string_view type, std::uint64_t value)
    {
        text.append("# TYPE sailpath_").append(name).append(" ").append(type).append("\nsailpath_").append(name);
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    add("paths_lost", "gauge", static_cast<std::uint64_t>(lost));
    add("attempts_through_helpers_total", "counter", counters.attemptsThroughHelpers);
    add("tunnels", "gauge", servers.tunnels());
    add("tunnels_served", "gauge", tunnels.open());
    add("tunnels_served_total", "counter", tunnels.served());
    add("tunnels_denied_total", "counter", tunnels.denied());
    return text;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::logPathChanges()
{
    for (const paths::PathChange& change : servers.paths().monitor.takeChanges())
    {
        if (change.lost)
            events.write(ports::Level::Warning, "path-lost",
                         {{"group", change.group}, {"servers", change.servers}, {"evidence", change.evidenceFrom}});
        else
            events.write(ports::Level::Info, "path-regained",
                         {{"group", change.group},
                          {"lostForMs", core::toMilliseconds(change.lostFor)},
                          {"evidence", change.evidenceFrom}});
        balancer.forgetPathFailures();
    }
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::quotaList() const
{
    std::string text;
    for (const balance::QuotaState& item : balancer.quotas(core::now()))
    {
        text.append("workspace=").append(item.workspace);
        text.append(" perSecond=").append(std::to_string(item.perSecond));
        text.append(" burst=").append(std::to_string(item.burst));
        text.append(" openness=").append(std::to_string(item.admissionProbability));
        text.append(" sentHere=").append(std::to_string(item.sentHere));
        text.append(" sentByAll=").append(std::to_string(item.sentByAll));
        text.append(" saved=").append(std::to_string(item.saved));
        text.append(" demand=").append(std::to_string(item.demand));
        text.append(" heardShare=").append(std::to_string(item.heardShare));
        text.append(" refusedFresh=").append(std::to_string(item.refusedFresh));
        text.append(" refusedReturning=").append(std::to_string(item.refusedReturning)).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::admissionMetrics() const
{
    using State = balance::admission::AdmissionState;
    constexpr std::array<std::pair<std::string_view, double State::*>, 3> gauges{
        {{"service_load", &State::load},
         {"service_best_load", &State::bestLoad},
         {"service_admitted", &State::admitted}}};
    const auto  states = balancer.admissions(core::now());
    std::string text;
    for (const auto& [name, member] : gauges)
    {
        text.append("# TYPE sailpath_").append(name).append(" gauge\n");
        for (const auto& [service, state] : states)
        {
            text.append("sailpath_").append(name).append("{service=\"").append(service).append("\"} ");
            text.append(std::to_string(state.*member)).append("\n");
        }
    }
    text.append("# TYPE sailpath_no_room_total counter\n");
    for (const auto& [workspace, count] : noRoom)
        text.append("sailpath_no_room_total{workspace=\"")
            .append(workspace)
            .append("\"} ")
            .append(std::to_string(count))
            .append("\n");
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::workMetrics() const
{
    constexpr std::size_t                                                                 maxRoutes = 256;
    constexpr std::array<std::pair<std::string_view, double balance::WorkEvidence::*>, 2> gauges{
        {{"route_work_ms", &balance::WorkEvidence::workMs},
         {"route_answer_age_ms", &balance::WorkEvidence::answerAgeMs}}};
    const auto  works = balancer.works(core::now());
    std::string text;
    for (const auto& [name, member] : gauges)
    {
        text.append("# TYPE sailpath_").append(name).append(" gauge\n");
        std::size_t count = 0;
        for (const auto& [route, work] : works)
        {
            if (++count > maxRoutes)
                break;
            text.append("sailpath_").append(name).append("{route=\"").append(route).append("\"} ");
            text.append(std::to_string(work.*member)).append("\n");
        }
    }
    return text;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::addQuotaMetrics(std::string& text) const
{
    double heardShare = 1;
    double refusedFresh = 0;
    double refusedReturning = 0;
    int    binding = 0;
    for (const balance::QuotaState& item : balancer.quotas(core::now()))
    {
        heardShare = std::min(heardShare, item.heardShare);
        refusedFresh += item.refusedFresh;
        refusedReturning += item.refusedReturning;
        binding += item.admissionProbability < 1 ? 1 : 0;
    }
    const auto add = [&text](std::string_view name, std::string_view type, double value)
    {
        text.append("# TYPE sailpath_").append(name).append(" ").append(type).append("\nsailpath_").append(name);
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    add("quotas_refusing", "gauge", binding);
    add("quota_heard_share", "gauge", heardShare);
    add("quota_refused_fresh_total", "counter", refusedFresh);
    add("quota_refused_returning_total", "counter", refusedReturning);
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::metrics()
{
    std::string text = trafficMetrics.text() + stageTimes.text();
    const auto  add = [&text](std::string_view name, std::string_view type, auto value)
    {
        text.append("# TYPE sailpath_").append(name).append(" ").append(type).append("\nsailpath_").append(name);
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    add("attempts_total", "counter", counters.attempts);
    add("further_attempts_total", "counter", counters.furtherAttempts);
    add("trials_total", "counter", counters.trials);
    add("probes_total", "counter", counters.probes);
    add("connects_refused_total", "counter", counters.connectsRefused);
    add("connects_timed_out_total", "counter", counters.connectsTimedOut);
    add("connects_broken_total", "counter", counters.connectsBroken);
    add("callers_left_total", "counter", counters.callersDisconnected);
    add("refused_unread_total", "counter", counters.refusedBeforeRead);
    add("server_connections_opened_total", "counter", servers.opened());
    add("resting_callers_closed_total", "counter", counters.idleCallersClosed);
    add("refusals_return_at_once_total", "counter", counters.refusedAtOnce);
    add("refusals_return_later_total", "counter", counters.refusedLater);
    add("refusals_return_longest_total", "counter", counters.refusedLongest);
    const balance::RetryState retries = balancer.retryState(core::now());
    add("rejections_with_room_total", "counter", retries.rejectedWithRoom);
    add("retry_budget_left", "gauge", retries.budgetLeft);
    add("quarantined_requests_refused_total", "counter", counters.quarantinedRefused);
    add("quarantines", "gauge", balancer.crashes().listInForce(core::now()).size());
    add("servers_limited", "gauge", balancer.limits(core::now()).size());
    addQuotaMetrics(text);
    const auto notices = balancer.notices(core::now());
    add("servers_leaving", "gauge",
        std::count_if(notices.begin(), notices.end(), [](const auto& item) { return item.leaving; }));
    add("servers_backing_off", "gauge",
        std::count_if(notices.begin(), notices.end(), [](const auto& item) { return item.backOffLeft.count() > 0; }));
    add("attempts_against_notice_total", "counter", counters.attemptsAgainstNotice);
    const balance::HeldCounts& held = balancer.heldRequests().counts();
    add("requests_held_total", "counter", held.held);
    add("requests_held_admitted_total", "counter", held.admitted);
    add("requests_held_expired_total", "counter", held.expired);
    add("requests_held_displaced_total", "counter", held.displaced);
    add("requests_held_callers_left_total", "counter", held.left);
    add("callers", "gauge", callers.size());
    add("requests_unfinished", "gauge", exchanges.size());
    add("answers_in_transit", "gauge", countSendingCallers());
    add("answers_cut_total", "counter", counters.answersCut);
    add("body_bytes_held", "gauge", bodies->used());
    add("answer_bytes_held", "gauge", answerBodies->used());
    add("answer_bytes_unparsed", "gauge", servers.unparsedBytes());
    add("configuration_version", "gauge", version);
    text += admissionMetrics();
    text += workMetrics();
    text += pathMetrics();
    if (additionalMetrics)
        text += additionalMetrics();
    return text;
}

////////////////////////////////////////////////////////////
Gateway::Gateway(asio::io_context& context, GatewaySettings settings, const Dialect& dialect, ports::EventLog& log) :
m_impl(std::make_unique<Impl>(context, std::move(settings), dialect, log))
{
}

////////////////////////////////////////////////////////////
Gateway::~Gateway() = default;

////////////////////////////////////////////////////////////
void Gateway::configure(const deployment::DeclaredState& declared)
{
    m_impl->progress.enter("configuration");
    // Requests held back until the first configuration are decided here.
    if (m_impl->confirmedAtSource)
        m_impl->balancer.setConfigurationConfirmedAt(m_impl->confirmedAtSource());
    m_impl->balancer.configure(declared, core::now());
    m_impl->servers.setEvacuated(declared.evacuated);
    m_impl->servers.closeRestarted(declared.instances);
    m_impl->servers.setPeers(declared.peers);
    m_impl->servers.forget(declared.gone);
    if (declared.deployment)
    {
        std::map<std::string, std::string> healthPaths;
        for (const deployment::ServiceRule& rule : declared.deployment->services)
            healthPaths.emplace(rule.name, rule.healthPath);
        m_impl->servers.setHealthPaths(std::move(healthPaths));
        m_impl->callerLimits = declared.deployment->limits;
        m_impl->version = declared.deployment->version;
    }
    const bool ready = declared.deployment && !declared.instances.empty();
    if (ready && !m_impl->ready)
        m_impl->events.write(ports::Level::Info, "ready",
                             {{"version", declared.deployment->version}, {"instances", declared.instances.size()}});
    m_impl->ready = m_impl->ready || ready;
    m_impl->performPendingSteps();
}

////////////////////////////////////////////////////////////
void Gateway::setConfirmedAtSource(std::function<std::optional<core::Timestamp>()> confirmedAt)
{
    m_impl->confirmedAtSource = std::move(confirmedAt);
}

////////////////////////////////////////////////////////////
void Gateway::setFleetContactSource(std::function<std::optional<core::Timestamp>()> lastContact)
{
    m_impl->fleetContactSource = std::move(lastContact);
}

////////////////////////////////////////////////////////////
void Gateway::onServerFailures(std::function<void(std::vector<std::uint32_t>)> handler)
{
    m_impl->failuresHandler = std::move(handler);
}

////////////////////////////////////////////////////////////
void Gateway::receiveServerFailures(std::span<const deployment::ServerFailure> failures)
{
    m_impl->balancer.receiveFailures(failures, core::now());
    m_impl->logBalancerChanges();
}

////////////////////////////////////////////////////////////
void Gateway::onServerCrashes(std::function<void(deployment::CrashReport)> newsHandler,
                              std::function<void(deployment::Quarantine)>  quarantineHandler)
{
    m_impl->crashesHandler = std::move(newsHandler);
    m_impl->quarantineHandler = std::move(quarantineHandler);
}

////////////////////////////////////////////////////////////
void Gateway::receiveServerCrashes(const deployment::CrashReport& news)
{
    m_impl->balancer.receiveCrashNews(news, core::now());
    m_impl->logBalancerChanges();
}

////////////////////////////////////////////////////////////
void Gateway::onServerLimits(std::function<void(std::vector<deployment::LimitReport>)> handler)
{
    m_impl->limitsHandler = std::move(handler);
}

////////////////////////////////////////////////////////////
void Gateway::receiveServerLimits(std::span<const deployment::LimitReport> news)
{
    m_impl->updateFleetContact();
    m_impl->balancer.receiveLimitNews(news, core::now());
    // The news may call for a report of this node.
    m_impl->performPendingSteps();
}

////////////////////////////////////////////////////////////
void Gateway::serveTunnel(adapters::links::TunnelRequest request)
{
    m_impl->tunnels.serve(std::move(request));
}

////////////////////////////////////////////////////////////
void Gateway::setAdditionalMetrics(std::function<std::string()> generator)
{
    m_impl->additionalMetrics = std::move(generator);
}

////////////////////////////////////////////////////////////
std::uint16_t Gateway::metricsPort() const
{
    return m_impl->metricsServer ? m_impl->metricsServer->port() : std::uint16_t{0};
}

////////////////////////////////////////////////////////////
void Gateway::startDraining(core::Timestamp endsAt)
{
    m_impl->isDraining = true;
    m_impl->balancer.beginStop(endsAt);
    m_impl->tunnels.stop();
}

////////////////////////////////////////////////////////////
core::Timestamp Gateway::earliestArrival()
{
    return m_impl->earliestArrival();
}

////////////////////////////////////////////////////////////
void Gateway::closeIdle()
{
    m_impl->isClosing = true;
    m_impl->tunnels.refuseFurther();
    asio::error_code ignored;
    m_impl->acceptor.close(ignored);
    const std::vector<std::shared_ptr<CallerConnection>> all(m_impl->callers.begin(), m_impl->callers.end());
    for (const auto& caller : all)
        caller->closeIfIdle();
}

////////////////////////////////////////////////////////////
snapshot::LearnedState Gateway::learned() const
{
    return m_impl->balancer.learned(core::now());
}

////////////////////////////////////////////////////////////
std::size_t Gateway::unfinishedRequests() const
{
    return m_impl->exchanges.size() + m_impl->tunnels.busy();
}

////////////////////////////////////////////////////////////
OpenWork Gateway::openWork() const
{
    return {m_impl->exchanges.size(), m_impl->countSendingCallers(), m_impl->tunnels.busy(), m_impl->callers.size()};
}

////////////////////////////////////////////////////////////
const LoopProgress& Gateway::progress() const
{
    return m_impl->progress;
}

////////////////////////////////////////////////////////////
const Counters& Gateway::counters() const
{
    return m_impl->counters;
}

////////////////////////////////////////////////////////////
std::uint16_t Gateway::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

////////////////////////////////////////////////////////////
std::uint16_t Gateway::readinessPort() const
{
    return m_impl->readinessServer.port();
}

} // namespace sailpath::gateway

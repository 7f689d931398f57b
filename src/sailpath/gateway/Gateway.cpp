#include "GatewayImpl.hpp"

#include <sailpath/core/Clock.hpp>

#include <algorithm>

namespace sailpath::gateway
{
namespace
{
using priv::CallerConnection;
using Socket = asio::ip::tcp::socket;

constexpr auto sweepEvery = std::chrono::milliseconds{500};
constexpr auto stoodStill = std::chrono::milliseconds{1000}; // Twice the time between sweeps
constexpr auto catchUp =
    std::chrono::milliseconds{50}; // For what had come to be read; the buffers of some hundred callers
constexpr auto          acceptPause = std::chrono::milliseconds{20}; // After a failure, for descriptors to come free
constexpr std::uint32_t mostEarlyHead = 64U * 1024;                  // Before the operator's limit is known

////////////////////////////////////////////////////////////
asio::ip::tcp::acceptor listenOn(asio::io_context& context, const adapters::settings::Endpoint& where)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(where.address), where.port);
    return {context, endpoint, true};
}

} // namespace

////////////////////////////////////////////////////////////
Gateway::Impl::Impl(asio::io_context& loop, GatewaySettings given, const Dialect& names, ports::EventLog& log) :
context(loop),
settings(std::move(given)),
dialect(names),
events(log),
balancer(settings.balance, core::now()),
servers(
    loop, settings, names,
    [this](const deployment::Instance& instance, unsigned idle, unsigned open)
    { balancer.connections(instance, idle, open); },
    [this](const std::shared_ptr<const deployment::Instance>& instance, const balance::ServerNotice& notice,
           balance::NoticeSource source) { noticed(instance, notice, source); }),
acceptor(listenOn(loop, settings.listen)),
acceptTimer(loop),
dueTimer(loop),
sweepTimer(loop),
bodies(std::make_shared<priv::BodyMemory>(static_cast<std::int64_t>(settings.bufferedBytes))),
fieldWatch(names),
readiness(loop, settings.readinessListen, {{names.readinessPath, [this] {
                                                return priv::StatusAnswer{ready && !isLeaving ? 200U : 503U, {}};
                                            }}})
{
    if (settings.metricsListen)
        metricsPage.emplace(loop, *settings.metricsListen,
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
                                                      {"/quotas", [this] {
                                                           return priv::StatusAnswer{200, quotaList()};
                                                       }}});
    // Until the operator's limits are known, only memory bounds what a caller sends.
    callerLimits.headBytes = mostEarlyHead;
    callerLimits.bodyBytes = settings.bufferedBytes;
    accept();
    scheduleSweep();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::accept()
{
    acceptor.async_accept(peer,
                          [this](const asio::error_code& error, Socket socket)
                          {
                              if (error == asio::error::operation_aborted)
                                  return;
                              if (error)
                                  return acceptAgain(error.message());
                              admitCaller(std::move(socket));
                              accept();
                          });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::admitCaller(asio::ip::tcp::socket socket)
{
    // A new caller has more need of a place than one that rests.
    if (callers.size() >= settings.callers && !closeLongestResting())
        return;
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto caller = std::make_shared<CallerConnection>(std::move(socket), peer.address().to_string(), *this, bodies);
    callers.insert(caller);
    caller->start();
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::closeLongestResting()
{
    std::shared_ptr<CallerConnection> longest;
    for (const auto& caller : callers)
    {
        const auto since = caller->restingSince();
        if (since && (!longest || *since < *longest->restingSince()))
            longest = caller;
    }
    if (!longest)
        return false;
    ++counters.restingClosed;
    longest->closeIfIdle();
    return true;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::acceptAgain(const std::string& why)
{
    // Mostly descriptors have run out: connections at rest give theirs back.
    events.write(ports::Level::Warning, "accept-failed", {{"why", why}, {"callers", callers.size()}});
    servers.closeIdle();
    closeLongestResting();
    acceptTimer.expires_after(acceptPause);
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
    sweepTimer.expires_after(sweepEvery);
    sweepTimer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            const auto                                           at = core::now();
            const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
            noteRun();
            for (const auto& caller : all)
                caller->sweep(at);
            servers.sweep();
            scheduleSweep();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::noteRun()
{
    const core::Timestamp at = core::now();
    const core::Duration  gap = at - std::exchange(ranAt, at);
    if (gap < stoodStill)
        return;
    events.write(ports::Level::Warning, "stood-still", {{"ms", core::toMilliseconds(gap)}});
    stoodSince = at - gap;
    caughtUpAt = at + catchUp;
    // What has fallen due meanwhile goes before what has arrived: else a request whose time is up is sent once more.
    balancer.due(at);
    carryOut();
}

////////////////////////////////////////////////////////////
core::Timestamp Gateway::Impl::earliestArrival()
{
    noteRun();
    return ranAt < caughtUpAt ? stoodSince : ranAt;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::quarantineList() const
{
    std::string text;
    const auto  at = core::now();
    for (const deployment::Quarantine& item : balancer.crashes().list(at))
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
        text.append(" sinceS=").append(std::to_string(core::toSeconds(at - item.since)));
        text.append(" openness=").append(std::to_string(item.openness));
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
std::string Gateway::Impl::quotaList() const
{
    std::string text;
    for (const balance::QuotaState& item : balancer.quotas(core::now()))
    {
        text.append("workspace=").append(item.workspace);
        text.append(" perSecond=").append(std::to_string(item.perSecond));
        text.append(" burst=").append(std::to_string(item.burst));
        text.append(" openness=").append(std::to_string(item.openness));
        text.append(" sentHere=").append(std::to_string(item.sentHere));
        text.append(" sentByAll=").append(std::to_string(item.sentByAll)).append("\n");
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::metrics() const
{
    std::string text = latencies.text() + stages.text();
    const auto  add = [&text](std::string_view name, std::string_view type, auto value)
    {
        text.append("# TYPE sailpath_").append(name).append(" ").append(type).append("\nsailpath_").append(name);
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    add("attempts_total", "counter", counters.attempts);
    add("further_attempts_total", "counter", counters.secondSends);
    add("probes_total", "counter", counters.probes);
    add("callers_left_total", "counter", counters.callersLeft);
    add("refused_unread_total", "counter", counters.refusedUnread);
    add("server_connections_opened_total", "counter", servers.opened());
    add("resting_callers_closed_total", "counter", counters.restingClosed);
    add("quarantined_requests_refused_total", "counter", counters.quarantined);
    add("quarantines", "gauge", balancer.crashes().list(core::now()).size());
    add("servers_limited", "gauge", balancer.limits(core::now()).size());
    const auto notices = balancer.notices(core::now());
    add("servers_leaving", "gauge",
        std::count_if(notices.begin(), notices.end(), [](const auto& item) { return item.leaving; }));
    add("servers_backing_off", "gauge",
        std::count_if(notices.begin(), notices.end(), [](const auto& item) { return item.backOffLeft.count() > 0; }));
    add("attempts_against_notice_total", "counter", counters.againstNotice);
    add("callers", "gauge", callers.size());
    add("requests_unfinished", "gauge", exchanges.size());
    add("body_bytes_held", "gauge", bodies->used());
    add("configuration_version", "gauge", version);
    if (furtherMetrics)
        text += furtherMetrics();
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
    // Requests that were held for the first configuration are decided about with it.
    if (m_impl->provedAt)
        m_impl->balancer.proved(m_impl->provedAt());
    m_impl->balancer.configure(declared, core::now());
    m_impl->servers.setEvacuated(declared.evacuated);
    m_impl->servers.closeEarlierLives(declared.instances);
    if (declared.deployment)
    {
        m_impl->callerLimits = declared.deployment->limits;
        m_impl->version = declared.deployment->version;
    }
    const bool ready = declared.deployment && !declared.instances.empty();
    if (ready && !m_impl->ready)
        m_impl->events.write(ports::Level::Info, "ready",
                             {{"version", declared.deployment->version}, {"instances", declared.instances.size()}});
    m_impl->ready = m_impl->ready || ready;
    m_impl->carryOut();
}

////////////////////////////////////////////////////////////
void Gateway::watchProof(std::function<std::optional<core::Timestamp>()> provedAt)
{
    m_impl->provedAt = std::move(provedAt);
}

////////////////////////////////////////////////////////////
void Gateway::watchContact(std::function<std::optional<core::Timestamp>()> heardFleet)
{
    m_impl->heardFleet = std::move(heardFleet);
}

////////////////////////////////////////////////////////////
void Gateway::watchFailures(std::function<void(std::vector<std::uint32_t>)> failed)
{
    m_impl->failed = std::move(failed);
}

////////////////////////////////////////////////////////////
void Gateway::hearFailures(std::span<const deployment::ServerFailure> failures)
{
    m_impl->balancer.heardFailures(failures, core::now());
    m_impl->logBeliefs();
}

////////////////////////////////////////////////////////////
void Gateway::watchCrashes(std::function<void(deployment::CrashReport)> news,
                           std::function<void(deployment::Quarantine)>  quarantined)
{
    m_impl->crashed = std::move(news);
    m_impl->quarantined = std::move(quarantined);
}

////////////////////////////////////////////////////////////
void Gateway::hearCrashes(const deployment::CrashReport& news)
{
    m_impl->balancer.heardCrashes(news, core::now());
    m_impl->logBeliefs();
}

////////////////////////////////////////////////////////////
void Gateway::watchLimits(std::function<void(std::vector<deployment::LimitReport>)> news)
{
    m_impl->limited = std::move(news);
}

////////////////////////////////////////////////////////////
void Gateway::hearLimits(std::span<const deployment::LimitReport> news)
{
    m_impl->balancer.heardLimits(news, core::now());
    m_impl->logBeliefs();
}

////////////////////////////////////////////////////////////
void Gateway::addMetrics(std::function<std::string()> further)
{
    m_impl->furtherMetrics = std::move(further);
}

////////////////////////////////////////////////////////////
std::uint16_t Gateway::metricsPort() const
{
    return m_impl->metricsPage ? m_impl->metricsPage->port() : std::uint16_t{0};
}

////////////////////////////////////////////////////////////
void Gateway::leave()
{
    m_impl->isLeaving = true;
}

////////////////////////////////////////////////////////////
void Gateway::closeIdle()
{
    asio::error_code ignored;
    m_impl->acceptor.close(ignored);
    const std::vector<std::shared_ptr<CallerConnection>> all(m_impl->callers.begin(), m_impl->callers.end());
    for (const auto& caller : all)
        caller->closeIfIdle();
}

////////////////////////////////////////////////////////////
std::size_t Gateway::unfinished() const
{
    return m_impl->exchanges.size();
}

////////////////////////////////////////////////////////////
std::size_t Gateway::callers() const
{
    return m_impl->callers.size();
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
    return m_impl->readiness.port();
}

} // namespace sailpath::gateway

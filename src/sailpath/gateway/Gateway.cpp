#include <sailpath/gateway/Gateway.hpp>

#include "BodyMemory.hpp"
#include "CallerConnection.hpp"
#include "Exchange.hpp"
#include "ServerConnections.hpp"
#include "StatusServer.hpp"

#include <sailpath/metrics/TrafficMetrics.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <charconv>
#include <set>
#include <unordered_map>

namespace sailpath::gateway
{
namespace
{
using priv::CallerConnection;
using priv::Exchange;
using priv::OwnAnswer;
using Socket = asio::ip::tcp::socket;

constexpr auto          sweepEvery = std::chrono::milliseconds{500};
constexpr std::uint64_t longestDeadlineMs = 3'600'000;
constexpr std::uint32_t mostEarlyHead = 64U * 1024; // Before the operator's limit is known

////////////////////////////////////////////////////////////
std::optional<core::Duration> timeLeft(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return std::chrono::milliseconds{std::min(value, longestDeadlineMs)};
}

////////////////////////////////////////////////////////////
unsigned statusOf(const balance::Refusal& refusal)
{
    switch (refusal.reason)
    {
    case balance::RefusalReason::NoRoute:
        return 404;
    case balance::RefusalReason::Unknown:
        return 502;
    case balance::RefusalReason::TimedOut:
        return refusal.mayHaveRun ? 504 : 503;
    default:
        return 503;
    }
}

////////////////////////////////////////////////////////////
asio::ip::tcp::acceptor listenOn(asio::io_context& context, const adapters::settings::Endpoint& where)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(where.address), where.port);
    return {context, endpoint, true};
}

} // namespace

////////////////////////////////////////////////////////////
struct Gateway::Impl : public priv::CallerEvents
{
    Impl(asio::io_context& loop, GatewaySettings given, const Dialect& names, ports::EventLog& events);

    void                      accept();
    void                      scheduleSweep();
    void                      arm();
    void                      carryOut();
    void                      perform(const balance::Step& step);
    void                      forward(const balance::Step& step);
    void                      probe(const balance::Step& step);
    void                      attemptEnded(balance::Ticket ticket, unsigned attempt, const balance::Outcome& outcome,
                                           priv::ServerAnswer answer);
    void                      finish(balance::Ticket ticket, const balance::Step& step);
    void                      log(const Exchange& exchange, unsigned status, std::string_view reason);
    [[nodiscard]] std::string metrics() const;

    void                      requestRead(CallerConnection& caller, const http::Head& head, std::string body) override;
    void                      callerLeft(CallerConnection& caller) override;
    void                      callerGone(CallerConnection& caller) override;
    void                      refusedUnread(const http::Head* head, unsigned status, std::string_view reason) override;
    [[nodiscard]] std::string workspaceOf(const http::Head& head) const override;
    [[nodiscard]] const deployment::CallerLimits& limits() const override;
    [[nodiscard]] bool                            configured() const override;
    [[nodiscard]] bool                            leaving() const override;

    asio::io_context&                               context;
    GatewaySettings                                 settings;
    const Dialect&                                  dialect;
    ports::EventLog&                                events;
    balance::Balancer                               balancer;
    priv::ServerConnections                         servers;
    asio::ip::tcp::acceptor                         acceptor;
    asio::steady_timer                              dueTimer;
    asio::steady_timer                              sweepTimer;
    std::optional<core::Timestamp>                  armed;
    std::set<std::shared_ptr<CallerConnection>>     callers;
    std::unordered_map<balance::Ticket, Exchange>   exchanges;
    deployment::CallerLimits                        callerLimits;
    Counters                                        counters;
    balance::Ticket                                 nextTicket{1};
    priv::BodyMemory                                bodies;
    std::uint64_t                                   version{0};
    bool                                            ready{false};
    bool                                            isLeaving{false};
    bool                                            carrying{false};
    metrics::TrafficMetrics                         latencies;
    std::function<std::string()>                    furtherMetrics;
    std::function<std::optional<core::Timestamp>()> provedAt;
    priv::StatusServer                              readiness;
    std::optional<priv::StatusServer>               metricsPage;
};

////////////////////////////////////////////////////////////
Gateway::Impl::Impl(asio::io_context& loop, GatewaySettings given, const Dialect& names, ports::EventLog& log) :
context(loop),
settings(std::move(given)),
dialect(names),
events(log),
balancer(settings.balance, priv::now()),
servers(loop, settings, names,
        [this](const deployment::Instance& instance, unsigned idle, unsigned open)
        { balancer.connections(instance, idle, open); }),
acceptor(listenOn(loop, settings.listen)),
dueTimer(loop),
sweepTimer(loop),
bodies(static_cast<std::int64_t>(settings.bufferedBytes)),
readiness(loop, settings.readinessListen, {{names.readinessPath, [this] {
                                                return priv::StatusAnswer{ready && !isLeaving ? 200U : 503U, {}};
                                            }}})
{
    if (settings.metricsListen)
        metricsPage.emplace(loop, *settings.metricsListen,
                            priv::StatusServer::Pages{{"/metrics", [this] {
                                                           return priv::StatusAnswer{200, metrics()};
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
    acceptor.async_accept(
        [this](const asio::error_code& error, Socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error && callers.size() < settings.callers)
            {
                asio::error_code ignored;
                socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                auto caller = std::make_shared<CallerConnection>(std::move(socket), *this, bodies);
                callers.insert(caller);
                caller->start();
            }
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
            const auto                                           at = priv::now();
            const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
            for (const auto& caller : all)
                caller->sweep(at);
            servers.sweep();
            scheduleSweep();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::requestRead(CallerConnection& caller, const http::Head& head, std::string body)
{
    const balance::Ticket ticket = nextTicket++;
    caller.setTicket(ticket);
    ++counters.requests;
    Exchange& exchange = exchanges[ticket];
    exchange.caller = caller.shared_from_this();
    exchange.since = caller.since();
    exchange.take(head, std::move(body), dialect);

    balance::Arrival arrival;
    arrival.host = head.field("Host");
    arrival.target = http::pathOf(head.target);
    arrival.since = caller.since();
    arrival.timeLeft = timeLeft(head.field(dialect.deadlineMs));
    if (balancer.hasRoute(arrival.host, arrival.target))
        exchange.host = arrival.host;
    else if (provedAt)
        balancer.proved(provedAt());
    balancer.admit(ticket, arrival, priv::now());
    carryOut();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::callerLeft(CallerConnection& caller)
{
    ++counters.callersLeft;
    const balance::Ticket ticket = caller.ticket();
    balancer.callerLeft(ticket, priv::now());
    carryOut();
    const auto found = exchanges.find(ticket);
    if (found != exchanges.end() && found->second.sends.empty())
        exchanges.erase(found);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::refusedUnread(const http::Head* head, unsigned status, std::string_view reason)
{
    ++counters.refusedUnread;
    events.write(ports::Level::Info, "request-refused",
                 {{"request", head != nullptr ? head->field(dialect.requestId) : std::string_view()},
                  {"status", status},
                  {"reason", reason},
                  {"version", version},
                  {"headLimit", callerLimits.headBytes},
                  {"bodyLimit", callerLimits.bodyBytes}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::callerGone(CallerConnection& caller)
{
    callers.erase(caller.shared_from_this());
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::workspaceOf(const http::Head& head) const
{
    // Hosts that nobody declared share what one workspace gets.
    const std::string_view host = head.field("Host");
    return balancer.hasRoute(host, http::pathOf(head.target)) ? std::string(host) : std::string();
}

////////////////////////////////////////////////////////////
const deployment::CallerLimits& Gateway::Impl::limits() const
{
    return callerLimits;
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::configured() const
{
    return balancer.configured();
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::leaving() const
{
    return isLeaving;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::carryOut()
{
    // Carrying a step out can bring the next ones about; they are taken by the outermost call.
    if (carrying)
        return;
    carrying = true;
    std::vector<balance::Step> steps;
    for (balancer.takeSteps(steps); !steps.empty(); balancer.takeSteps(steps))
    {
        for (const balance::Step& step : steps)
            perform(step);
    }
    carrying = false;
    arm();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::arm()
{
    const auto next = balancer.nextDue();
    if (!next || (armed && *armed <= *next && *armed > priv::now()))
        return;
    armed = next;
    dueTimer.expires_at(std::chrono::steady_clock::time_point(next->time_since_epoch()));
    dueTimer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            armed.reset();
            balancer.due(priv::now());
            carryOut();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::perform(const balance::Step& step)
{
    switch (step.kind)
    {
    case balance::StepKind::Forward:
        return forward(step);
    case balance::StepKind::Abandon:
    {
        const auto found = exchanges.find(step.ticket);
        if (found == exchanges.end())
            return;
        const auto connection = found->second.releaseSend(step.attempt);
        // What may not be repeated is left to end: its server stops by itself at the deadline.
        if (connection && step.repeatable)
            connection->abandon();
        return;
    }
    case balance::StepKind::Answer:
    case balance::StepKind::Refuse:
        return finish(step.ticket, step);
    case balance::StepKind::Probe:
        return probe(step);
    }
}

////////////////////////////////////////////////////////////
void Gateway::Impl::forward(const balance::Step& step)
{
    const auto found = exchanges.find(step.ticket);
    if (found == exchanges.end())
        return;
    Exchange& exchange = found->second;
    ++counters.attempts;
    counters.secondSends += step.attempt > 1 ? 1 : 0;
    exchange.note(step, priv::now());
    const auto connection = servers.take(step.instance, !step.repeatable);
    exchange.sends[step.attempt] = connection;
    const auto ticket = step.ticket;
    const auto attempt = step.attempt;
    connection->send(exchange.request(*step.instance, step.deadline - priv::now(), dialect),
                     [this, ticket, attempt](const balance::Outcome& outcome, priv::ServerAnswer answer)
                     { attemptEnded(ticket, attempt, outcome, std::move(answer)); });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::probe(const balance::Step& step)
{
    ++counters.probes;
    if (const auto found = exchanges.find(step.ticket); found != exchanges.end())
        ++found->second.probes;
    priv::Send send;
    send.probe = true;
    send.bytes.append("GET ").append(step.path).append(" HTTP/1.1\r\nHost: ").append(step.instance->address);
    send.bytes.append("\r\n\r\n");
    const auto ticket = step.ticket;
    const auto number = step.attempt;
    servers.take(step.instance, false)
        ->send(std::move(send),
               [this, ticket, number](const balance::Outcome& outcome, const priv::ServerAnswer&)
               {
                   balancer.probed(ticket, number, outcome, priv::now());
                   carryOut();
               });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::attemptEnded(balance::Ticket ticket, unsigned attempt, const balance::Outcome& outcome,
                                 priv::ServerAnswer answer)
{
    const auto found = exchanges.find(ticket);
    if (found != exchanges.end())
    {
        found->second.sends.erase(attempt);
        found->second.ended(attempt, outcome, priv::now());
        found->second.answers[attempt] = std::move(answer);
    }
    balancer.attemptEnded(ticket, attempt, outcome, priv::now());
    carryOut();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::finish(balance::Ticket ticket, const balance::Step& step)
{
    const auto found = exchanges.find(ticket);
    if (found == exchanges.end())
        return;
    Exchange exchange = std::move(found->second);
    exchanges.erase(found);
    const auto caller = exchange.caller.lock();
    if (step.kind == balance::StepKind::Answer)
    {
        const priv::ServerAnswer& answer = exchange.answers[step.attempt];
        ++counters.answered;
        log(exchange, answer.head.status, "answered");
        if (caller && caller->ticket() == ticket)
            caller->answer(answer.head, answer.body);
        return;
    }
    OwnAnswer own;
    own.status = statusOf(step.refusal);
    own.reason = balance::toString(step.refusal.reason);
    own.comeBack = step.refusal.comeBack;
    ++(step.refusal.mayHaveRun ? counters.failed : counters.refused);
    if (step.refusal.expectedMs > 0)
        exchange.noteEstimate(step.refusal);
    log(exchange, own.status, own.reason);
    if (caller && caller->ticket() == ticket)
        caller->answer(own);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::log(const Exchange& exchange, unsigned status, std::string_view reason)
{
    const bool usual = status < 400 && exchange.attempts == 1;
    const auto took = priv::now() - exchange.since;
    latencies.record(exchange.host, usual ? "answered" : reason, took);
    events.write(ports::Level::Info, usual ? "request-answered" : "request-ended",
                 {{"request", exchange.id},
                  {"status", status},
                  {"reason", reason},
                  {"ms", core::toMilliseconds(took)},
                  {"version", version},
                  {"attempts", exchange.attempts},
                  {"probes", exchange.probes},
                  {"sends", exchange.trail}});
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::metrics() const
{
    std::string text = latencies.text();
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
    add("callers", "gauge", callers.size());
    add("requests_unfinished", "gauge", exchanges.size());
    add("body_bytes_held", "gauge", bodies.used());
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
void Gateway::configure(const deployment::Declared& declared)
{
    // Requests that were held for the first configuration are decided about with it.
    if (m_impl->provedAt)
        m_impl->balancer.proved(m_impl->provedAt());
    m_impl->balancer.configure(declared, priv::now());
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

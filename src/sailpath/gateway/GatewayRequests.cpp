// Request processing of the gateway: arrival, balancing steps, attempts, answer and log line.

#include "GatewayImpl.hpp"

#include <sailpath/core/Clock.hpp>

#include <algorithm>
#include <charconv>

namespace sailpath::gateway
{
namespace
{
using priv::CallerConnection;
using priv::Exchange;
using priv::LocalAnswer;

constexpr std::uint64_t maxTimeLeftMs = 3'600'000;

////////////////////////////////////////////////////////////
/// \brief Parse the number of milliseconds that a caller waits, at most one hour; null when malformed
////////////////////////////////////////////////////////////
std::optional<core::Duration> parseTimeLeft(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return std::chrono::milliseconds{std::min(value, maxTimeLeftMs)};
}

////////////////////////////////////////////////////////////
/// \brief Get the HTTP status that answers a refusal
////////////////////////////////////////////////////////////
unsigned statusOf(const balance::Refusal& refusal)
{
    switch (refusal.reason)
    {
    case balance::RefusalReason::NoRoute:
        return 404;
    case balance::RefusalReason::UnknownKey:
        return 401;
    case balance::RefusalReason::OverQuota:
        return 429;
    case balance::RefusalReason::Unknown:
        return 502;
    case balance::RefusalReason::TimedOut:
        return refusal.mayHaveRun ? 504 : 503;
    default:
        return 503;
    }
}

} // namespace

////////////////////////////////////////////////////////////
balance::Ticket Gateway::Impl::newTicket()
{
    return nextTicket++;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::requestRead(CallerConnection& caller, balance::Ticket ticket, priv::CallerRequest request)
{
    detectStall();
    ++counters.requests;
    balance::Arrival  arrival;
    const std::string host(request.head.field("Host"));
    const std::string target(http::pathOf(request.head.target));
    arrival.host = host;
    arrival.target = target;
    arrival.firstByteAt = request.firstByteAt;
    arrival.timeLeft = parseTimeLeft(request.head.field(dialect.deadlineMs));
    const std::string key(keyOf(request.head));
    arrival.key = key;
    arrival.firstOnConnection = request.firstOnConnection;
    updateFleetContact();

    Exchange& exchange = exchanges[ticket];
    exchange.caller = caller.shared_from_this();
    exchange.callerAddress = caller.address();
    exchange.assign(std::move(request), dialect);
    const deployment::HostRoute* route = balancer.findRoute(host, target);
    const deployment::Workspace* workspace = balancer.findWorkspace(key);
    if (route != nullptr)
    {
        exchange.host = host;
        exchange.route = route->name;
    }
    if (workspace != nullptr)
        exchange.workspace = workspace->name;
    if ((route == nullptr || workspace == nullptr) && confirmedAtSource)
        balancer.setConfigurationConfirmedAt(confirmedAtSource());
    if (balancer.needsRequestIdentity())
        arrival.identity = exchange.identity();
    balancer.admit(ticket, arrival, core::now());
    performPendingSteps();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::answerStarted(balance::Ticket ticket)
{
    const auto found = exchanges.find(ticket);
    if (found == exchanges.end())
        return;
    log(found->second);
    exchanges.erase(found);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::callerLeft(balance::Ticket ticket)
{
    ++counters.callersDisconnected;
    balancer.callerLeft(ticket, core::now());
    performPendingSteps();
    const auto found = exchanges.find(ticket);
    if (found == exchanges.end() || !found->second.activeAttempts.empty())
        return;
    if (!found->second.ending)
        found->second.setEnding(0, "caller-left", core::now());
    answerStarted(ticket);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::refusedUnread(const http::Head* head, unsigned status, std::string_view reason)
{
    ++counters.refusedBeforeRead;
    events.write(ports::Level::Info, "request-refused",
                 {{"request", head != nullptr ? head->field(dialect.requestId) : std::string_view()},
                  {"status", status},
                  {"reason", reason},
                  {"version", version},
                  {"headLimit", callerLimits.headBytes},
                  {"bodyLimit", callerLimits.bodyBytes}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::answerCut(const CallerConnection& caller, std::size_t bytes, std::string_view reason)
{
    ++counters.answersCut;
    events.write(
        ports::Level::Info, "answer-cut",
        {{"caller", caller.address()}, {"bytes", bytes}, {"reason", reason}, {"stopping", isDraining ? 1 : 0}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::connectionClosed(CallerConnection& caller)
{
    callers.erase(caller.shared_from_this());
}

////////////////////////////////////////////////////////////
std::string_view Gateway::Impl::keyOf(const http::Head& head) const
{
    // With several keys the choice between them would be arbitrary, so none counts.
    const auto isKey = [this](const http::HeaderField& field) { return http::sameName(field.name, dialect.key); };
    return std::count_if(head.fields.begin(), head.fields.end(), isKey) == 1 ? head.field(dialect.key)
                                                                             : std::string_view();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::updateFleetContact()
{
    if (!fleetContactSource || !balancer.hasQuotas())
        return;
    if (const auto at = fleetContactSource())
        balancer.recordFleetContact(*at);
}

////////////////////////////////////////////////////////////
std::string Gateway::Impl::workspaceOf(const http::Head& head) const
{
    if (const deployment::Workspace* workspace = balancer.findWorkspace(keyOf(head)))
        return workspace->name;
    // A request without a known key counts for its host; all hosts without a route count as one workspace.
    const std::string_view host = head.field("Host");
    return balancer.findRoute(host, http::pathOf(head.target)) != nullptr ? std::string(host) : std::string();
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::isRepeatable(const http::Head& head) const
{
    const deployment::HostRoute* route = balancer.findRoute(head.field("Host"), http::pathOf(head.target));
    return route != nullptr && route->repeatable;
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::mayStillAnswer(const http::Head& head, core::Timestamp firstByteAt) const
{
    const deployment::HostRoute* route = balancer.findRoute(head.field("Host"), http::pathOf(head.target));
    if (route == nullptr)
        return true;
    const auto longest =
        std::min(route->timeout, parseTimeLeft(head.field(dialect.deadlineMs)).value_or(route->timeout));
    return balancer.mayAnswerBeforeStop(*route, firstByteAt + longest, core::now());
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
bool Gateway::Impl::closesConnections() const
{
    return isDraining;
}

////////////////////////////////////////////////////////////
bool Gateway::Impl::takesFurtherRequests() const
{
    return !isClosing;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::performPendingSteps()
{
    // Performing a step can produce further steps, which the outermost call processes.
    if (performingSteps)
        return;
    performingSteps = true;
    std::vector<balance::Step> steps;
    for (balancer.takeSteps(steps); !steps.empty(); balancer.takeSteps(steps))
    {
        for (const balance::Step& step : steps)
            performStep(step);
    }
    performingSteps = false;
    if (auto failures = balancer.takeFailures(); !failures.empty() && failuresHandler)
        failuresHandler(std::move(failures));
    if (auto news = balancer.takeCrashNews(); !news.empty() && crashesHandler)
        crashesHandler(std::move(news));
    if (auto news = balancer.takeLimitNews(); !news.empty() && limitsHandler)
        limitsHandler(std::move(news));
    logBalancerChanges();
    logPathChanges();
    armDueTimer();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::logBalancerChanges()
{
    for (deployment::Quarantine& quarantine : balancer.takeNewQuarantines())
    {
        const bool withdrawn = quarantine.until <= core::now();
        events.write(ports::Level::Warning, withdrawn ? "quarantine-taken-back" : "request-quarantined",
                     {{"content", quarantine.content.text()},
                      {"servers", quarantine.servers},
                      {"callers", quarantine.caller ? "one" : "all"},
                      {"source", quarantine.source},
                      {"untilMs", core::toMilliseconds(quarantine.until - core::now())}});
        if (quarantineHandler)
            quarantineHandler(std::move(quarantine));
    }
    for (const auto& instance : balancer.takeSuspects())
        events.write(ports::Level::Info, "server-suspected",
                     {{"instance", instance->id}, {"service", instance->service}});
    for (const balance::WarmUpChange& news : balancer.takeWarmUpChanges())
        events.write(ports::Level::Info, news.coldFor.count() > 0 ? "server-cold" : "server-warm",
                     {{"instance", news.instance->id},
                      {"service", news.instance->service},
                      {"source", "health-answer"},
                      {"leftMs", core::toMilliseconds(news.coldFor)}});
    for (const balance::LimitChange& change : balancer.takeLimitChanges())
        logLimit(change);
    for (const balance::NoticeChange& change : balancer.takeNoticeChanges())
        logNotice(change);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::logLimit(const balance::LimitChange& change)
{
    const deployment::Instance& instance = *change.instance;
    const std::string           source = change.node == 0 ? "here" : "node-" + std::to_string(change.node);
    if (change.perSecond == balance::unlimited)
        return events.write(ports::Level::Info, "server-unlimited",
                            {{"instance", instance.id}, {"service", instance.service}, {"source", source}});
    events.write(ports::Level::Info, "server-limited",
                 {{"instance", instance.id},
                  {"service", instance.service},
                  {"perSecond", change.perSecond},
                  {"source", source}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::logNotice(const balance::NoticeChange& change)
{
    const deployment::Instance& instance = *change.instance;
    const std::string_view      source = balance::toString(change.source);
    if (change.notice.leaving)
        events.write(ports::Level::Info, "server-leaving",
                     {{"instance", instance.id},
                      {"service", instance.service},
                      {"source", source},
                      {"listed", change.listed ? 1 : 0}});
    if (change.notice.backOff.count() > 0)
        events.write(ports::Level::Info, "server-backs-off",
                     {{"instance", instance.id},
                      {"service", instance.service},
                      {"source", source},
                      {"forMs", core::toMilliseconds(change.notice.backOff)},
                      {"listed", change.listed ? 1 : 0}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::recordNotice(const std::shared_ptr<const deployment::Instance>& instance,
                                 const balance::ServerNotice& notice, balance::NoticeSource source)
{
    balancer.recordNotice(instance, notice, source, core::now());
    logBalancerChanges();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::logUnknownFields(const deployment::Instance& instance, const http::Head& head)
{
    for (const http::HeaderField& field : unknownFieldDetector.detect(head))
        events.write(ports::Level::Info, "server-field-unknown",
                     {{"instance", instance.id}, {"field", field.name}, {"value", field.value}});
}

////////////////////////////////////////////////////////////
void Gateway::Impl::armDueTimer()
{
    const auto next = balancer.nextDue();
    if (!next || (dueTimerExpiry && *dueTimerExpiry <= *next && *dueTimerExpiry > core::now()))
        return;
    dueTimerExpiry = next;
    dueTimer.expires_after(*next - core::now());
    dueTimer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            progress.enter("timeouts");
            dueTimerExpiry.reset();
            updateFleetContact();
            balancer.processDue(core::now());
            performPendingSteps();
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::performStep(const balance::Step& step)
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
        const auto connection = found->second.releaseAttempt(step.attempt);
        // A non-repeatable attempt is left running: its server stops by itself at the deadline.
        if (connection && step.repeatable)
            connection->abandon();
        else if (connection)
            balancer.identifyLateSend(step.ticket, step.attempt, found->second.identity());
        return;
    }
    case balance::StepKind::Answer:
    case balance::StepKind::Refuse:
        return finish(step.ticket, step);
    case balance::StepKind::Probe:
        return probe(step);
    case balance::StepKind::Check:
        return check(step);
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
    counters.furtherAttempts += step.attempt > 1 ? 1 : 0;
    counters.trials += step.trial ? 1 : 0;
    counters.attemptsAgainstNotice += step.leavingFor.count() > 0 || step.backOffLeft.count() > 0 ? 1 : 0;
    exchange.recordAttempt(step, core::now());
    const auto            ticket = step.ticket;
    const auto            attempt = step.attempt;
    priv::OutgoingRequest send = exchange.buildRequest(*step.instance, step.deadline - core::now(), dialect);
    send.atMostOnce = !step.repeatable;
    send.answerMemory = priv::BodyReservation(answerBodies, step.instance->service);
    const auto connection = servers.acquire(step.instance, send);
    exchange.activeAttempts[step.attempt] = connection;
    connection->send(
        std::move(send),
        [this, ticket, attempt, instance = step.instance](const balance::Outcome& outcome, priv::ServerAnswer answer)
        {
            logUnknownFields(*instance, answer.head);
            attemptEnded(ticket, attempt, outcome, std::move(answer));
        });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::check(const balance::Step& step)
{
    servers.check(step.instance,
                  [this, instance = step.instance](balance::CheckResult result)
                  {
                      events.write(ports::Level::Info, "server-checked",
                                   {{"instance", instance->id},
                                    {"service", instance->service},
                                    {"result", balance::toString(result)}});
                      balancer.checkEnded(*instance, result, core::now());
                      performPendingSteps();
                  });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::probe(const balance::Step& step)
{
    // The search goes on without the answer when its round ends.
    if (!servers.mayCheck(*step.instance))
        return;
    ++counters.probes;
    if (const auto found = exchanges.find(step.ticket); found != exchanges.end())
        ++found->second.probes;
    priv::OutgoingRequest send;
    send.probe = true;
    send.head.append("GET ").append(step.path).append(" HTTP/1.1\r\nHost: ").append(step.instance->address);
    send.head.append("\r\n\r\n");
    const auto ticket = step.ticket;
    const auto number = step.attempt;
    const auto connection = servers.acquire(step.instance, send);
    connection->send(std::move(send),
                     [this, ticket, number, instance = step.instance](const balance::Outcome&   outcome,
                                                                      const priv::ServerAnswer& answer)
                     {
                         progress.enter("probe-end");
                         countConnectFailure(outcome.connectFailure);
                         logUnknownFields(*instance, answer.head);
                         balancer.probeEnded(ticket, number, outcome, core::now());
                         performPendingSteps();
                     });
}

////////////////////////////////////////////////////////////
void Gateway::Impl::attemptEnded(balance::Ticket ticket, unsigned attempt, balance::Outcome outcome,
                                 priv::ServerAnswer answer)
{
    progress.enter("attempt-end");
    detectStall();
    countConnectFailure(outcome.connectFailure);
    counters.attemptsThroughHelpers += outcome.helper.empty() ? 0 : 1;
    const auto found = exchanges.find(ticket);
    if (found != exchanges.end())
    {
        if (balance::endedByServer(outcome.loss) || balancer.needsRequestIdentity())
            outcome.identity = found->second.identity();
        found->second.activeAttempts.erase(attempt);
        found->second.recordAttemptEnd(attempt, outcome, core::now());
        found->second.answers[attempt] = std::move(answer);
    }
    balancer.attemptEnded(ticket, attempt, outcome, core::now());
    performPendingSteps();
}

////////////////////////////////////////////////////////////
void Gateway::Impl::countConnectFailure(balance::ConnectFailure failure)
{
    counters.connectsRefused += failure == balance::ConnectFailure::Refused ? 1 : 0;
    counters.connectsTimedOut += failure == balance::ConnectFailure::TimedOut ? 1 : 0;
    counters.connectsBroken += failure == balance::ConnectFailure::Broken ? 1 : 0;
}

////////////////////////////////////////////////////////////
void Gateway::Impl::finish(balance::Ticket ticket, const balance::Step& step)
{
    const auto found = exchanges.find(ticket);
    if (found == exchanges.end())
        return;
    Exchange&  exchange = found->second;
    const auto caller = exchange.caller.lock();
    bool       queued = false;
    if (step.kind == balance::StepKind::Answer)
    {
        priv::ServerAnswer answer = std::move(exchange.answers[step.attempt]);
        ++counters.answered;
        exchange.setEnding(answer.head.status, "answered", core::now());
        queued = caller && caller->answer(ticket, answer.head, std::move(answer.body), std::move(answer.reservation));
    }
    else
    {
        const LocalAnswer own{statusOf(step.refusal), balance::toString(step.refusal.reason), step.refusal.retryAfter,
                              step.refusal.retryAtOnce};
        ++(step.refusal.mayHaveRun ? counters.failed : counters.refused);
        exchange.triedFor = std::max(exchange.triedFor, step.refusal.triedFor);
        if (step.refusal.reason == balance::RefusalReason::EndsServers)
            recordQuarantineRefusal(exchange);
        if (step.refusal.reason == balance::RefusalReason::OverQuota)
            recordQuotaRefusal(exchange);
        if (step.refusal.reason == balance::RefusalReason::NoRoom)
            recordRoomRefusal(exchange, step.refusal);
        if (step.refusal.expectedMs > 0)
            exchange.recordEstimate(step.refusal);
        if (step.refusal.work.workMs > 0)
            exchange.recordWork(step.refusal.work);
        recordRefusal(exchange, step.refusal);
        exchange.setEnding(own.status, own.reason, core::now());
        queued = caller && caller->answer(ticket, own);
    }
    // Without a caller that waits for the answer, the exchange ends here.
    if (!queued)
        answerStarted(ticket);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::recordRefusal(Exchange& exchange, const balance::Refusal& refusal)
{
    counters.refusedAtOnce += refusal.retryAtOnce ? 1 : 0;
    counters.refusedLater += refusal.retryAfter.count() > 0 ? 1 : 0;
    counters.refusedLongest += refusal.retryAfter >= balance::longestRetryAfter ? 1 : 0;
    exchange.recordRefusal(refusal);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::recordQuarantineRefusal(Exchange& exchange)
{
    ++counters.quarantinedRefused;
    const auto  at = core::now();
    const auto* quarantine = balancer.crashes().findQuarantine(exchange.identity(), at);
    if (quarantine == nullptr)
        return;
    exchange.attemptLog += "content=" + quarantine->content.text() + "/servers=" + std::to_string(quarantine->servers) +
                           "/from=" + quarantine->source +
                           "/age=" + std::to_string(static_cast<int>(core::toMilliseconds(at - quarantine->since))) +
                           "ms";
}

////////////////////////////////////////////////////////////
void Gateway::Impl::recordRoomRefusal(Exchange& exchange, const balance::Refusal& refusal)
{
    constexpr std::size_t maxNames = 256; // Further names are counted as one
    const std::string&    name = exchange.workspace.empty() ? exchange.route : exchange.workspace;
    const bool            counted = noRoom.size() < maxNames || noRoom.contains(name);
    ++noRoom[counted ? name : "others"];
    exchange.recordRoom(refusal);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::recordQuotaRefusal(Exchange& exchange)
{
    if (const auto quota = balancer.quota(exchange.workspace, core::now()))
        exchange.attemptLog += "quota=" + std::to_string(quota->perSecond) + "+" + std::to_string(quota->burst) +
                               "/open=" + std::to_string(quota->admissionProbability) +
                               "/here=" + std::to_string(quota->sentHere) + "/all=" + std::to_string(quota->sentByAll) +
                               "/saved=" + std::to_string(quota->saved) + "/asked=" + std::to_string(quota->demand) +
                               "/heard=" + std::to_string(quota->heardShare);
}

////////////////////////////////////////////////////////////
void Gateway::Impl::log(Exchange& exchange)
{
    // Each try of a caller has a new id; the content hash identifies the request on all nodes.
    if (exchange.anyAttemptLost)
        events.write(ports::Level::Info, "request-lost",
                     {{"request", exchange.id},
                      {"route", exchange.route},
                      {"content", exchange.identity().content.text()},
                      {"caller", exchange.callerAddress}});
    const priv::Ending&  ending = *exchange.ending;
    const core::Duration totalTime = core::now() - exchange.firstByteAt;
    const core::Duration decisionTime = *exchange.decidedAt - exchange.firstByteAt;
    const core::Duration queueTime = core::now() - ending.at;
    const bool           succeededAtOnce = ending.status > 0 && ending.status < 400 && exchange.attempts == 1;
    trafficMetrics.record(exchange.host, succeededAtOnce ? "answered" : ending.reason, totalTime);
    if (!exchange.route.empty())
        stageTimes.record(exchange.route, decisionTime, queueTime);
    events.write(ports::Level::Info, succeededAtOnce ? "request-answered" : "request-ended",
                 {{"request", exchange.id},
                  {"route", exchange.route},
                  {"workspace", exchange.workspace},
                  {"status", ending.status},
                  {"reason", ending.reason},
                  {"ms", core::toMilliseconds(totalTime)},
                  {"decidedMs", core::toMilliseconds(decisionTime)},
                  {"turnMs", core::toMilliseconds(queueTime)},
                  {"tryingMs", core::toMilliseconds(exchange.triedFor)},
                  {"version", version},
                  {"attempts", exchange.attempts},
                  {"probes", exchange.probes},
                  {"sends", exchange.attemptLog}});
}

} // namespace sailpath::gateway

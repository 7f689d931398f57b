#include "Simulation.hpp"

#include <algorithm>
#include <utility>

namespace sailpath::replay::priv
{
namespace
{
constexpr core::Duration   tickEvery = std::chrono::milliseconds{2};
constexpr core::Duration   proberTick = std::chrono::milliseconds{50};
constexpr core::Duration   tellDelay = std::chrono::milliseconds{100};   // Until peers hear what a probe found
constexpr core::Duration   noticeDelay = std::chrono::milliseconds{500}; // Until closed connections are noticed
constexpr core::Duration   newsDelay = std::chrono::seconds{1};          // Until all peers hear that a server leaves
constexpr core::Duration   settle = std::chrono::seconds{10};            // After the last arrival
constexpr std::string_view proberName = "entry-0";

////////////////////////////////////////////////////////////
retries::AttemptResult resultOf(FakeAnswer::Kind kind)
{
    switch (kind)
    {
    case FakeAnswer::Kind::Good:
        return retries::AttemptResult::Answered;
    case FakeAnswer::Kind::Failed:
        return retries::AttemptResult::Failed;
    case FakeAnswer::Kind::Shed:
        return retries::AttemptResult::Shed;
    case FakeAnswer::Kind::Refused:
        return retries::AttemptResult::NotSent;
    case FakeAnswer::Kind::Lost:
        break;
    }
    return retries::AttemptResult::Unknown;
}

} // namespace

////////////////////////////////////////////////////////////
Simulation::Simulation(const Trace& trace, const Variant& variant) :
m_trace(trace),
m_variant(variant),
m_random(trace.setup.seed),
m_network(trace.setup.seed + 1),
m_nodes(trace.setup.entries)
{
    for (const config::Workspace& workspace : trace.setup.workspaces)
    {
        for (const config::Service& service : workspace.services)
        {
            auto& pool = m_pools[service.name + "." + workspace.name];
            for (const config::BackendServer& server : service.servers)
            {
                auto& made = m_servers[server.name];
                made = std::make_unique<FakeServer>(server, m_events);
                pool.push_back(made.get());
            }
        }
    }
    for (unsigned i = 0; i < m_nodes.size(); ++i)
        startNode(m_nodes[i], i);

    m_control.self.name = proberName;
    m_prober.emplace(m_control);
    m_prober->membersChanged(std::array{proberName});
    for (const config::Workspace& workspace : trace.setup.workspaces)
        m_prober->configure(workspace, m_events.now());
}

////////////////////////////////////////////////////////////
Report Simulation::run()
{
    scheduleLoads();
    scheduleEvents();
    m_events.at(m_events.now(), [this] { tickNodes(); });
    if (m_variant.budgetedProbes)
        m_events.at(m_events.now(), [this] { tickProber(); });
    if (m_variant.probeEvery.count() > 0)
        m_events.at(m_events.now(), [this] { probeAll(); });
    while (m_events.now() < m_end + settle && m_events.runNext())
    {
    }
    for (const auto& item : m_servers)
        m_report.afterDrain += item.second->afterDrain();
    m_report.length = m_end - core::Timestamp{};
    return std::move(m_report);
}

////////////////////////////////////////////////////////////
void Simulation::startNode(Node& node, unsigned index)
{
    node.dataCentre = m_trace.setup.dataCentres[index % m_trace.setup.dataCentres.size()];
    node::DispatcherSettings settings = m_variant.decisions;
    settings.dataCentre = node.dataCentre;
    settings.otherDataCentreRoundTrip = m_trace.setup.oneWay * 2;
    settings.seed = m_trace.setup.seed * 1000 + index + 100'000 * node.births++;
    node.dispatcher = std::make_unique<node::Dispatcher>(settings);
    node.byTicket.assign(node.byTicket.size(), nullptr);
    for (const config::Workspace& workspace : m_trace.setup.workspaces)
        node.dispatcher->configure(workspace, m_events.now());
}

////////////////////////////////////////////////////////////
void Simulation::scheduleLoads()
{
    for (const LoadPhase& load : m_trace.loads)
    {
        m_end = std::max(m_end, load.until);
        scheduleNext(load, load.from);
    }
    for (const Arrival& arrival : m_trace.arrivals)
    {
        m_end = std::max(m_end, arrival.at);
        m_events.at(arrival.at,
                    [this, &arrival] {
                        arrive(nullptr, 0, arrival.host, arrival.method, arrival.path,
                               core::fromMilliseconds(arrival.workMs), {});
                    });
    }
}

////////////////////////////////////////////////////////////
void Simulation::scheduleNext(const LoadPhase& load, core::Timestamp at)
{
    const core::Timestamp next = at + core::fromMilliseconds(m_random.exponential(1000.0 / load.rate));
    if (next >= load.until)
        return;
    const core::Duration work = workOf(load);
    m_events.at(next,
                [this, &load, next, work]
                {
                    arrive(&load, 0, load.host, load.method, load.path, work, {});
                    scheduleNext(load, next);
                });
}

////////////////////////////////////////////////////////////
void Simulation::scheduleEvents()
{
    for (const ServerEvent& event : m_trace.servers)
    {
        m_events.at(event.at,
                    [this, &event]
                    {
                        if (const auto found = m_servers.find(event.server); found != m_servers.end())
                            found->second->apply(event);
                        if (event.kind == ServerEventKind::Down)
                            closeConnections(event.server);
                    });
    }
    for (const EntryEvent& event : m_trace.entries)
    {
        m_events.at(event.at,
                    [this, &event]
                    {
                        Node& node = m_nodes[event.entry % m_nodes.size()];
                        if (event.serving && node.dispatcher->unfinished() == 0)
                            startNode(node, event.entry);
                        node.serving = event.serving;
                    });
    }
}

////////////////////////////////////////////////////////////
void Simulation::closeConnections(const std::string& server)
{
    m_events.after(noticeDelay,
                   [this, &server]
                   {
                       for (Node& node : m_nodes)
                       {
                           if (std::exchange(node.idle[server], 0) == 0)
                               continue;
                           node.dispatcher->visitServers(
                               m_events.now(),
                               [this, &node, &server](const auto& target, routing::Availability)
                               {
                                   if (target->server == server)
                                       node.dispatcher->serverGone(*target, m_events.now());
                               });
                       }
                   });
}

////////////////////////////////////////////////////////////
void Simulation::arrive(const LoadPhase* load, std::size_t depth, std::string_view host, std::string_view method,
                        std::string_view path, core::Duration work, std::function<void(bool, bool)> over)
{
    const auto call = std::make_shared<Call>();
    call->record = m_report.requests.size();
    call->load = load;
    call->depth = depth;
    call->host = host;
    call->method = method;
    call->path = path;
    call->work = work;
    call->over = std::move(over);
    call->entry = pickEntry();
    m_report.requests.push_back({m_events.now(), host, path, {}, false, false, depth > 0});

    if (m_variant.omniscient)
    {
        omniscient(call);
        return;
    }
    node::Dispatcher& dispatcher = *m_nodes[call->entry].dispatcher;
    act(call, dispatcher.admit({host, method, path, {}}, m_events.now()));
    release(call->entry);
}

////////////////////////////////////////////////////////////
void Simulation::act(const CallPtr& call, const node::Step& step)
{
    Node& node = m_nodes[call->entry];
    switch (step.verdict)
    {
    case node::Verdict::Forward:
        forward(call, step);
        break;
    case node::Verdict::Hold:
        if (node.byTicket.size() <= step.ticket)
            node.byTicket.resize(step.ticket + 1);
        node.byTicket[step.ticket] = call;
        break;
    case node::Verdict::Answer:
        break;
    case node::Verdict::Refuse:
    {
        const bool forbidden = step.refusal.reason == node::RefusalReason::NotSent ||
                               step.refusal.reason == node::RefusalReason::OutcomeUnknown;
        finish(call, false, step.refusal.ran == retries::Ran::No, forbidden);
        break;
    }
    }
}

////////////////////////////////////////////////////////////
void Simulation::forward(const CallPtr& call, const node::Step& step)
{
    ++m_report.attempts;
    call->repeatable = step.repeatable;
    Node&          node = m_nodes[call->entry];
    FakeServer&    server = *m_servers.find(step.target->server)->second;
    unsigned&      idle = node.idle[step.target->server];
    core::Duration out = transit(node, server);
    if (idle > 0)
        --idle;
    else
        out += m_trace.setup.connect + transit(node, server) * 2;
    const core::Duration back = transit(node, server);
    m_events.after(out,
                   [this, call, &server, back, ticket = step.ticket, name = step.target->server]
                   {
                       if (server.works() && ++call->runs > 1 && !call->repeatable)
                           ++m_report.doubleRuns;
                       server.arrive(call->work, nestedOf(call),
                                     [this, call, back, ticket, name](const FakeAnswer& answer)
                                     { m_events.after(back, [=, this] { answered(call, ticket, name, answer); }); });
                   });
}

////////////////////////////////////////////////////////////
void Simulation::answered(const CallPtr& call, node::Ticket ticket, const std::string& server, const FakeAnswer& answer)
{
    Node&         node = m_nodes[call->entry];
    node::Outcome outcome;
    outcome.result = resultOf(answer.kind);
    outcome.draining = answer.draining;
    outcome.retryForbidden = answer.retryForbidden;
    const bool spoke = answer.kind != FakeAnswer::Kind::Refused && answer.kind != FakeAnswer::Kind::Lost;
    if (spoke && m_variant.answerReports)
        outcome.report = routing::LoadReport{answer.reported};
    if (spoke)
        ++node.idle[server];

    const node::Step step = node.dispatcher->finishAttempt(ticket, outcome, m_events.now());
    if (step.verdict == node::Verdict::Answer)
        finish(call, answer.kind == FakeAnswer::Kind::Good, false, answer.kind == FakeAnswer::Kind::Failed);
    else
        act(call, step);
    release(call->entry);
    tellNews(call->entry);
}

////////////////////////////////////////////////////////////
void Simulation::tellNews(unsigned entry)
{
    if (!m_variant.peers)
        return;
    std::vector<node::ServerReport> news;
    m_nodes[entry].dispatcher->takeDrainingReports(news);
    for (const node::ServerReport& report : news)
    {
        m_events.after(newsDelay,
                       [this, report, at = m_events.now()]
                       {
                           for (Node& node : m_nodes)
                               node.dispatcher->recordServerReport(report.workspace, report.service, report.server,
                                                                   report.load, report.draining, at);
                       });
    }
}

////////////////////////////////////////////////////////////
void Simulation::finish(const CallPtr& call, bool good, bool refused, bool retryForbidden)
{
    RequestRecord& record = m_report.requests[call->record];
    record.latency = m_events.now() - record.at;
    record.good = good;
    record.refused = refused;
    if (call->over)
        call->over(!good, retryForbidden);
}

////////////////////////////////////////////////////////////
void Simulation::release(unsigned entry)
{
    Node&                   node = m_nodes[entry];
    std::vector<node::Step> steps;
    node.dispatcher->takeReleased(steps);
    for (const node::Step& step : steps)
    {
        const CallPtr call = std::move(node.byTicket[step.ticket]);
        act(call, step);
    }
}

////////////////////////////////////////////////////////////
void Simulation::omniscient(const CallPtr& call)
{
    const Node&     node = m_nodes[call->entry];
    FakeServer*     best = nullptr;
    core::Timestamp earliest = core::Timestamp::max();
    for (FakeServer* server : m_pools[std::string(call->host)])
    {
        const core::Timestamp finishAt = server->trueFinish(call->work) + transit(node, *server) * 2;
        if (server->works() && finishAt < earliest)
        {
            best = server;
            earliest = finishAt;
        }
    }
    constexpr core::Duration bearable = std::chrono::milliseconds{250};
    if (!best || earliest - m_events.now() > bearable + call->work)
    {
        finish(call, false, true, false);
        return;
    }
    ++m_report.attempts;
    // The bound also spares the way out, during which the state would change.
    const core::Duration ways = transit(node, *best) * 2;
    best->arrive(call->work, nestedOf(call),
                 [this, call, ways](const FakeAnswer& answer)
                 {
                     m_events.after(ways, [this, call, good = answer.kind == FakeAnswer::Kind::Good]
                                    { finish(call, good, false, false); });
                 });
}

////////////////////////////////////////////////////////////
FakeServer::Nested Simulation::nestedOf(const CallPtr& call)
{
    if (!call->load || call->depth >= call->load->chain.size())
        return {};
    return [this, call](const std::function<void(bool, bool)>& over)
    {
        const LoadPhase& load = *call->load;
        const bool       pass = load.passRetrySign;
        arrive(&load, call->depth + 1, load.chain[call->depth], load.method, load.path, workOf(load),
               [over, pass](bool failed, bool forbidden) { over(failed, pass && forbidden); });
    };
}

////////////////////////////////////////////////////////////
core::Duration Simulation::transit(const Node& node, const FakeServer& server) const
{
    return node.dataCentre == server.declaration().dataCentre ? m_trace.setup.oneWayInside : m_trace.setup.oneWay;
}

////////////////////////////////////////////////////////////
core::Duration Simulation::workOf(const LoadPhase& load)
{
    return core::fromMilliseconds(load.fixedWork ? load.workMs : m_random.exponential(load.workMs));
}

////////////////////////////////////////////////////////////
unsigned Simulation::pickEntry()
{
    // The platform's balancer spreads requests evenly over the entries that serve.
    for (int tries = 0; tries < 100; ++tries)
    {
        const auto entry = static_cast<unsigned>(m_network.below(m_nodes.size()));
        if (m_nodes[entry].serving)
            return entry;
    }
    return 0;
}

////////////////////////////////////////////////////////////
void Simulation::tickNodes()
{
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        m_nodes[i].dispatcher->tick(m_events.now());
        release(i);
    }
    m_events.after(tickEvery, [this] { tickNodes(); });
}

////////////////////////////////////////////////////////////
void Simulation::tickProber()
{
    // The settling time after the last arrival is no part of what is measured.
    if (m_events.now() > m_end)
        return;
    node::ControlActions actions;
    m_prober->tick(m_events.now(), actions);
    for (const node::ControlAction& action : actions)
    {
        if (const auto* send = std::get_if<node::SendProbe>(&action))
            probe(0, *send->target, true);
        const auto* acquire = std::get_if<node::AcquireLease>(&action);
        const auto* renew = std::get_if<node::RenewLease>(&action);
        if (acquire || renew)
        {
            const unsigned group = acquire ? acquire->group : 0;
            m_prober->leaseAnswered(
                {node::LeaseResult::Held, renew != nullptr, group, 1, m_control.leaseLength, m_events.now()},
                m_events.now());
        }
    }
    m_events.after(proberTick, [this] { tickProber(); });
}

////////////////////////////////////////////////////////////
void Simulation::probeAll()
{
    if (m_events.now() > m_end)
        return;
    for (unsigned i = 0; i < m_nodes.size(); ++i)
    {
        m_nodes[i].dispatcher->visitServers(
            m_events.now(),
            [this, i](const std::shared_ptr<const node::Target>& target, routing::Availability)
            {
                // Spread over the interval, as real probers are.
                const auto delay =
                    core::fromMilliseconds(core::toMilliseconds(m_variant.probeEvery) * m_network.unit());
                m_events.after(delay, [this, i, target] { probe(i, *target, false); });
            });
    }
    m_events.after(m_variant.probeEvery, [this] { probeAll(); });
}

////////////////////////////////////////////////////////////
void Simulation::probe(unsigned asker, const node::Target& target, bool tellAll)
{
    m_report.probeCost += core::toMilliseconds(target.probeCost);
    FakeServer& server = *m_servers.find(target.server)->second;
    const auto  heard = [this, asker, target, tellAll](const FakeAnswer& answer)
    {
        if (answer.kind == FakeAnswer::Kind::Refused || answer.kind == FakeAnswer::Kind::Lost)
            return;
        const auto tell = [this, target, answer, at = m_events.now()](unsigned entry)
        {
            m_nodes[entry].dispatcher->recordServerReport(target.workspace, target.service, target.server,
                                                          routing::LoadReport{answer.reported}, answer.draining, at);
        };
        if (!tellAll)
        {
            tell(asker);
            return;
        }
        m_events.after(tellDelay,
                       [this, tell]
                       {
                           for (unsigned i = 0; i < m_nodes.size(); ++i)
                               tell(i);
                       });
    };
    m_events.after(m_trace.setup.oneWay, [&server, heard, cost = target.probeCost] { server.probe(cost, heard); });
}

} // namespace sailpath::replay::priv

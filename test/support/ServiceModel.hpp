#pragma once

#include <support/ServiceModelTypes.hpp>

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief Simulation, in virtual time, of callers, the balancers of many nodes and the servers that they share
////////////////////////////////////////////////////////////
class ServiceModel
{
public:
    using Try = ModelTry;
    using Tally = ModelTally;

    ServiceModel(ModelSettings settings, std::vector<KindOfRequest> kinds, std::vector<ModelServer> servers) :
    m_settings(settings),
    m_kinds(std::move(kinds)),
    m_random(settings.seed),
    m_tallies(m_kinds.size())
    {
        for (ModelServer& server : servers)
            addServer(std::move(server));
        declare();
        for (unsigned i = 0; i < m_settings.nodes; ++i)
            startNode(i);
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind)
            nextArrival(kind);
    }

    ServiceModel(const ServiceModel&) = delete;
    ServiceModel& operator=(const ServiceModel&) = delete;

    void run(core::Duration time)
    {
        const core::Timestamp until = m_now + time;
        while (!m_events.empty() && m_events.top().at <= until)
        {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = until;
    }

    /// \brief Add a server whose first entry reaches all nodes now
    void join(ModelServer server)
    {
        server.joined = m_now;
        addServer(std::move(server));
        redeclare();
    }

    /// \brief Restart a node without its former state; its requests end without an answer
    void restartNode(std::size_t index)
    {
        Node& node = m_nodes[index];
        node.wakeAt = core::Timestamp::max();
        startBalancer(node);
        for (const auto& [key, work] : std::exchange(node.sent, {}))
        {
            release(node, *m_servers.at(work->server), false);
            drop(*m_servers.at(work->server), work);
        }
        node.calls.clear();
        node.failed.clear();
        receiveLimitReports(node);
        for (auto& [id, connections] : node.connections)
            connections.idle.clear();
    }

    /// \brief Store what the first node with enough answers has learned, for nodes that restart
    void keepSnapshot()
    {
        for (const Node& node : m_nodes)
        {
            auto learned = node.balancer->learned(m_now);
            if (learned.routes.empty())
                continue;
            m_declared.learned = std::make_shared<const snapshot::LearnedState>(std::move(learned));
            return;
        }
    }

    /// \brief Remove a server and its entry at once; requests that arrive at it from now on are lost
    void removeServer(const std::string& id)
    {
        m_servers.at(id)->gone = true;
        redeclare();
    }

    /// \brief Restore a removed server and its entry
    void restoreServer(const std::string& id)
    {
        m_servers.at(id)->gone = false;
        redeclare();
    }

    /// \brief Set the limit, in requests per second, that a server names in its answers from now on; null: none
    void setLimit(const std::string& id, std::optional<double> perSecond)
    {
        m_servers.at(id)->model.limit = perSecond;
    }

    /// \brief Make a server say in all its answers from now on that it shuts down; its entry does not change
    void setLeaving(const std::string& id)
    {
        m_servers.at(id)->model.leaving = true;
    }

    /// \brief Make a server reject all requests from now on and ask for a back-off; 0: it accepts requests again
    void setBackOff(const std::string& id, core::Duration backOff)
    {
        m_servers.at(id)->model.backOff = backOff;
    }

    /// \brief Make a server reject a share of the requests from now on although it has room
    void setRejectedShare(const std::string& id, double share)
    {
        m_servers.at(id)->model.rejectedShare = share;
    }

    /// \brief End a server at once, not caused by a request; another one replaces it after a delay
    void crashServer(const std::string& id)
    {
        endServer(*m_servers.at(id), nullptr);
    }

    /// \brief End a server at once and start it again under the same id after a delay
    void restartServer(const std::string& id, core::Duration after)
    {
        Server& server = *m_servers.at(id);
        loseRequests(server, nullptr);
        schedule(m_now + after,
                 [this, &server]
                 {
                     server.ended = false;
                     server.model.joined = m_now;
                     ++server.born;
                     redeclare();
                 });
    }

    /// \brief Send a request that ends the servers that run it, repeatedly from one caller
    ///
    /// \param kind        Index of the kind of request
    /// \param every       Time between the starts of two series of tries
    /// \param movesCaller Whether the caller has another address in each series
    ///
    /// \return Index for `culprit`
    std::size_t sendCulprit(std::size_t kind, core::Duration every, bool movesCaller)
    {
        m_culprits.emplace_back();
        const std::size_t index = m_culprits.size() - 1;
        repeatCulprit(kind, every, movesCaller, index);
        return index;
    }

    [[nodiscard]] const ModelCulprit& culprit(std::size_t index) const
    {
        return m_culprits[index];
    }
    [[nodiscard]] std::size_t wronglyRefused() const //!< Harmless requests that were refused as ending servers
    {
        return m_wronglyRefused;
    }
    [[nodiscard]] std::vector<std::string> runningServers() const //!< Ids of the servers that run
    {
        std::vector<std::string> ids;
        for (const auto& [id, server] : m_servers)
        {
            if (!server->gone && !server->ended)
                ids.push_back(id);
        }
        return ids;
    }

    /// \brief Reset the tallies and the list of tries
    void beginCount()
    {
        m_tallies.assign(m_kinds.size(), {});
        m_tries.clear();
        m_countSince = m_now;
    }

    void setRate(std::size_t kind, double perSecond)
    {
        m_kinds[kind].perSecond = perSecond;
    }

    [[nodiscard]] core::Timestamp now() const
    {
        return m_now;
    }
    [[nodiscard]] const Tally& tally(std::size_t kind) const
    {
        return m_tallies[kind];
    }
    [[nodiscard]] const std::vector<Try>& tries() const
    {
        return m_tries;
    }
    [[nodiscard]] std::size_t maxPerSecondAtCold() const //!< Most requests that one cold server got within a second
    {
        return m_maxPerSecondAtCold;
    }
    [[nodiscard]] std::size_t totalAtCold() const //!< All requests that cold servers got
    {
        return m_totalAtCold;
    }
    [[nodiscard]] std::size_t countArrivals(const std::string& server) const
    {
        return m_servers.at(server)->arrivals;
    }
    [[nodiscard]] const ModelLimited& limited(const std::string& server) const
    {
        return m_servers.at(server)->limited;
    }
    [[nodiscard]] const ModelNoticed& noticed(const std::string& server) const
    {
        return m_servers.at(server)->noticed;
    }
    [[nodiscard]] core::Timestamp firstArrival(const std::string& server) const
    {
        return m_servers.at(server)->firstArrival;
    }

private:
    struct Event
    {
        core::Timestamp       at{};
        std::uint64_t         number{0};
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    struct Work
    {
        std::size_t     node{0};
        std::string     server;
        balance::Ticket ticket{0};
        unsigned        attempt{0};
        double          workMs{0};
        core::Timestamp deadline{};
        bool            running{false};
        bool            dropped{false};
        bool            reached{false}; //!< It has arrived at its server

        std::shared_ptr<const deployment::Instance> instance; //!< Instance that it was sent to
        deployment::RequestIdentity                 identity;
        std::optional<std::size_t>                  culprit; //!< Index of the culprit if it ends its server
    };

    struct Server
    {
        ModelServer                       model;
        bool                              gone{false};
        std::uint64_t                     born{1};
        bool                              ended{false}; //!< It does not run any more; its entry may still exist
        std::uint64_t                     salt{0};
        unsigned                          running{0};
        std::deque<std::shared_ptr<Work>> waiting;
        std::size_t                       arrivals{0};
        std::deque<core::Timestamp>       coldArrivals; //!< Arrivals within the last second while cold
        core::Timestamp                   firstArrival{core::Timestamp::max()};
        ModelLimited                      limited;
        ModelNoticed                      noticed;
    };

    /// \brief What relays hold about a limited server
    struct LimitReport
    {
        double          perSecond{0};
        core::Timestamp at{};
        double          doublings{0};
    };

    struct Connections
    {
        std::vector<core::Timestamp> idle; //!< When each connection became idle
        unsigned                     busy{0};
    };

    struct Call
    {
        core::Duration  patience{};
        std::size_t     kind{0};
        core::Timestamp first{};
        unsigned        tries{0};
        double          workMs{0};
        std::size_t     tryIndex{0};
        std::uint64_t   countedSince{0};

        deployment::RequestIdentity identity;
        std::optional<std::size_t>  culprit; //!< Index of the culprit if it ends servers
    };

    struct Node
    {
        std::size_t                                                           index{0};
        std::string                                                           dataCentre;
        std::unique_ptr<balance::Balancer>                                    balancer;
        std::map<std::string, Connections>                                    connections;
        std::map<std::pair<balance::Ticket, unsigned>, std::shared_ptr<Work>> sent;
        std::map<balance::Ticket, Call>                                       calls;
        std::set<std::pair<balance::Ticket, unsigned>> failed; //!< Attempts that were answered without success
        core::Timestamp                                wakeAt{core::Timestamp::max()};
    };

    void schedule(core::Timestamp time, std::function<void()> action)
    {
        m_events.push({time, ++m_eventCount, std::move(action)});
    }

    void addServer(ModelServer model)
    {
        auto server = std::make_unique<Server>();
        server->salt = m_random.below(1'000'000'000);
        server->model = std::move(model);
        m_servers[server->model.id] = std::move(server);
    }

    void declare()
    {
        auto deployment = std::make_shared<deployment::Deployment>();
        deployment->version = 1;
        std::set<std::string> services;
        for (const KindOfRequest& kind : m_kinds)
        {
            deployment::HostRoute route;
            route.name = kind.name;
            route.host = "a.example";
            route.pathPrefix = "/" + kind.name + "/";
            route.repeatable = kind.repeatable;
            route.timeout = kind.timeout;
            route.targetLatency = kind.target;
            route.priority = kind.priority;
            route.attempts = 2;
            route.parts = kind.parts;
            for (const auto& part : kind.parts)
                services.insert(part.service);
            deployment->routes.push_back(route);
        }
        for (const std::string& service : services)
            deployment->services.push_back({service, "/health", 220, m_settings.coldTime, m_settings.warmUpRate});
        if (!m_declared.deployment)
            m_declared.deployment = deployment;
        m_declared.nodes = m_settings.nodes;
        m_declared.instances.clear();
        for (const auto& [id, server] : m_servers)
        {
            if (server->gone)
                continue;
            const core::Duration cold = server->model.joined + m_settings.coldTime - m_now;
            const bool           isNew = server->model.joined != core::Timestamp{} && cold.count() > 0;
            m_declared.instances.push_back({id, server->model.service, "10.0.0.1", 80, server->model.dataCentre,
                                            server->model.slots, false, isNew ? m_settings.coldTime : core::Duration{},
                                            server->born});
        }
    }

    void redeclare()
    {
        declare();
        for (Node& node : m_nodes)
        {
            node.balancer->configure(declaredFor(node), m_now);
            runSteps(node);
        }
    }

    /// \brief Return the declared configuration, with the members that a node knows
    [[nodiscard]] deployment::DeclaredState declaredFor(const Node& node) const
    {
        deployment::DeclaredState declared = m_declared;
        for (std::uint32_t member = 0; member < m_settings.nodes; ++member)
        {
            core::Random drawn((std::uint64_t{member} << 32U) + node.index);
            if (member == node.index || drawn.unit() < m_settings.membersKnown)
                declared.members.push_back(memberHash(member));
        }
        return declared;
    }

    static std::uint32_t memberHash(std::size_t index)
    {
        return deployment::shortHash("node " + std::to_string(index));
    }

    void startNode(unsigned index)
    {
        Node& node = m_nodes.emplace_back();
        node.index = index;
        node.dataCentre = "dc" + std::to_string(index % m_settings.dataCentres);
        startBalancer(node);
    }

    void startBalancer(Node& node)
    {
        balance::Settings settings;
        settings.dataCentre = node.dataCentre;
        settings.retryRatio = m_settings.retryRatio;
        settings.retryExtra = m_settings.retryExtra;
        settings.probeRate = m_settings.probeRate;
        settings.nearFirst = m_settings.nearFirst;
        settings.warmUpExcess = m_settings.warmUpExcess;
        settings.warmUpSlack = m_settings.warmUpSlack;
        settings.self = memberHash(node.index);
        settings.seed = m_random.below(1'000'000'000);
        node.balancer = std::make_unique<balance::Balancer>(settings, m_now);
        node.balancer->configure(declaredFor(node), m_now);
    }

    void nextArrival(std::size_t kind)
    {
        const double gapMs = m_random.exponential(1000 / m_kinds[kind].perSecond);
        schedule(m_now + core::fromMilliseconds(gapMs),
                 [this, kind]
                 {
                     Call call;
                     call.kind = kind;
                     call.first = m_now;
                     call.patience = m_kinds[kind].patience;
                     if (m_kinds[kind].patienceSpread > 0)
                         call.patience -= core::fromMilliseconds(core::toMilliseconds(call.patience) *
                                                                 m_kinds[kind].patienceSpread * m_random.unit());
                     call.workMs = m_kinds[kind].workMs * std::exp(0.3 * standardNormal() - 0.045);
                     call.countedSince = static_cast<std::uint64_t>(m_countSince.time_since_epoch().count());
                     ++m_contentCount;
                     call.identity =
                         identityOf("request " + std::to_string(m_contentCount), m_contentCount % callerAddresses);
                     ++m_tallies[kind].requests;
                     startTry(call);
                     nextArrival(kind);
                 });
    }

    static deployment::RequestIdentity identityOf(const std::string& text, std::size_t caller)
    {
        const std::array<std::string_view, 1> content{text};
        return {core::contentHash(content), static_cast<std::uint32_t>(caller)};
    }

    void repeatCulprit(std::size_t kind, core::Duration every, bool movesCaller, std::size_t index)
    {
        Call call;
        call.kind = kind;
        call.first = m_now;
        call.patience = m_kinds[kind].patience;
        call.workMs = m_kinds[kind].workMs;
        call.identity = identityOf("culprit " + std::to_string(index),
                                   callerAddresses + (movesCaller ? m_random.below(callerAddresses) : 0));
        call.culprit = index;
        startTry(call);
        schedule(m_now + every,
                 [this, kind, every, movesCaller, index] { repeatCulprit(kind, every, movesCaller, index); });
    }

    /// \brief End a server with all requests that it runs, and schedule its replacement
    void endServer(Server& server, const Work* cause)
    {
        loseRequests(server, cause);
        schedule(m_now + m_settings.entryLifetime, [this, id = server.model.id] { removeServer(id); });
        ModelServer next = server.model;
        next.id = "again-" + std::to_string(++m_contentCount);
        schedule(m_now + m_settings.replacementDelay, [this, next] { join(next); });
    }

    void loseRequests(Server& server, const Work* cause)
    {
        server.ended = true;
        server.running = 0;
        server.waiting.clear();
        for (Node& node : m_nodes)
        {
            node.connections[server.model.id].idle.clear();
            reportConnections(node, server, node.connections[server.model.id]);
            std::vector<std::shared_ptr<Work>> lost;
            for (const auto& [key, work] : node.sent)
            {
                if (work->server == server.model.id && work->reached)
                    lost.push_back(work);
            }
            for (const auto& work : lost)
            {
                if (cause != nullptr && work.get() != cause)
                    ++m_culprits[*cause->culprit].lostBeside;
                work->dropped = true;
                answer(server, work, balance::AttemptEnd::Lost, 0, true);
            }
        }
    }

    void sendLimitReports(Node& node)
    {
        std::vector<deployment::LimitReport> news = node.balancer->takeLimitNews();
        if (news.empty() || m_settings.reportDelay.count() == 0)
            return;
        for (deployment::LimitReport& one : news)
        {
            one.node = memberHash(node.index);
            if (one.topic == deployment::LimitTopic::Limit)
                m_limitReports[one.server] = {one.perSecond, m_now - one.ago, one.doublings};
        }
        // Reports on the retry budget leave the random course of all else as it is.
        const bool    onlyRetries = std::all_of(news.begin(), news.end(),
                                                [](const deployment::LimitReport& one)
                                                { return one.topic == deployment::LimitTopic::RetryBudget; });
        core::Random& random = onlyRetries ? m_retryRandom : m_random;
        for (Node& other : m_nodes)
        {
            if (other.index == node.index)
                continue;
            const double way = core::toMilliseconds(m_settings.reportDelay) * (0.25 + 0.75 * random.unit());
            schedule(m_now + core::fromMilliseconds(way),
                     [this, &other, news]
                     {
                         other.balancer->receiveLimitNews(news, m_now);
                         runSteps(other);
                     });
        }
    }

    /// \brief Pass a restarted node the limits that relays hold, as it gets them with its first copy
    void receiveLimitReports(Node& node)
    {
        std::vector<deployment::LimitReport> news;
        for (const auto& [server, report] : m_limitReports)
            news.push_back({0, server, report.perSecond, m_now - report.at, 0, report.doublings});
        node.balancer->receiveLimitNews(news, m_now);
    }

    void sendReports(Node& node)
    {
        sendLimitReports(node);
        deployment::CrashReport news = node.balancer->takeCrashNews();
        if (news.empty() || m_settings.reportDelay.count() == 0)
            return;
        for (deployment::ServerCrash& end : news.ends)
            end.node = memberHash(node.index);
        for (Node& other : m_nodes)
        {
            if (other.index == node.index)
                continue;
            const double way = core::toMilliseconds(m_settings.reportDelay) * (0.25 + 0.75 * m_random.unit());
            schedule(m_now + core::fromMilliseconds(way),
                     [this, &other, news]
                     {
                         other.balancer->receiveCrashNews(news, m_now);
                         runSteps(other);
                     });
        }
    }

    void check(Node& node, const balance::Step& step)
    {
        Server& server = *m_servers.at(step.instance->id);
        schedule(m_now + 2 * trip(node, server),
                 [this, &node, &server, instance = step.instance]
                 {
                     const bool refuses = server.ended || server.gone;
                     node.balancer->checkEnded(
                         *instance, refuses ? balance::CheckResult::Refuses : balance::CheckResult::Accepts, m_now);
                     runSteps(node);
                 });
    }

    double standardNormal()
    {
        double sum = -6;
        for (int i = 0; i < 12; ++i)
            sum += m_random.unit();
        return sum;
    }

    void startTry(Call call)
    {
        const bool        first = m_settings.firstNodeShare > 0 && m_random.unit() < m_settings.firstNodeShare;
        const std::size_t node = first ? 0 : m_random.below(m_nodes.size());
        schedule(m_now + m_settings.clientTrip, [this, call, node] { arriveAtNode(m_nodes[node], call); });
    }

    void arriveAtNode(Node& node, Call call)
    {
        const KindOfRequest&  kind = m_kinds[call.kind];
        const balance::Ticket ticket = ++m_ticket;
        const auto            target = "/" + kind.name + "/1";
        call.tryIndex = m_tries.size();
        m_tries.push_back({call.kind, m_now, {}, call.tries > 0, false});
        ++call.tries;
        node.calls[ticket] = call;
        balance::Arrival arrival{"a.example", target, m_now, call.patience - (m_now - call.first), {}};
        arrival.firstOnConnection = call.tries > 1;
        if (m_settings.passesIdentity && node.balancer->needsRequestIdentity())
            arrival.identity = call.identity;
        node.balancer->admit(ticket, arrival, m_now);
        runSteps(node);
    }

    void finishCall(Node& node, balance::Ticket ticket, bool success, const balance::Refusal* refusal)
    {
        const auto found = node.calls.find(ticket);
        if (found == node.calls.end())
            return;
        Call call = found->second;
        node.calls.erase(found);
        const KindOfRequest& kind = m_kinds[call.kind];
        const auto           receivedAt = m_now + m_settings.clientTrip;
        const bool counts = call.countedSince == static_cast<std::uint64_t>(m_countSince.time_since_epoch().count());
        if (refusal != nullptr && refusal->reason == balance::RefusalReason::EndsServers && !call.culprit)
            ++m_wronglyRefused;
        if (success)
        {
            if (counts && receivedAt <= call.first + call.patience)
                ++m_tallies[call.kind].served;
            if (counts && receivedAt <= call.first + kind.target)
                ++m_tallies[call.kind].inTarget;
            return;
        }
        const bool notRun = refusal != nullptr && !refusal->mayHaveRun;
        if (call.tries > kind.retries || (!notRun && !kind.repeatable))
            return;
        const core::Duration left = call.first + call.patience - receivedAt;
        const core::Duration wait = refusal != nullptr ? std::min(refusal->retryAfter, left / 3) : core::Duration{};
        if (left.count() > 0)
            schedule(receivedAt + wait, [this, call] { startTry(call); });
    }

    void runSteps(Node& node)
    {
        std::vector<balance::Step> steps;
        node.balancer->takeSteps(steps);
        for (const balance::Step& step : steps)
        {
            switch (step.kind)
            {
            case balance::StepKind::Probe:
                probe(node, step);
                break;
            case balance::StepKind::Forward:
                forward(node, step);
                break;
            case balance::StepKind::Abandon:
                abandon(node, step);
                break;
            case balance::StepKind::Check:
                check(node, step);
                break;
            case balance::StepKind::Answer:
                finishCall(node, step.ticket, node.failed.erase({step.ticket, step.attempt}) == 0, nullptr);
                break;
            case balance::StepKind::Refuse:
                finishCall(node, step.ticket, false, &step.refusal);
                break;
            }
        }
        sendReports(node);
        const auto due = node.balancer->nextDue();
        if (due && *due < node.wakeAt)
        {
            node.wakeAt = std::max(*due, m_now);
            schedule(node.wakeAt,
                     [this, &node, wakeAt = node.wakeAt]
                     {
                         if (node.wakeAt == wakeAt)
                             node.wakeAt = core::Timestamp::max();
                         node.balancer->processDue(m_now);
                         runSteps(node);
                     });
        }
    }

    [[nodiscard]] core::Duration trip(const Node& node, const Server& server) const
    {
        return node.dataCentre == server.model.dataCentre ? m_settings.nearTrip : m_settings.farTrip;
    }

    /// \brief Take a connection to a server, and return the time until a request sent on it arrives
    core::Duration connect(Node& node, const Server& server)
    {
        Connections& list = node.connections[server.model.id];
        prune(list);
        core::Duration time = trip(node, server);
        if (list.idle.empty())
            time = 3 * time + m_settings.handshake;
        else
            list.idle.pop_back();
        ++list.busy;
        reportConnections(node, server, list);
        return time;
    }

    void release(Node& node, const Server& server, bool keep)
    {
        Connections& list = node.connections[server.model.id];
        --list.busy;
        prune(list);
        if (keep)
        {
            list.idle.push_back(m_now);
            schedule(m_now + m_settings.idleTimeout,
                     [this, &node, &server, &list]
                     {
                         prune(list);
                         reportConnections(node, server, list);
                     });
        }
        reportConnections(node, server, list);
    }

    void prune(Connections& list) const
    {
        std::erase_if(list.idle, [this](core::Timestamp since) { return since + m_settings.idleTimeout <= m_now; });
    }

    void reportConnections(Node& node, const Server& server, const Connections& list)
    {
        const auto idle = static_cast<unsigned>(list.idle.size());
        for (const auto& instance : m_declared.instances)
        {
            if (instance.id == server.model.id)
                node.balancer->setConnectionCounts(instance, idle, idle + list.busy);
        }
    }

    [[nodiscard]] bool isCold(const Server& server, core::Timestamp when) const
    {
        return server.model.joined != core::Timestamp{} && when < server.model.joined + m_settings.coldTime;
    }

    [[nodiscard]] core::Duration coldFor(const Server& server) const
    {
        return isCold(server, m_now) ? server.model.joined + m_settings.coldTime - m_now : core::Duration{};
    }

    /// \brief Count an arrival at a cold server
    void countColdArrival(Server& server)
    {
        if (!isCold(server, m_now))
            return;
        server.coldArrivals.push_back(m_now);
        while (server.coldArrivals.front() + std::chrono::seconds{1} <= m_now)
            server.coldArrivals.pop_front();
        m_maxPerSecondAtCold = std::max(m_maxPerSecondAtCold, server.coldArrivals.size());
        ++m_totalAtCold;
    }

    [[nodiscard]] balance::Load loadOf(const Server& server) const
    {
        return {server.running, static_cast<unsigned>(server.waiting.size()), server.model.slots,
                paceOf(server, m_now)};
    }

    [[nodiscard]] double paceOf(const Server& server, core::Timestamp when) const
    {
        const auto    span = static_cast<std::uint64_t>(when.time_since_epoch() / m_settings.noiseSpan);
        std::uint64_t mixed = (span + 1) * 0x9E3779B97F4A7C15ULL + server.salt * 0xBF58476D1CE4E5B9ULL;
        mixed ^= mixed >> 31U;
        mixed *= 0x94D049BB133111EBULL;
        mixed ^= mixed >> 29U;
        const double unit = static_cast<double>(mixed >> 11U) / 9007199254740992.0;
        return (unit < m_settings.noiseShare ? m_settings.noisePace : 1.0) *
               (isCold(server, when) ? m_settings.coldPace : 1.0);
    }

    /// \brief Return when work that starts now is done, with the pace changing while it runs
    [[nodiscard]] core::Timestamp endOf(const Server& server, double workMs) const
    {
        if (m_settings.paceHolds)
            return m_now + core::fromMilliseconds(workMs * paceOf(server, m_now));
        core::Timestamp when = m_now;
        while (true)
        {
            const double pace = paceOf(server, when);
            const auto   next =
                core::Timestamp((when.time_since_epoch() / m_settings.noiseSpan + 1) * m_settings.noiseSpan);
            const double possible = core::toMilliseconds(next - when) / pace;
            if (workMs <= possible)
                return when + core::fromMilliseconds(workMs * pace);
            workMs -= possible;
            when = next;
        }
    }

    void probe(Node& node, const balance::Step& step)
    {
        Server&    server = *m_servers.at(step.instance->id);
        const auto arrivesAt = m_now + connect(node, server);
        schedule(arrivesAt + std::chrono::milliseconds{1},
                 [this, &node, &server, ticket = step.ticket, number = step.attempt, instance = step.instance]
                 {
                     const auto load = loadOf(server);
                     const bool leaving = server.model.leaving;
                     schedule(m_now + trip(node, server),
                              [this, &node, &server, ticket, number, load, leaving, instance]
                              {
                                  if (leaving)
                                      node.balancer->recordNotice(instance, {true, {}},
                                                                  balance::NoticeSource::HealthAnswer, m_now);
                                  const bool refused = server.ended;
                                  release(node, server, !refused);
                                  balance::Outcome outcome;
                                  outcome.end = refused ? balance::AttemptEnd::NotSent : balance::AttemptEnd::Answered;
                                  if (!refused)
                                  {
                                      outcome.status = 200;
                                      outcome.load = load;
                                      outcome.warmUp = coldFor(server);
                                  }
                                  node.balancer->probeEnded(ticket, number, outcome, m_now);
                                  runSteps(node);
                              });
                 });
    }

    void forward(Node& node, const balance::Step& step)
    {
        Server&    server = *m_servers.at(step.instance->id);
        const auto call = node.calls.find(step.ticket);
        if (call != node.calls.end() && call->second.tryIndex < m_tries.size())
        {
            Try& thisTry = m_tries[call->second.tryIndex];
            thisTry.moved =
                thisTry.moved || (!thisTry.firstService.empty() && thisTry.firstService != server.model.service);
            if (thisTry.firstService.empty())
                thisTry.firstService = server.model.service;
        }
        auto work = std::make_shared<Work>();
        work->node = node.index;
        work->server = server.model.id;
        work->instance = step.instance;
        work->ticket = step.ticket;
        work->attempt = step.attempt;
        work->workMs = call == node.calls.end() ? 0 : call->second.workMs;
        work->deadline = step.deadline;
        if (call != node.calls.end())
        {
            work->identity = call->second.identity;
            work->culprit = call->second.culprit;
        }
        node.sent[{step.ticket, step.attempt}] = work;
        schedule(m_now + connect(node, server), [this, &server, work] { arriveAtServer(server, work); });
    }

    void arriveAtServer(Server& server, const std::shared_ptr<Work>& work)
    {
        if (work->dropped)
            return;
        if (server.ended)
            return answer(server, work, balance::AttemptEnd::NotSent, 0);
        work->reached = true;
        if (work->culprit)
            m_culprits[*work->culprit].sends.push_back(m_now);
        ++server.arrivals;
        server.limited.arrivals.push_back(m_now);
        server.noticed.arrivals.emplace_back(work->node, m_now);
        server.limited.senders.push_back(work->node);
        countColdArrival(server);
        server.firstArrival = std::min(server.firstArrival, m_now);
        if (server.model.failing || server.gone)
            return answer(server, work, balance::AttemptEnd::Lost, 0);
        if (server.model.backOff.count() > 0)
            return answer(server, work, balance::AttemptEnd::NotRun, 503);
        if (server.model.rejectedShare > 0 && m_random.unit() < server.model.rejectedShare)
            return answer(server, work, balance::AttemptEnd::NotRun, 503);
        if (server.running < server.model.slots)
            return startWork(server, work);
        if (server.waiting.size() >= server.model.queue)
            return answer(server, work, balance::AttemptEnd::NotRun, 503);
        server.waiting.push_back(work);
    }

    void startWork(Server& server, const std::shared_ptr<Work>& work)
    {
        ++server.running;
        work->running = true;
        const bool aboveKnee = server.running > m_settings.knee * server.model.slots;
        const auto done = endOf(server, work->workMs * (aboveKnee ? m_settings.kneePace : 1));
        const bool inTime = done <= work->deadline;
        schedule(inTime ? done : std::max(m_now, work->deadline),
                 [this, &server, work, inTime]
                 {
                     if (work->dropped)
                         return;
                     if (work->culprit && inTime)
                     {
                         m_culprits[*work->culprit].ends.push_back(m_now);
                         return endServer(server, work.get());
                     }
                     freeSlot(server, work);
                     answer(server, work, balance::AttemptEnd::Answered, inTime ? 200 : 504);
                 });
    }

    void freeSlot(Server& server, const std::shared_ptr<Work>& work)
    {
        work->running = false;
        --server.running;
        while (!server.waiting.empty() && server.running < server.model.slots)
        {
            const auto next = server.waiting.front();
            server.waiting.pop_front();
            if (next->deadline <= m_now)
                answer(server, next, balance::AttemptEnd::NotRun, 503);
            else
                startWork(server, next);
        }
    }

    void answer(Server& server, const std::shared_ptr<Work>& work, balance::AttemptEnd end, unsigned status,
                bool serverEnded = false)
    {
        Node&      node = m_nodes[work->node];
        const auto load = loadOf(server);
        const auto limit = server.model.limit;
        const auto notice = noticeOf(server, *work, end);
        schedule(m_now + trip(node, server),
                 [this, &node, &server, work, end, status, load, limit, notice, serverEnded]
                 {
                     if (!notice.empty())
                         node.balancer->recordNotice(work->instance, notice, balance::NoticeSource::Answer, m_now);
                     if (notice.leaving)
                         server.noticed.leavingReportedAt.emplace(node.index, m_now);
                     if (node.sent.erase({work->ticket, work->attempt}) == 0)
                         return;
                     const bool answered = end == balance::AttemptEnd::Answered || end == balance::AttemptEnd::NotRun;
                     release(node, server, answered);
                     balance::Outcome outcome;
                     outcome.end = end;
                     outcome.status = status;
                     outcome.loss = serverEnded ? balance::LossCause::ResetByServer : balance::LossCause::None;
                     if (m_settings.passesIdentity && (serverEnded || node.balancer->needsRequestIdentity()))
                         outcome.identity = work->identity;
                     if (answered)
                         outcome.load = load;
                     if (answered)
                         outcome.limit = limit.value_or(balance::unlimited);
                     if (answered && limit && !server.limited.limitReportedAt)
                         server.limited.limitReportedAt = m_now;
                     if (answered && limit)
                         server.limited.informedAt.emplace(node.index, m_now);
                     if (end == balance::AttemptEnd::Answered && status >= 500)
                         node.failed.insert({work->ticket, work->attempt});
                     node.balancer->attemptEnded(work->ticket, work->attempt, outcome, m_now);
                     runSteps(node);
                 });
    }

    /// \brief Return the notice on an answer that a server gives now
    balance::ServerNotice noticeOf(Server& server, const Work& work, balance::AttemptEnd end)
    {
        if (end != balance::AttemptEnd::Answered && end != balance::AttemptEnd::NotRun)
            return {};
        const bool rejects = end == balance::AttemptEnd::NotRun && server.model.backOff.count() > 0;
        if (rejects)
            server.noticed.backOffs.push_back({work.node, m_now, server.model.backOff});
        return {server.model.leaving, rejects ? server.model.backOff : core::Duration{}};
    }

    void abandon(Node& node, const balance::Step& step)
    {
        const auto found = node.sent.find({step.ticket, step.attempt});
        if (found == node.sent.end())
            return;
        const auto work = found->second;
        node.sent.erase(found);
        Server& server = *m_servers.at(work->server);
        release(node, server, false);
        drop(server, work);
    }

    void drop(Server& server, const std::shared_ptr<Work>& work)
    {
        const bool running = work->running;
        work->dropped = true;
        std::erase(server.waiting, work);
        if (running)
            freeSlot(server, work);
    }

    static constexpr std::size_t callerAddresses = 300; //!< Number of addresses that ordinary callers use

    ModelSettings                                  m_settings;
    std::vector<KindOfRequest>                     m_kinds;
    core::Random                                   m_random;
    core::Random                                   m_retryRandom{1}; //!< For reports on the retry budget
    core::Timestamp                                m_now{std::chrono::hours{1}};
    deployment::DeclaredState                      m_declared;
    std::map<std::string, std::unique_ptr<Server>> m_servers;
    std::deque<Node>                               m_nodes;
    std::priority_queue<Event>                     m_events;
    std::vector<Tally>                             m_tallies;
    std::vector<Try>                               m_tries;
    core::Timestamp                                m_countSince{};
    std::size_t                                    m_maxPerSecondAtCold{0};
    std::size_t                                    m_totalAtCold{0};
    balance::Ticket                                m_ticket{0};
    std::uint64_t                                  m_eventCount{0};
    std::deque<ModelCulprit>                       m_culprits;
    std::size_t                                    m_wronglyRefused{0};
    std::map<std::uint32_t, LimitReport>           m_limitReports; //!< Last report, by `lifeHash` of the server
    std::uint64_t                                  m_contentCount{0};
};

} // namespace sailpath::support

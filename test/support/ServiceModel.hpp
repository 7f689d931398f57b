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
/// \brief Balancers of many nodes before the same servers, with callers, in virtual time
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
            event.work();
        }
        m_now = until;
    }

    /// \brief Let a server's first entry be known everywhere now
    void join(ModelServer server)
    {
        server.joined = m_now;
        addServer(std::move(server));
        declareAnew();
    }

    /// \brief Let a node begin a new life, which knows nothing; its requests end without an answer
    void restart(std::size_t index)
    {
        Node& node = m_nodes[index];
        node.wake = core::Timestamp::max();
        startBalancer(node);
        for (const auto& [key, work] : std::exchange(node.sent, {}))
        {
            release(node, *m_servers.at(work->server), false);
            drop(*m_servers.at(work->server), work);
        }
        node.calls.clear();
        node.failed.clear();
        hearOfLimits(node);
        for (auto& [id, connections] : node.connections)
            connections.idle.clear();
    }

    /// \brief Let a server be gone at once, with all that it works on
    void lose(const std::string& id)
    {
        m_servers.at(id)->gone = true;
        declareAnew();
    }

    /// \brief Let a server that was lost be there again, empty
    void bringBack(const std::string& id)
    {
        m_servers.at(id)->gone = false;
        declareAnew();
    }

    /// \brief Let a server name a limit in its answers from now on, or none any more
    void setLimit(const std::string& id, std::optional<double> perSecond)
    {
        m_servers.at(id)->model.limit = perSecond;
    }

    /// \brief Let a server say in all its answers from now on that it shuts down; its entry does not tell
    void setLeaving(const std::string& id)
    {
        m_servers.at(id)->model.leaving = true;
    }

    /// \brief Let a server turn all requests away from now on and ask for none for a while; 0: it takes them again
    void setBackOff(const std::string& id, core::Duration backOff)
    {
        m_servers.at(id)->model.backOff = backOff;
    }

    /// \brief Let a server end at once, by itself; another one takes its place
    void end(const std::string& id)
    {
        endServer(*m_servers.at(id), nullptr);
    }

    /// \brief Let a server end at once and start again under its id
    void startAgain(const std::string& id, core::Duration after)
    {
        Server& server = *m_servers.at(id);
        loseAll(server, nullptr);
        at(m_now + after,
           [this, &server]
           {
               server.ended = false;
               server.model.joined = m_now;
               ++server.born;
               declareAnew();
           });
    }

    /// \brief Let a caller send a request that ends the servers that run it, again and again
    ///
    /// \param kind  Of the request
    /// \param every From one series of tries to the next
    /// \param moves The caller has another address each time
    std::size_t sendCulprit(std::size_t kind, core::Duration every, bool moves)
    {
        m_culprits.emplace_back();
        const std::size_t index = m_culprits.size() - 1;
        comeAgain(kind, every, moves, index);
        return index;
    }

    [[nodiscard]] const ModelCulprit& culprit(std::size_t index) const
    {
        return m_culprits[index];
    }
    [[nodiscard]] std::size_t wronglyRefused() const //!< Other requests that were refused as ending servers
    {
        return m_wronglyRefused;
    }
    [[nodiscard]] std::vector<std::string> present() const //!< Servers that run
    {
        std::vector<std::string> ids;
        for (const auto& [id, server] : m_servers)
        {
            if (!server->gone && !server->ended)
                ids.push_back(id);
        }
        return ids;
    }

    /// \brief Forget what was counted so far
    void beginCount()
    {
        m_tallies.assign(m_kinds.size(), {});
        m_tries.clear();
        m_countFrom = m_now;
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
    [[nodiscard]] std::size_t mostAtCold() const //!< Requests that one cold server got within a second
    {
        return m_mostAtCold;
    }
    [[nodiscard]] std::size_t allAtCold() const //!< Requests that cold servers got
    {
        return m_allAtCold;
    }
    [[nodiscard]] std::size_t got(const std::string& server) const
    {
        return m_servers.at(server)->got;
    }
    [[nodiscard]] const ModelLimited& limited(const std::string& server) const
    {
        return m_servers.at(server)->limited;
    }
    [[nodiscard]] const ModelNoticed& noticed(const std::string& server) const
    {
        return m_servers.at(server)->noticed;
    }
    [[nodiscard]] core::Timestamp firstGot(const std::string& server) const
    {
        return m_servers.at(server)->firstGot;
    }

private:
    struct Event
    {
        core::Timestamp       at{};
        std::uint64_t         number{0};
        std::function<void()> work;

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
        bool            reached{false}; //!< Its server

        std::shared_ptr<const deployment::Instance> instance; //!< That it was sent to
        deployment::RequestIdentity                 identity;
        std::optional<std::size_t>                  culprit; //!< It ends its server
    };

    struct Server
    {
        ModelServer                       model;
        bool                              gone{false};
        std::uint64_t                     born{1};
        bool                              ended{false}; //!< By itself; its entry may still stand
        std::uint64_t                     salt{0};
        unsigned                          running{0};
        std::deque<std::shared_ptr<Work>> waiting;
        std::size_t                       got{0};
        std::deque<core::Timestamp>       gotCold; //!< In the last second
        core::Timestamp                   firstGot{core::Timestamp::max()};
        ModelLimited                      limited;
        ModelNoticed                      noticed;
    };

    /// \brief What relays know of a limited server
    struct LimitWord
    {
        double          perSecond{0};
        core::Timestamp at{};
        double          doublings{0};
    };

    struct Connections
    {
        std::vector<core::Timestamp> idle; //!< Since when
        unsigned                     busy{0};
    };

    struct Call
    {
        core::Duration  patience{};
        std::size_t     kind{0};
        core::Timestamp first{};
        unsigned        tries{0};
        double          workMs{0};
        std::size_t     tryAt{0};
        std::uint64_t   countedIn{0};

        deployment::RequestIdentity identity;
        std::optional<std::size_t>  culprit; //!< It ends servers
    };

    struct Node
    {
        std::size_t                                                           index{0};
        std::string                                                           dataCentre;
        std::unique_ptr<balance::Balancer>                                    balancer;
        std::map<std::string, Connections>                                    connections;
        std::map<std::pair<balance::Ticket, unsigned>, std::shared_ptr<Work>> sent;
        std::map<balance::Ticket, Call>                                       calls;
        std::set<std::pair<balance::Ticket, unsigned>>                        failed; //!< Answers that are no success
        core::Timestamp                                                       wake{core::Timestamp::max()};
    };

    void at(core::Timestamp time, std::function<void()> work)
    {
        m_events.push({time, ++m_number, std::move(work)});
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

    void declareAnew()
    {
        declare();
        for (Node& node : m_nodes)
        {
            node.balancer->configure(declaredTo(node), m_now);
            take(node);
        }
    }

    /// \brief What is declared, with the members that a node knows
    [[nodiscard]] deployment::DeclaredState declaredTo(const Node& node) const
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
        node.balancer->configure(declaredTo(node), m_now);
    }

    void nextArrival(std::size_t kind)
    {
        const double gapMs = m_random.exponential(1000 / m_kinds[kind].perSecond);
        at(m_now + core::fromMilliseconds(gapMs),
           [this, kind]
           {
               Call call;
               call.kind = kind;
               call.first = m_now;
               call.patience = m_kinds[kind].patience;
               if (m_kinds[kind].patienceSpread > 0)
                   call.patience -= core::fromMilliseconds(core::toMilliseconds(call.patience) *
                                                           m_kinds[kind].patienceSpread * m_random.unit());
               call.workMs = m_kinds[kind].workMs * std::exp(0.3 * gauss() - 0.045);
               call.countedIn = static_cast<std::uint64_t>(m_countFrom.time_since_epoch().count());
               ++m_contents;
               call.identity = identityOf("request " + std::to_string(m_contents), m_contents % callers);
               ++m_tallies[kind].owed;
               attempt(call);
               nextArrival(kind);
           });
    }

    static deployment::RequestIdentity identityOf(const std::string& text, std::size_t caller)
    {
        const std::array<std::string_view, 1> content{text};
        return {core::contentHash(content), static_cast<std::uint32_t>(caller)};
    }

    void comeAgain(std::size_t kind, core::Duration every, bool moves, std::size_t index)
    {
        Call call;
        call.kind = kind;
        call.first = m_now;
        call.patience = m_kinds[kind].patience;
        call.workMs = m_kinds[kind].workMs;
        call.identity = identityOf("culprit " + std::to_string(index), callers + (moves ? m_random.below(callers) : 0));
        call.culprit = index;
        attempt(call);
        at(m_now + every, [this, kind, every, moves, index] { comeAgain(kind, every, moves, index); });
    }

    /// \brief A server ends with all that it works on
    void endServer(Server& server, const Work* cause)
    {
        loseAll(server, cause);
        at(m_now + m_settings.lapse, [this, id = server.model.id] { lose(id); });
        ModelServer next = server.model;
        next.id = "again-" + std::to_string(++m_contents);
        at(m_now + m_settings.comesBack, [this, next] { join(next); });
    }

    void loseAll(Server& server, const Work* cause)
    {
        server.ended = true;
        server.running = 0;
        server.waiting.clear();
        for (Node& node : m_nodes)
        {
            node.connections[server.model.id].idle.clear();
            tell(node, server, node.connections[server.model.id]);
            std::vector<std::shared_ptr<Work>> lost;
            for (const auto& [key, work] : node.sent)
            {
                if (work->server == server.model.id && work->reached)
                    lost.push_back(work);
            }
            for (const auto& work : lost)
            {
                if (cause != nullptr && work.get() != cause)
                    ++m_culprits[*cause->culprit].beside;
                work->dropped = true;
                answer(server, work, balance::AttemptEnd::Lost, 0, true);
            }
        }
    }

    void tellLimits(Node& node)
    {
        std::vector<deployment::LimitReport> news = node.balancer->takeLimitNews();
        if (news.empty() || m_settings.newsWay.count() == 0)
            return;
        for (const deployment::LimitReport& one : news)
            m_limitWords[one.server] = {one.perSecond, m_now - one.ago, one.doublings};
        for (Node& other : m_nodes)
        {
            if (other.index == node.index)
                continue;
            const double way = core::toMilliseconds(m_settings.newsWay) * (0.25 + 0.75 * m_random.unit());
            at(m_now + core::fromMilliseconds(way),
               [this, &other, news]
               {
                   other.balancer->heardLimits(news, m_now);
                   take(other);
               });
        }
    }

    /// \brief Let a new life hear, with its first copy, what is known of limited servers
    void hearOfLimits(Node& node)
    {
        std::vector<deployment::LimitReport> news;
        for (const auto& [server, word] : m_limitWords)
            news.push_back({0, server, word.perSecond, m_now - word.at, 0, word.doublings});
        node.balancer->heardLimits(news, m_now);
    }

    void tellNews(Node& node)
    {
        tellLimits(node);
        deployment::CrashReport news = node.balancer->takeCrashNews();
        if (news.empty() || m_settings.newsWay.count() == 0)
            return;
        for (deployment::ServerCrash& end : news.ends)
            end.node = memberHash(node.index);
        for (Node& other : m_nodes)
        {
            if (other.index == node.index)
                continue;
            const double way = core::toMilliseconds(m_settings.newsWay) * (0.25 + 0.75 * m_random.unit());
            at(m_now + core::fromMilliseconds(way),
               [this, &other, news]
               {
                   other.balancer->heardCrashes(news, m_now);
                   take(other);
               });
        }
    }

    void check(Node& node, const balance::Step& step)
    {
        Server& server = *m_servers.at(step.instance->id);
        at(m_now + 2 * trip(node, server),
           [this, &node, &server, instance = step.instance]
           {
               const bool refuses = server.ended || server.gone;
               node.balancer->checked(*instance,
                                      refuses ? balance::CheckResult::Refuses : balance::CheckResult::Accepts, m_now);
               take(node);
           });
    }

    double gauss()
    {
        double sum = -6;
        for (int i = 0; i < 12; ++i)
            sum += m_random.unit();
        return sum;
    }

    void attempt(Call call)
    {
        const bool        first = m_settings.skew > 0 && m_random.unit() < m_settings.skew;
        const std::size_t node = first ? 0 : m_random.below(m_nodes.size());
        at(m_now + m_settings.clientTrip, [this, call, node] { arrive(m_nodes[node], call); });
    }

    void arrive(Node& node, Call call)
    {
        const KindOfRequest&  kind = m_kinds[call.kind];
        const balance::Ticket ticket = ++m_ticket;
        const auto            target = "/" + kind.name + "/1";
        call.tryAt = m_tries.size();
        m_tries.push_back({call.kind, m_now, {}, call.tries > 0, false});
        ++call.tries;
        node.calls[ticket] = call;
        balance::Arrival arrival{"a.example", target, m_now, call.patience - (m_now - call.first), {}};
        if (m_settings.knowsRequests && node.balancer->looksUpRequests())
            arrival.identity = call.identity;
        node.balancer->admit(ticket, arrival, m_now);
        take(node);
    }

    void finished(Node& node, balance::Ticket ticket, bool success, const balance::Refusal* refusal)
    {
        const auto found = node.calls.find(ticket);
        if (found == node.calls.end())
            return;
        Call call = found->second;
        node.calls.erase(found);
        const KindOfRequest& kind = m_kinds[call.kind];
        const auto           heard = m_now + m_settings.clientTrip;
        const bool counts = call.countedIn == static_cast<std::uint64_t>(m_countFrom.time_since_epoch().count());
        if (refusal != nullptr && refusal->reason == balance::RefusalReason::EndsServers && !call.culprit)
            ++m_wronglyRefused;
        if (success)
        {
            if (counts && heard <= call.first + call.patience)
                ++m_tallies[call.kind].served;
            if (counts && heard <= call.first + kind.target)
                ++m_tallies[call.kind].inTarget;
            return;
        }
        const bool promised = refusal != nullptr && !refusal->mayHaveRun;
        if (call.tries > kind.retries || (!promised && !kind.repeatable))
            return;
        const core::Duration left = call.first + call.patience - heard;
        const core::Duration wait = refusal != nullptr ? std::min(refusal->comeBack, left / 3) : core::Duration{};
        if (left.count() > 0)
            at(heard + wait, [this, call] { attempt(call); });
    }

    void take(Node& node)
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
                finished(node, step.ticket, node.failed.erase({step.ticket, step.attempt}) == 0, nullptr);
                break;
            case balance::StepKind::Refuse:
                finished(node, step.ticket, false, &step.refusal);
                break;
            }
        }
        tellNews(node);
        const auto due = node.balancer->nextDue();
        if (due && *due < node.wake)
        {
            node.wake = std::max(*due, m_now);
            at(node.wake,
               [this, &node, wake = node.wake]
               {
                   if (node.wake == wake)
                       node.wake = core::Timestamp::max();
                   node.balancer->due(m_now);
                   take(node);
               });
        }
    }

    [[nodiscard]] core::Duration trip(const Node& node, const Server& server) const
    {
        return node.dataCentre == server.model.dataCentre ? m_settings.nearTrip : m_settings.farTrip;
    }

    /// \brief Take a connection to a server; the time until a request sent on it arrives
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
        tell(node, server, list);
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
            at(m_now + m_settings.connectionRest,
               [this, &node, &server, &list]
               {
                   prune(list);
                   tell(node, server, list);
               });
        }
        tell(node, server, list);
    }

    void prune(Connections& list) const
    {
        std::erase_if(list.idle, [this](core::Timestamp since) { return since + m_settings.connectionRest <= m_now; });
    }

    void tell(Node& node, const Server& server, const Connections& list)
    {
        const auto idle = static_cast<unsigned>(list.idle.size());
        for (const auto& instance : m_declared.instances)
        {
            if (instance.id == server.model.id)
                node.balancer->connections(instance, idle, idle + list.busy);
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

    /// \brief Count what a cold server got within a second
    void countCold(Server& server)
    {
        if (!isCold(server, m_now))
            return;
        server.gotCold.push_back(m_now);
        while (server.gotCold.front() + std::chrono::seconds{1} <= m_now)
            server.gotCold.pop_front();
        m_mostAtCold = std::max(m_mostAtCold, server.gotCold.size());
        ++m_allAtCold;
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

    /// \brief When work that begins now is done, with the pace changing under way
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
        const auto there = m_now + connect(node, server);
        at(there + std::chrono::milliseconds{1},
           [this, &node, &server, ticket = step.ticket, number = step.attempt, instance = step.instance]
           {
               const auto load = loadOf(server);
               const bool leaving = server.model.leaving;
               at(m_now + trip(node, server),
                  [this, &node, &server, ticket, number, load, leaving, instance]
                  {
                      if (leaving)
                          node.balancer->noticed(instance, {true, {}}, balance::NoticeSource::HealthAnswer, m_now);
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
                      node.balancer->probed(ticket, number, outcome, m_now);
                      take(node);
                  });
           });
    }

    void forward(Node& node, const balance::Step& step)
    {
        Server&    server = *m_servers.at(step.instance->id);
        const auto call = node.calls.find(step.ticket);
        if (call != node.calls.end() && call->second.tryAt < m_tries.size())
        {
            Try& made = m_tries[call->second.tryAt];
            made.moved = made.moved || (!made.firstService.empty() && made.firstService != server.model.service);
            if (made.firstService.empty())
                made.firstService = server.model.service;
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
        at(m_now + connect(node, server), [this, &server, work] { reach(server, work); });
    }

    void reach(Server& server, const std::shared_ptr<Work>& work)
    {
        if (work->dropped)
            return;
        if (server.ended)
            return answer(server, work, balance::AttemptEnd::NotSent, 0);
        work->reached = true;
        if (work->culprit)
            m_culprits[*work->culprit].sends.push_back(m_now);
        ++server.got;
        server.limited.got.push_back(m_now);
        server.noticed.got.emplace_back(work->node, m_now);
        server.limited.from.push_back(work->node);
        countCold(server);
        server.firstGot = std::min(server.firstGot, m_now);
        if (server.model.failing || server.gone)
            return answer(server, work, balance::AttemptEnd::Lost, 0);
        if (server.model.backOff.count() > 0)
            return answer(server, work, balance::AttemptEnd::NotRun, 503);
        if (server.running < server.model.slots)
            return begin(server, work);
        if (server.waiting.size() >= server.model.queue)
            return answer(server, work, balance::AttemptEnd::NotRun, 503);
        server.waiting.push_back(work);
    }

    void begin(Server& server, const std::shared_ptr<Work>& work)
    {
        ++server.running;
        work->running = true;
        const bool crowded = server.running > m_settings.knee * server.model.slots;
        const auto done = endOf(server, work->workMs * (crowded ? m_settings.kneePace : 1));
        const bool inTime = done <= work->deadline;
        at(inTime ? done : std::max(m_now, work->deadline),
           [this, &server, work, inTime]
           {
               if (work->dropped)
                   return;
               if (work->culprit && inTime)
               {
                   m_culprits[*work->culprit].ends.push_back(m_now);
                   return endServer(server, work.get());
               }
               leave(server, work);
               answer(server, work, balance::AttemptEnd::Answered, inTime ? 200 : 504);
           });
    }

    void leave(Server& server, const std::shared_ptr<Work>& work)
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
                begin(server, next);
        }
    }

    void answer(Server& server, const std::shared_ptr<Work>& work, balance::AttemptEnd end, unsigned status,
                bool serverEnded = false)
    {
        Node&      node = m_nodes[work->node];
        const auto load = loadOf(server);
        const auto limit = server.model.limit;
        const auto notice = noticeOf(server, *work, end);
        at(m_now + trip(node, server),
           [this, &node, &server, work, end, status, load, limit, notice, serverEnded]
           {
               if (!notice.empty())
                   node.balancer->noticed(work->instance, notice, balance::NoticeSource::Answer, m_now);
               if (notice.leaving)
                   server.noticed.toldLeft.emplace(node.index, m_now);
               if (node.sent.erase({work->ticket, work->attempt}) == 0)
                   return;
               const bool answered = end == balance::AttemptEnd::Answered || end == balance::AttemptEnd::NotRun;
               release(node, server, answered);
               balance::Outcome outcome;
               outcome.end = end;
               outcome.status = status;
               outcome.connectionEnded = serverEnded;
               if (m_settings.knowsRequests && (serverEnded || node.balancer->looksUpRequests()))
                   outcome.identity = work->identity;
               if (answered)
                   outcome.load = load;
               if (answered)
                   outcome.limit = limit.value_or(balance::unlimited);
               if (answered && limit && !server.limited.toldAt)
                   server.limited.toldAt = m_now;
               if (answered && limit)
                   server.limited.told.emplace(node.index, m_now);
               if (end == balance::AttemptEnd::Answered && status >= 500)
                   node.failed.insert({work->ticket, work->attempt});
               node.balancer->attemptEnded(work->ticket, work->attempt, outcome, m_now);
               take(node);
           });
    }

    /// \brief What an answer that a server gives now says of the requests that it wants
    balance::ServerNotice noticeOf(Server& server, const Work& work, balance::AttemptEnd end)
    {
        if (end != balance::AttemptEnd::Answered && end != balance::AttemptEnd::NotRun)
            return {};
        const bool turnsAway = end == balance::AttemptEnd::NotRun && server.model.backOff.count() > 0;
        if (turnsAway)
            server.noticed.backOffs.push_back({work.node, m_now, server.model.backOff});
        return {server.model.leaving, turnsAway ? server.model.backOff : core::Duration{}};
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
            leave(server, work);
    }

    static constexpr std::size_t callers = 300; //!< Addresses of them

    ModelSettings                                  m_settings;
    std::vector<KindOfRequest>                     m_kinds;
    core::Random                                   m_random;
    core::Timestamp                                m_now{std::chrono::hours{1}};
    deployment::DeclaredState                      m_declared;
    std::map<std::string, std::unique_ptr<Server>> m_servers;
    std::deque<Node>                               m_nodes;
    std::priority_queue<Event>                     m_events;
    std::vector<Tally>                             m_tallies;
    std::vector<Try>                               m_tries;
    core::Timestamp                                m_countFrom{};
    std::size_t                                    m_mostAtCold{0};
    std::size_t                                    m_allAtCold{0};
    balance::Ticket                                m_ticket{0};
    std::uint64_t                                  m_number{0};
    std::deque<ModelCulprit>                       m_culprits;
    std::size_t                                    m_wronglyRefused{0};
    std::map<std::uint32_t, LimitWord>             m_limitWords; //!< Told last, by hash of the server's life
    std::uint64_t                                  m_contents{0};
};

} // namespace sailpath::support

#pragma once

#include <support/OneRouteFixture.hpp>

#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief One node, one route and servers of some slots whose work changes, in virtual time
////////////////////////////////////////////////////////////
struct RelearningFixture : OneRouteFixture
{
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

    struct Server
    {
        unsigned                           running{0};
        std::vector<std::function<void()>> waiting;
    };

    struct Tally
    {
        unsigned requests{0};
        unsigned answered{0};
    };

    RelearningFixture(core::Duration timeout, unsigned serverCount, unsigned slotsPerServer, bool probes) :
    OneRouteFixture(timeout, 2, serverCount),
    slots(slotsPerServer)
    {
        auto deployment = std::make_shared<deployment::Deployment>(*declared.deployment);
        deployment->routes.front().targetLatency = timeout / 2;
        if (probes)
            deployment->services.front().healthPath = "/health";
        declared.deployment = deployment;
        for (deployment::Instance& instance : declared.instances)
            instance.slots = slots;
    }

    void start()
    {
        balancer.configure(declared, now);
    }

    void schedule(core::Duration after, std::function<void()> action)
    {
        events.push({now + after, ++eventCount, std::move(action)});
    }

    /// \brief Run all that is due within `time`
    void run(core::Duration time)
    {
        const core::Timestamp until = now + time;
        while (true)
        {
            const auto due = balancer.nextDue();
            const bool wakes = due && *due <= until && (events.empty() || *due <= events.top().at);
            if (wakes)
            {
                now = std::max<core::Timestamp>(now, *due);
                balancer.processDue(now);
            }
            else if (!events.empty() && events.top().at <= until)
            {
                const Event event = events.top();
                events.pop();
                now = event.at;
                event.action();
            }
            else
                break;
            perform();
        }
        now = until;
    }

    /// \brief Let a caller send `count` requests, the next `pause` after the answer, or after what a refusal says
    void call(unsigned count, core::Duration pause, Tally& tally)
    {
        if (count == 0)
            return;
        const balance::Ticket ticket = ++lastTicket;
        ++tally.requests;
        ended[ticket] = [this, count, pause, &tally](bool answered, core::Duration retryAfter)
        {
            tally.answered += answered ? 1 : 0;
            schedule(answered ? pause : std::max(pause, retryAfter),
                     [this, count, pause, &tally] { call(count - 1, pause, tally); });
        };
        balancer.admit(ticket, {"a.example", "/read/1", now, route().timeout, {}, {}, true}, now);
        perform();
    }

    const deployment::HostRoute& route() const
    {
        return declared.deployment->routes.front();
    }

    void perform()
    {
        for (const balance::Step& step : steps())
        {
            if (step.kind == balance::StepKind::Forward)
                arrive(step);
            else if (step.kind == balance::StepKind::Probe)
                probe(step);
            else if (step.kind == balance::StepKind::Answer || step.kind == balance::StepKind::Refuse)
            {
                const auto finish = ended.extract(step.ticket);
                if (!finish.empty())
                    finish.mapped()(step.kind == balance::StepKind::Answer, step.refusal.retryAfter);
            }
        }
    }

    void probe(const balance::Step& step)
    {
        schedule(std::chrono::milliseconds{1},
                 [this, step]
                 {
                     balance::Outcome outcome;
                     outcome.end = balance::AttemptEnd::Answered;
                     outcome.status = 200;
                     outcome.load = loadOf(servers[step.instance->id]);
                     balancer.probeEnded(step.ticket, step.attempt, outcome, now);
                 });
    }

    balance::Load loadOf(const Server& server) const
    {
        return {server.running, static_cast<unsigned>(server.waiting.size()), slots, 1};
    }

    void arrive(const balance::Step& step)
    {
        ++sends;
        Server&    server = servers[step.instance->id];
        const auto begin = [this, step, &server]
        {
            ++server.running;
            schedule(work(),
                     [this, step, &server]
                     {
                         --server.running;
                         if (!server.waiting.empty())
                         {
                             const auto next = server.waiting.front();
                             server.waiting.erase(server.waiting.begin());
                             next();
                         }
                         balance::Outcome outcome;
                         outcome.end = balance::AttemptEnd::Answered;
                         outcome.status = 200;
                         outcome.load = loadOf(server);
                         balancer.attemptEnded(step.ticket, step.attempt, outcome, now);
                     });
        };
        if (server.running < slots)
            begin();
        else
            server.waiting.emplace_back(begin);
    }

    unsigned                        slots;
    std::function<core::Duration()> work; //!< Time that a server takes for a request that begins now
    std::map<std::string, Server>   servers;
    std::priority_queue<Event>      events;
    std::uint64_t                   eventCount{0};
    balance::Ticket                 lastTicket{0};
    unsigned                        sends{0}; //!< Requests sent to servers
    std::map<balance::Ticket, std::function<void(bool, core::Duration)>> ended;
};

} // namespace sailpath::support

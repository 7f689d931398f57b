#include <sailpath/balance/Balancer.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <set>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using balance::AttemptEnd;
using balance::Load;
using balance::Outcome;
using balance::Step;
using balance::StepKind;
using balance::Ticket;

constexpr unsigned       attempts = 2;
constexpr core::Duration timeout = 900ms;
constexpr core::Duration window = 10s;
constexpr double         ratio = 0.05;
constexpr double         extra = 10;
constexpr double         probeRate = 20;

////////////////////////////////////////////////////////////
/// \brief Simulates several nodes with the same servers in virtual time and checks what the nodes do against the rules
////////////////////////////////////////////////////////////
class Model
{
public:
    explicit Model(std::uint64_t seed) :
    m_random(seed)
    {
        auto deployment = std::make_shared<deployment::Deployment>();
        for (const bool repeatable : {true, false})
        {
            deployment::HostRoute route;
            route.name = repeatable ? "read" : "pay";
            route.host = "a.example";
            route.pathPrefix = "/" + route.name + "/";
            route.repeatable = repeatable;
            route.timeout = timeout;
            route.targetLatency = 250ms;
            route.attempts = attempts;
            route.parts = {{"portal", 1}};
            deployment->routes.push_back(route);
        }
        deployment->services = {{"portal", "/health", 60}};
        m_declared.deployment = deployment;
        m_declared.nodes = nodes;
        for (int i = 0; i < 6; ++i)
            addServer();
        for (auto& node : m_nodes)
            restart(node);
    }

    void run(core::Duration time)
    {
        const core::Timestamp until = m_now + time;
        while (m_now < until)
        {
            m_now += 1ms;
            injectChanges();
            for (auto& node : m_nodes)
            {
                if (m_random.unit() < (m_burst ? 0.08 : 0.02))
                    admitRequest(node);
                advanceNode(node);
            }
        }
    }

    void check() const
    {
        BOOST_TEST(m_violation.empty(), m_violation);
        for (core::Timestamp from = m_start; from < m_now; from += 500ms)
        {
            const auto within = [&](const std::vector<core::Timestamp>& times, core::Duration earlier = {})
            {
                return static_cast<double>(std::count_if(
                    times.begin(), times.end(),
                    [&](core::Timestamp time) { return time >= from - earlier && time < from - earlier + window; }));
            };
            // A retry follows its request within one window, so the busiest of the possible windows counts.
            const double requests =
                std::max({within(m_arrivals), within(m_arrivals, window), within(m_arrivals, window / 2)});
            BOOST_TEST(within(m_retries) <= ratio * requests + extra);
        }
        const double seconds = core::toSeconds(m_now - m_start);
        BOOST_TEST(static_cast<double>(m_probeCount) <=
                   probeRate * static_cast<double>(m_declared.instances.size()) * (seconds + 4));
        BOOST_TEST(m_answerCount > 0U);
    }

private:
    static constexpr unsigned nodes = 4;

    struct Sent
    {
        core::Timestamp endsAt;
        Outcome         outcome;
        bool            probe;
    };

    struct Node
    {
        std::unique_ptr<balance::Balancer>          balancer;
        std::map<std::pair<Ticket, unsigned>, Sent> sent;
        std::map<std::pair<Ticket, unsigned>, Sent> probes;
        std::map<Ticket, core::Timestamp>           open;
        std::map<Ticket, std::set<std::string>>     possiblyRan;
        std::map<Ticket, unsigned>                  sendCount;
        std::set<Ticket>                            notRepeatable;
    };

    void addServer()
    {
        m_declared.instances.push_back({"i-" + std::to_string(m_nextServer++),
                                        "portal",
                                        "10.0.0.1",
                                        80,
                                        m_random.unit() < 0.5 ? "dc" : "far",
                                        3,
                                        false,
                                        {}});
    }

    void restart(Node& node)
    {
        node = Node{};
        balance::Settings settings;
        settings.dataCentre = "dc";
        settings.retryRatio = ratio;
        settings.retryExtra = extra;
        settings.retryWindow = window;
        settings.probeRate = probeRate;
        settings.seed = m_random.below(1'000'000);
        node.balancer = std::make_unique<balance::Balancer>(settings, m_now);
        node.balancer->configure(m_declared, m_now);
    }

    void injectChanges()
    {
        if (m_random.unit() < 0.0005)
            m_burst = !m_burst;
        if (m_random.unit() < 0.0005)
            m_failureRate = m_random.unit();
        if (m_random.unit() < 0.0003)
            restart(m_nodes[m_random.below(nodes)]);
        if (m_random.unit() < 0.0005)
        {
            const auto index = m_random.below(m_declared.instances.size());
            m_drained.insert(m_declared.instances[index].id);
            m_declared.instances[index].draining = true;
            addServer();
            for (auto& node : m_nodes)
                node.balancer->configure(m_declared, m_now);
        }
    }

    void admitRequest(Node& node)
    {
        const Ticket ticket = m_nextTicket++;
        const bool   once = m_random.unit() < 0.3;
        node.open[ticket] = m_now;
        if (once)
            node.notRepeatable.insert(ticket);
        m_arrivals.push_back(m_now);
        node.balancer->admit(ticket, {"a.example", once ? "/pay/1" : "/read/1", m_now, 2s}, m_now);
        applySteps(node);
    }

    void advanceNode(Node& node)
    {
        for (auto* list : {&node.probes, &node.sent})
        {
            for (auto item = list->begin(); item != list->end();)
            {
                if (item->second.endsAt > m_now)
                {
                    ++item;
                    continue;
                }
                const auto key = item->first;
                const Sent sent = item->second;
                item = list->erase(item);
                if (sent.probe)
                    node.balancer->probeEnded(key.first, key.second, sent.outcome, m_now);
                else
                {
                    if (sent.outcome.end == AttemptEnd::NotRun)
                        node.possiblyRan[key.first].erase(std::to_string(key.second));
                    node.balancer->attemptEnded(key.first, key.second, sent.outcome, m_now);
                }
                applySteps(node);
                item = list->begin();
            }
        }
        if (!node.open.empty() && m_random.unit() < 0.002)
        {
            node.balancer->callerLeft(node.open.begin()->first, m_now);
            node.open.erase(node.open.begin());
            applySteps(node);
        }
        if (const auto due = node.balancer->nextDue(); due && *due <= m_now)
        {
            node.balancer->processDue(m_now);
            applySteps(node);
        }
        for (const auto& [ticket, since] : node.open)
        {
            if (m_now - since > timeout + 5ms)
                m_violation = "a request was held longer than the timeout of its route";
        }
    }

    void applySteps(Node& node)
    {
        std::vector<Step> steps;
        node.balancer->takeSteps(steps);
        for (const Step& step : steps)
        {
            const std::pair<Ticket, unsigned> key{step.ticket, step.attempt};
            switch (step.kind)
            {
            case StepKind::Probe:
                ++m_probeCount;
                node.probes[key] = {m_now + 1ms + core::Duration(m_random.below(4000)), outcome(true), true};
                break;
            case StepKind::Forward:
                sent(node, step);
                break;
            case StepKind::Check:
                break; // No connection ends in this model
            case StepKind::Abandon:
                node.sent.erase(key);
                break;
            case StepKind::Answer:
                ++m_answerCount;
                node.open.erase(step.ticket);
                break;
            case StepKind::Refuse:
                if (!step.refusal.mayHaveRun && !node.possiblyRan[step.ticket].empty())
                    m_violation = "a refusal states that a request did not run although it may have";
                node.open.erase(step.ticket);
                break;
            }
        }
    }

    void sent(Node& node, const Step& step)
    {
        auto& ran = node.possiblyRan[step.ticket];
        if (node.notRepeatable.contains(step.ticket) && !ran.empty())
            m_violation = "a request that may not be repeated was sent again while it may have run";
        if (m_drained.contains(step.instance->id))
            m_violation = "a draining server got a request";
        Sent entry{m_now + 20ms + core::Duration(m_random.below(m_random.unit() < m_failureRate ? 2'000'000 : 200'000)),
                   outcome(false), false};
        const bool reached = entry.outcome.end != AttemptEnd::NotSent;
        if (reached)
        {
            ran.insert(std::to_string(step.attempt));
            if (++node.sendCount[step.ticket] > attempts)
                m_violation = "a request was sent more often than allowed";
            if (node.sendCount[step.ticket] > 1)
                m_retries.push_back(m_now);
        }
        node.sent[{step.ticket, step.attempt}] = entry;
    }

    Outcome outcome(bool probe)
    {
        Outcome result;
        result.end = AttemptEnd::Answered;
        result.status = 200;
        result.load = Load{static_cast<unsigned>(m_random.below(4)), static_cast<unsigned>(m_random.below(3)), 3,
                           m_random.unit() < 0.35 ? 5.0 : 1.0};
        if (m_random.unit() > m_failureRate)
            return result;
        result.load.reset();
        const auto failureKind = m_random.below(probe ? 2 : 4);
        result.end = failureKind == 0   ? AttemptEnd::Lost
                     : failureKind == 1 ? AttemptEnd::NotSent
                     : failureKind == 2 ? AttemptEnd::NotRun
                                        : AttemptEnd::Answered;
        result.status = failureKind == 3 ? 500 : 0;
        return result;
    }

    core::Random                 m_random;
    core::Timestamp              m_start{1h};
    core::Timestamp              m_now{1h};
    deployment::DeclaredState    m_declared;
    std::array<Node, nodes>      m_nodes;
    std::set<std::string>        m_drained;
    std::vector<core::Timestamp> m_arrivals;
    std::vector<core::Timestamp> m_retries;
    std::string                  m_violation;
    std::size_t                  m_probeCount{0};
    std::size_t                  m_answerCount{0};
    double                       m_failureRate{0.05};
    bool                         m_burst{false};
    int                          m_nextServer{1};
    Ticket                       m_nextTicket{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(BalancerModelTest)

////////////////////////////////////////////////////////////
/// Random schedules must keep these rules: requests that may not be repeated
/// run at most once, rejections tell truly whether a request may have run,
/// draining servers get no requests, and the bounds on attempts, on retries of
/// all nodes in every window, on the probe rate and on the time to the final
/// answer hold. SAILPATH_SCHEDULES=1000 runs more schedules.
////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(RandomSchedulesKeepTheRules)
{
    const char* const   wanted = std::getenv("SAILPATH_SCHEDULES");
    const std::uint64_t schedules = wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : 6;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Model model(seed);
            model.run(30s);
            model.check();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

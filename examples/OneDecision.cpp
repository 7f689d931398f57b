// Calls the dispatcher of one node directly, without sockets, threads or a clock.

#include <sailpath/node/Dispatcher.hpp>

#include <iostream>

int main()
{
    using namespace sailpath;
    using namespace std::chrono_literals;

    config::Service service;
    service.name = "portal";
    service.servers = {{"portal-1", "10.0.0.1", 80, "accra-1"}, {"portal-2", "10.0.0.2", 80, "accra-2"}};
    service.routes = {{"/status", {"GET"}, true, config::Priority::Interactive}};

    core::Timestamp          now{1s};
    node::DispatcherSettings settings;
    settings.dataCentre = "accra-1";
    node::Dispatcher dispatcher(settings);
    dispatcher.configure({"admissa", 0, {service}}, now);

    node::Step step = dispatcher.admit({"portal.admissa", "GET", "/status/7", {}}, now);
    while (step.verdict == node::Verdict::Forward)
    {
        std::cout << "attempt " << step.attempt << " at " << step.target->server << "\n";
        node::Outcome outcome;
        outcome.result = step.attempt == 1 ? retries::AttemptResult::Failed : retries::AttemptResult::Answered;
        step = dispatcher.finishAttempt(step.ticket, outcome, now += 5ms);
    }
    std::cout << (step.verdict == node::Verdict::Answer ? "answered\n" : "refused\n");
    return step.verdict == node::Verdict::Answer ? 0 : 1;
}

#pragma once

#include <sailpath/balance/Balancer.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief A node's balancer with one service, whose servers have no health path, and one repeatable route
////////////////////////////////////////////////////////////
struct OneRouteFixture
{
    OneRouteFixture(core::Duration timeout, unsigned attempts, unsigned servers)
    {
        auto deployment = std::make_shared<deployment::Deployment>();
        deployment->version = 1;
        deployment::HostRoute route;
        route.name = "read";
        route.host = "a.example";
        route.pathPrefix = "/read/";
        route.repeatable = true;
        route.timeout = timeout;
        route.targetLatency = timeout / 4;
        route.attempts = attempts;
        route.parts = {{"portal", 1}};
        deployment->routes = {route};
        deployment->services = {{"portal", "", 200}};
        declared.deployment = deployment;
        for (unsigned i = 0; i < servers; ++i)
            declared.instances.push_back({"s" + std::to_string(i), "portal", "10.0.0.1", 80, "dc", 3, false, {}});
    }

    static balance::Settings settingsOf()
    {
        balance::Settings settings;
        settings.dataCentre = "dc";
        settings.retryRatio = 0.2;
        settings.retryExtra = 50;
        settings.maxConfigurationAgeToDeny = std::chrono::seconds{25};
        return settings;
    }

    std::vector<balance::Step> steps()
    {
        std::vector<balance::Step> taken;
        balancer.takeSteps(taken);
        return taken;
    }

    static std::size_t count(const std::vector<balance::Step>& steps, balance::StepKind kind)
    {
        return static_cast<std::size_t>(
            std::count_if(steps.begin(), steps.end(), [kind](const auto& step) { return step.kind == kind; }));
    }

    /// \brief Return the first step of a kind; null if there is none
    static const balance::Step* find(const std::vector<balance::Step>& steps, balance::StepKind kind)
    {
        const auto found =
            std::find_if(steps.begin(), steps.end(), [kind](const auto& step) { return step.kind == kind; });
        return found == steps.end() ? nullptr : &*found;
    }

    core::Timestamp           now{std::chrono::hours{1}};
    balance::Balancer         balancer{settingsOf(), now};
    deployment::DeclaredState declared;
};

} // namespace sailpath::support

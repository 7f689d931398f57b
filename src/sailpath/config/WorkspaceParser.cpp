#include <sailpath/config/WorkspaceParser.hpp>

#include "DocumentReader.hpp"

#include <arpa/inet.h>

#include <set>

namespace sailpath::config
{
namespace
{
using nlohmann::json;
using priv::DocumentReader;

constexpr double         maxServers = 1000;
constexpr core::Duration minClaimWindow = std::chrono::seconds{10};
constexpr double         maxMilliseconds = 3'600'000;

////////////////////////////////////////////////////////////
bool isIpAddress(const std::string& text)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

////////////////////////////////////////////////////////////
core::Duration readMilliseconds(DocumentReader& reader, const char* member, core::Duration fallback)
{
    return core::fromMilliseconds(reader.number(member, core::toMilliseconds(fallback), {0, maxMilliseconds}));
}

////////////////////////////////////////////////////////////
BackendServer readServer(const json& element, const std::string& place, core::Findings& findings)
{
    DocumentReader reader(element, place, findings);
    reader.allowOnly({"name", "address", "port", "dataCentre", "slots", "connections"});

    BackendServer server;
    server.name = reader.name("name");
    server.address = reader.text("address", "");
    if (!isIpAddress(server.address))
        reader.addFinding("address", "expected an IP number");
    server.port = static_cast<std::uint16_t>(reader.integer("port", 0, {1, 65535}));
    if (server.port == 0)
        reader.addFinding("port", "missing; expected a port from 1 to 65535");
    server.dataCentre = reader.name("dataCentre");
    server.slots = reader.integer("slots", server.slots, {1, 10'000});
    server.connections = reader.integer("connections", server.connections, {1, 100'000});
    return server;
}

////////////////////////////////////////////////////////////
Route readRoute(const json& element, const std::string& place, core::Findings& findings)
{
    DocumentReader reader(element, place, findings);
    reader.allowOnly({"path", "methods", "repeatable", "priority"});

    Route route;
    route.path = reader.text("path", route.path);
    if (!route.path.starts_with('/'))
        reader.addFinding("path", "expected a path that begins with /");
    reader.each("methods",
                [&](const json& method, const std::string& methodPlace)
                {
                    if (method.is_string())
                        route.methods.push_back(method.get<std::string>());
                    else
                        findings.add(methodPlace, "expected a method such as \"GET\"");
                });
    route.repeatable = reader.boolean("repeatable", route.repeatable);
    const std::string priority = reader.text("priority", "interactive");
    if (priority != "interactive" && priority != "batch")
        reader.addFinding("priority", "expected \"interactive\" or \"batch\"");
    route.priority = priority == "batch" ? Priority::Batch : Priority::Interactive;
    return route;
}

////////////////////////////////////////////////////////////
template <typename Named>
void reportDuplicateNames(const std::vector<Named>& items, const std::string& place, core::Findings& findings)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        if (!items[i].name.empty() && !seen.insert(items[i].name).second)
            findings.add(place + "/" + std::to_string(i) + "/name", "\"" + items[i].name + "\" is declared twice");
    }
}

////////////////////////////////////////////////////////////
Service readService(const json& element, const std::string& place, core::Findings& findings)
{
    DocumentReader reader(element, place, findings);
    reader.allowOnly(
        {"name", "servers", "routes", "retry", "probe", "queue", "maxWaitMs", "deadlineMs", "claimWindowMs"});

    Service service;
    service.name = reader.name("name");
    reader.each("servers", [&](const json& server, const std::string& serverPlace)
                { service.servers.push_back(readServer(server, serverPlace, findings)); });
    reader.each("routes", [&](const json& route, const std::string& routePlace)
                { service.routes.push_back(readRoute(route, routePlace, findings)); });
    reader.nested("retry",
                  [&](DocumentReader& retry)
                  {
                      retry.allowOnly({"attempts", "budget"});
                      service.retry.attempts = retry.integer("attempts", service.retry.attempts, {1, 10});
                      service.retry.budget = retry.number("budget", service.retry.budget, {0, 1});
                  });
    reader.nested("probe",
                  [&](DocumentReader& probe)
                  {
                      probe.allowOnly({"path", "costMs"});
                      service.probe.path = probe.text("path", service.probe.path);
                      service.probe.cost = readMilliseconds(probe, "costMs", service.probe.cost);
                  });
    service.queue = reader.integer("queue", service.queue, {0, 100'000});
    service.maxWait = readMilliseconds(reader, "maxWaitMs", service.maxWait);
    service.deadline = readMilliseconds(reader, "deadlineMs", service.deadline);
    service.claimWindow = readMilliseconds(reader, "claimWindowMs", service.claimWindow);
    if (service.claimWindow < minClaimWindow)
        reader.addFinding("claimWindowMs", "expected at least 10000");

    if (service.servers.size() > static_cast<std::size_t>(maxServers))
        reader.addFinding("servers", "expected at most 1000 servers");
    reportDuplicateNames(service.servers, place + "/servers", findings);
    return service;
}

////////////////////////////////////////////////////////////
Workspace readWorkspace(const json& document, const std::string& place, core::Findings& findings)
{
    DocumentReader reader(document, place, findings);
    reader.allowOnly({"workspace", "measuringBudgetMsPerS", "services"});

    Workspace workspace;
    workspace.name = reader.name("workspace");
    workspace.measuringBudget = reader.number("measuringBudgetMsPerS", 0, {0, 1'000'000});
    reader.each("services", [&](const json& service, const std::string& servicePlace)
                { workspace.services.push_back(readService(service, servicePlace, findings)); });
    reportDuplicateNames(workspace.services, place + "/services", findings);
    return workspace;
}

////////////////////////////////////////////////////////////
json toJson(const BackendServer& server)
{
    return {{"name", server.name},   {"address", server.address},
            {"port", server.port},   {"dataCentre", server.dataCentre},
            {"slots", server.slots}, {"connections", server.connections}};
}

////////////////////////////////////////////////////////////
json toJson(const Route& route)
{
    return {{"path", route.path},
            {"methods", route.methods},
            {"repeatable", route.repeatable},
            {"priority", route.priority == Priority::Batch ? "batch" : "interactive"}};
}

////////////////////////////////////////////////////////////
json toJson(const Service& service)
{
    json servers = json::array();
    for (const BackendServer& server : service.servers)
        servers.push_back(toJson(server));
    json routes = json::array();
    for (const Route& route : service.routes)
        routes.push_back(toJson(route));
    return {{"name", service.name},
            {"servers", std::move(servers)},
            {"routes", std::move(routes)},
            {"retry", {{"attempts", service.retry.attempts}, {"budget", service.retry.budget}}},
            {"probe", {{"path", service.probe.path}, {"costMs", core::toMilliseconds(service.probe.cost)}}},
            {"queue", service.queue},
            {"maxWaitMs", core::toMilliseconds(service.maxWait)},
            {"deadlineMs", core::toMilliseconds(service.deadline)},
            {"claimWindowMs", core::toMilliseconds(service.claimWindow)}};
}

} // namespace

////////////////////////////////////////////////////////////
ParsedWorkspace parseWorkspace(std::string_view text, std::string_view source)
{
    ParsedWorkspace   parsed;
    const std::string place = std::string(source) + ":";
    Workspace         workspace;
    try
    {
        const json document = json::parse(text, nullptr, true, true);
        workspace = readWorkspace(document, place, parsed.findings);
    }
    catch (const json::exception& error)
    {
        parsed.findings.add(place, error.what());
    }
    if (parsed.findings.empty())
        parsed.workspace = std::move(workspace);
    return parsed;
}

////////////////////////////////////////////////////////////
std::string formatWorkspace(const Workspace& workspace)
{
    json services = json::array();
    for (const Service& service : workspace.services)
        services.push_back(toJson(service));
    const json document{{"workspace", workspace.name},
                        {"measuringBudgetMsPerS", workspace.measuringBudget},
                        {"services", std::move(services)}};
    return document.dump();
}

} // namespace sailpath::config

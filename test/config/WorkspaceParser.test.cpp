#include <sailpath/config/Host.hpp>
#include <sailpath/config/WorkspaceParser.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{
using namespace sailpath;

////////////////////////////////////////////////////////////
bool hasFindingAt(const core::Findings& findings, std::string_view place)
{
    const auto all = findings.all();
    return std::any_of(all.begin(), all.end(),
                       [place](const core::Finding& finding) { return finding.place == place; });
}

constexpr std::string_view validDeclaration = R"({
    // Comments are allowed.
    "workspace": "admissa", "measuringBudgetMsPerS": 12.5,
    "services": [{"name": "portal",
        "servers": [{"name": "p1", "address": "127.0.0.1", "port": 9001, "dataCentre": "accra-1", "slots": 4}],
        "routes": [{"path": "/", "methods": ["GET"], "repeatable": true},
                   {"path": "/batch", "repeatable": true, "priority": "batch"}],
        "retry": {"attempts": 3, "budget": 0.2}, "probe": {"path": "/load", "costMs": 6}, "queue": 10}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceParser)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(formattedWorkspaceParsesToTheSameWorkspace)
{
    const auto parsed = config::parseWorkspace(validDeclaration, "a.json");
    BOOST_REQUIRE_MESSAGE(parsed.workspace, parsed.findings.text());
    BOOST_TEST(parsed.workspace->services.front().servers.front().slots == 4U);
    const auto reparsed = config::parseWorkspace(config::formatWorkspace(*parsed.workspace), "a.json");
    BOOST_REQUIRE(reparsed.workspace);
    BOOST_TEST((*reparsed.workspace == *parsed.workspace));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(reportsEveryFindingWithItsPlace)
{
    const auto parsed = config::parseWorkspace(R"({"workspace": "Bad Name", "colour": 1, "services": [
        {"name": "a", "servers": [{"name": "s", "address": "host.example", "port": 0, "dataCentre": "x"},
                                  {"name": "s", "address": "10.0.0.1", "port": 70000, "dataCentre": "x", "slots": 1.5}],
         "routes": [{"path": "status", "methods": [7], "priority": "soon"}], "retry": {"attempts": 0}}]})",
                                               "b.json");
    BOOST_TEST(!parsed.workspace);
    for (const char* place : {"b.json:/workspace", "b.json:/colour", "b.json:/services/0/servers/0/address",
                              "b.json:/services/0/servers/0/port", "b.json:/services/0/servers/1/port",
                              "b.json:/services/0/servers/1/slots", "b.json:/services/0/servers/1/name",
                              "b.json:/services/0/routes/0/path", "b.json:/services/0/routes/0/methods/0",
                              "b.json:/services/0/routes/0/priority", "b.json:/services/0/retry/attempts"})
        BOOST_TEST(hasFindingAt(parsed.findings, place), place);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(reportsFindingsForInvalidDocuments)
{
    for (const char* text : {"", "{", "[]", "null", "{\"workspace\":{}}", "{\"workspace\":\"a\",\"services\":{}}",
                             "{\"workspace\":\"a\",\"services\":[1]}", "\xff\xfe"})
        BOOST_TEST(!config::parseWorkspace(text, "c.json").findings.empty(), text);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(undeclaredRoutesAreNotRepeatable)
{
    const auto parsed = config::parseWorkspace(validDeclaration, "a.json");
    BOOST_REQUIRE(parsed.workspace);
    const config::Service& service = parsed.workspace->services.front();
    BOOST_TEST(service.routeFor("GET", "/status").repeatable);
    BOOST_TEST(!service.routeFor("POST", "/fees").repeatable);
    BOOST_TEST((service.routeFor("GET", "/batch/1").priority == config::Priority::Batch));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(hostHeaderNamesServiceAndWorkspace)
{
    const auto host = config::parseHost("portal.admissa.example.org:8080");
    BOOST_REQUIRE(host);
    BOOST_TEST(host->service == "portal");
    BOOST_TEST(host->workspace == "admissa");
    BOOST_TEST(!config::parseHost("portal"));
    BOOST_TEST(!config::parseHost(".admissa"));
    BOOST_TEST(!config::parseHost(""));
}

BOOST_AUTO_TEST_SUITE_END()

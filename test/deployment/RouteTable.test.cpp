#include <sailpath/deployment/RouteTable.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::deployment;

////////////////////////////////////////////////////////////
HostRoute routeOf(const char* name, const char* host, const char* prefix)
{
    HostRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.parts = {{"service", 1}};
    return route;
}

////////////////////////////////////////////////////////////
RouteTable tableOf(std::vector<HostRoute> routes)
{
    Deployment deployment;
    deployment.routes = std::move(routes);
    return RouteTable(std::make_shared<const Deployment>(std::move(deployment)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteTableTest)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins)
{
    const RouteTable table = tableOf({routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"),
                                      routeOf("other", "b.example", "/x/y/z/")});
    BOOST_TEST(table.find("a.example", "/x/y/z/1")->name == "long");
    BOOST_TEST(table.find("a.example", "/x/z")->name == "short");
    BOOST_TEST(table.find("b.example", "/x/y/z/?q=1")->name == "other");
}

BOOST_AUTO_TEST_CASE(PortAndCaseOfTheHostDoNotMatter)
{
    const RouteTable table = tableOf({routeOf("one", "A.example", "/x/")});
    BOOST_TEST(table.find("a.EXAMPLE:8080", "/x/1")->name == "one");
}

BOOST_AUTO_TEST_CASE(NoRouteIsNull)
{
    const RouteTable table = tableOf({routeOf("one", "a.example", "/x/")});
    BOOST_TEST(table.find("a.example", "/x") == nullptr);
    BOOST_TEST(table.find("b.example", "/x/1") == nullptr);
    BOOST_TEST(RouteTable().find("a.example", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(ADotAtTheEndOfTheHostDoesNotMatter)
{
    const RouteTable table = tableOf({routeOf("one", "a.example", "/x/")});
    BOOST_TEST(table.find("a.example.", "/x/1") != nullptr);
    BOOST_TEST(table.find("a.example.:80", "/x/1") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

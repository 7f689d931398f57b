#include <sailpath/adapters/platform/HttpVmList.hpp>

#include <support/ScriptedServer.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(HttpVmListTest)

// Guards against a process that ends because one element of the list of VMs has a field of another type.
BOOST_AUTO_TEST_CASE(AnOddElementIsPassedOverAndTheOthersHold)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& odd :
         {std::string(R"({"name":"b","peerAddress":"10.0.0.2:1","dataCentre":"d","state":7})"),
          std::string(R"({"name":7,"peerAddress":"10.0.0.2:1","dataCentre":"d"})"),
          std::string(R"({"name":"b","peerAddress":[],"dataCentre":"d"})"),
          std::string(R"({"name":"b","peerAddress":"10.0.0.2:70000","dataCentre":"d"})"), std::string("null"),
          std::string("18446744073709551616"), R"({"name":)" + deep + "}", deep})
    {
        const std::string body =
            "[" + odd + R"(,{"name":"a","peerAddress":"10.0.0.1:80","dataCentre":"d","state":"live"}])";
        support::ScriptedServer platform(
            [&body](const std::string&) {
                return support::Script{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                       "\r\n\r\n" + body};
            });
        adapters::platform::HttpVmList list({"127.0.0.1", platform.port()}, 5s);
        const auto                     members = list.read();
        BOOST_REQUIRE(members.has_value());
        BOOST_REQUIRE(members->size() == 1U);
        BOOST_TEST(members->front().name == "a");
    }
}

BOOST_AUTO_TEST_SUITE_END()

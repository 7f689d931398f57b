#include "../../src/sailpath/gateway/StatusServer.hpp"

#include <support/ScriptedServer.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

namespace
{
using namespace sailpath;
using gateway::priv::StatusServer;

} // namespace

BOOST_AUTO_TEST_SUITE(StatusServerTest)

// Guards against requests that are kept unparsed, more with each read, while only one is answered for each read.
BOOST_AUTO_TEST_CASE(RequestsThatComeTogetherAreAllAnswered)
{
    constexpr int       count = 500;
    asio::io_context    context;
    StatusServer        server(context, {"127.0.0.1", 0}, {{"/ready", [] {
                                                         return gateway::priv::StatusAnswer{200, "yes"};
                                                     }}});
    support::TestCaller client(server.port());
    std::thread         loop([&] { context.run(); });
    std::string         requests;
    for (int i = 0; i < count; ++i)
        requests += "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    client.write(requests);
    int answered = 0;
    while (answered < count && client.readAnswer().ends_with("yes"))
        ++answered;
    BOOST_TEST(answered == count);
    context.stop();
    loop.join();
}

BOOST_AUTO_TEST_SUITE_END()

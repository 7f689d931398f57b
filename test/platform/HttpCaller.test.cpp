#include <sailpath/adapters/calls/HttpCaller.hpp>

#include <support/ScriptedServer.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

////////////////////////////////////////////////////////////
/// \brief Call a store once, with a timeout that the test does not wait for, and return the status of its answer
////////////////////////////////////////////////////////////
unsigned callStore(const support::ScriptedServer& store)
{
    asio::io_context                           context;
    adapters::calls::HttpCaller                caller(context, {"127.0.0.1", store.port()});
    std::optional<adapters::calls::CallAnswer> answer;
    caller.get("/", 30s, [&](adapters::calls::CallAnswer given) { answer = std::move(given); });
    const auto begun = std::chrono::steady_clock::now();
    while (!answer && std::chrono::steady_clock::now() - begun < 10s)
        context.run_one_for(50ms);
    BOOST_REQUIRE(answer.has_value());
    return answer->status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpCallerTest)

// Guards against memory that grows with an answer of the store whose framing does not end.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseFramingDoesNotEndFailsBeforeAnyTimeout)
{
    for (const std::string_view beginning : {"5;", "5\r\nhello\r\n0\r\nX-Sum: "})
    {
        support::ScriptedServer store(
            [beginning](const std::string&)
            {
                return support::Script{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                       std::string(beginning) + std::string(1'000'000, '0')};
            });
        BOOST_TEST(callStore(store) == 0U);
    }
}

// Guards against a copy of the store that lacks what followed a cut.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutAtAnyByteIsNone)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    for (std::size_t length = 0; length <= whole.size(); ++length)
    {
        support::ScriptedServer store(
            [&](const std::string&) {
                return support::Script{whole.substr(0, length), 0ms, true};
            });
        BOOST_TEST(callStore(store) == (length == whole.size() ? 200U : 0U));
    }
}

// Guards against a copy of the store that lacks what a reset took away: nothing tells it from the end of the answer.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsNone)
{
    for (const bool reset : {false, true})
    {
        support::ScriptedServer store(
            [reset](const std::string&) {
                return support::Script{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}", 0ms, !reset, reset};
            });
        BOOST_TEST(callStore(store) == 0U);
    }
}

// Guards against a copy of the store that takes the answer to one call for the answer to the next.
BOOST_AUTO_TEST_CASE(AnInterimAnswerIsSkipped)
{
    support::ScriptedServer store(
        [](const std::string& request)
        {
            const std::string body = request.starts_with("GET /first") ? "1" : "2";
            const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
            return body == "1" ? support::Script{"HTTP/1.1 100 Continue\r\n\r\n", 0ms, false, false, false, whole, 50ms}
                               : support::Script{whole};
        });
    asio::io_context            context;
    adapters::calls::HttpCaller caller(context, {"127.0.0.1", store.port()});
    for (const std::string name : {"first", "second"})
    {
        std::optional<adapters::calls::CallAnswer> answer;
        caller.get("/" + name, 30s, [&](adapters::calls::CallAnswer given) { answer = std::move(given); });
        for (int i = 0; i < 200 && !answer; ++i)
            context.run_one_for(50ms);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 200U);
        BOOST_TEST(answer->body == (name == "first" ? "1" : "2"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

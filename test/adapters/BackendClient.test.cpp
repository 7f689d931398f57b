// Guards against answers of servers that are broken and yet reported as whole.

#include <sailpath/adapters/http/BackendClient.hpp>

#include <support/EarlyServer.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace
{
using namespace sailpath;
using namespace sailpath::adapters::http;
using namespace sailpath::support;
using namespace std::chrono_literals;

////////////////////////////////////////////////////////////
/// \brief What a client reported of one exchange
////////////////////////////////////////////////////////////
struct Received
{
    ExchangeEnd end{ExchangeEnd::NoAnswer};
    int         status{0}; //!< 0 without a head
    std::string body;
};

////////////////////////////////////////////////////////////
Received exchangeWith(const EarlyServer& server, std::size_t uploadBytes)
{
    BackendClient     client(1s, 2s);
    Cancellation      cancellation;
    const std::string body(uploadBytes, 'u');
    ServerRequest     request;
    request.method = uploadBytes > 0 ? "POST" : "GET";
    request.target = "/x";
    request.headers = {{"Host", "a.example"}};
    request.framing = uploadBytes > 0 ? BodyFraming::Length : BodyFraming::None;
    request.contentLength = uploadBytes;
    request.body = body;
    request.deadline = std::chrono::steady_clock::now() + 5s;
    Received   received;
    AnswerSink sink{[&](const AnswerHead& head)
                    {
                        received.status = head.status;
                        return true;
                    },
                    [&](std::string_view bytes)
                    {
                        received.body += bytes;
                        return true;
                    }};
    received.end = client.exchange("127.0.0.1", server.port(), request, sink, cancellation);
    return received;
}

////////////////////////////////////////////////////////////
const std::string& answerWithoutLength()
{
    static const std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(3000, 'b');
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendClientTest)

BOOST_AUTO_TEST_CASE(APartOfAnAnswerIsNotWholeWhenTheConnectionIsResetDuringTheUpload)
{
    for (const std::size_t uploadBytes : {std::size_t{2'000'000}, std::size_t{6'000'000}})
    {
        for (const EarlyEnd end : {EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfCloseThenReset})
        {
            for (const auto delay : {0ms, 1ms, 20ms})
            {
                const EarlyServer server(
                    [&](const std::string&) {
                        return EarlyScript{answerWithoutLength(), end, 0, delay};
                    });
                const Received received = exchangeWith(server, uploadBytes);
                BOOST_TEST((received.end != ExchangeEnd::Whole),
                           uploadBytes << " bytes, way " << static_cast<int>(end) << " after " << delay.count()
                                       << " ms: " << received.body.size() << " bytes as a whole answer");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(AnAnswerThatEndsInOrderIsWhole)
{
    for (const EarlyEnd end : {EarlyEnd::ReadThenClose, EarlyEnd::HalfCloseThenRead})
    {
        const EarlyServer server([&](const std::string&) { return EarlyScript{answerWithoutLength(), end, 0, 20ms}; });
        const Received    received = exchangeWith(server, 6'000'000);
        BOOST_TEST((received.end == ExchangeEnd::Whole));
        BOOST_TEST(received.body.size() == 3000U);
    }
}

BOOST_AUTO_TEST_CASE(AStatusThatIsNoFinalOneOfTheProtocolIsNoAnswer)
{
    for (const std::string status : {"000", "007", "099", "101", "103", "199", "600", "999"})
    {
        const EarlyServer server(
            [&](const std::string&) {
                return EarlyScript{"HTTP/1.1 " + status + " Odd\r\nContent-Length: 5\r\n\r\nwhole",
                                   EarlyEnd::ReadThenClose};
            });
        const Received received = exchangeWith(server, 0);
        BOOST_TEST((received.end == ExchangeEnd::NoAnswer), status);
        BOOST_TEST(received.status == 0, status);
        BOOST_TEST(received.body.empty(), status);
    }
}

BOOST_AUTO_TEST_CASE(AHeadWithANameOfAFieldThatIsNoTokenIsNoAnswer)
{
    for (const std::string mark : {" ", "\t", "\x01", "\x1f", "\x7f", "\x80", "(", "\r"})
    {
        for (const std::string& lines :
             {"X" + mark + "Odd: 1\r\nContent-Length: 5\r\n", "X-Odd" + mark + ": 1\r\nContent-Length: 5\r\n",
              mark + "X-Odd: 1\r\nContent-Length: 5\r\n", "Content-Length" + mark + ": 5\r\n",
              "Content-Length: 5\r\nX-Odd" + mark + ": 1\r\n"})
        {
            const EarlyServer server(
                [&](const std::string&) {
                    return EarlyScript{"HTTP/1.1 200 OK\r\n" + lines + "\r\nwhole", EarlyEnd::ReadThenClose};
                });
            const Received received = exchangeWith(server, 0);
            BOOST_TEST((received.end == ExchangeEnd::NoAnswer), lines);
            BOOST_TEST(received.status == 0, lines);
            BOOST_TEST(received.body.empty(), lines);
        }
    }
}

// Guards against memory that grows with a chunk size line, chunk extension or trailer that does not end.
BOOST_AUTO_TEST_CASE(FramingWithoutEndIsNotKept)
{
    constexpr std::size_t endless = 64UL << 20U;
    for (const std::string beginning : {"5;", "0000000000", "5\r\nhello\r\n0\r\nX-Sum: ", ""})
    {
        const bool        head = beginning.empty();
        const std::string framing = head ? "X-Long: " : "Transfer-Encoding: chunked\r\n\r\n" + beginning;
        const EarlyServer server(
            [&](const std::string&) {
                return EarlyScript{"HTTP/1.1 200 OK\r\n" + framing + std::string(endless, '0'),
                                   EarlyEnd::ReadThenClose};
            });
        const Received received = exchangeWith(server, 0);
        BOOST_TEST((received.end != ExchangeEnd::Whole), beginning);
        BOOST_TEST(received.body.size() <= 5U, beginning);
        BOOST_TEST(server.sent() < endless, beginning << ": all of it was received");
    }
}

BOOST_AUTO_TEST_SUITE_END()

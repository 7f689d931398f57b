#include <sailpath/adapters/http/RequestHead.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::adapters::http;

////////////////////////////////////////////////////////////
int refusal(const std::string& raw)
{
    const auto head = parseRequestHead(raw);
    return std::holds_alternative<HeadError>(head) ? std::get<HeadError>(head).status : 0;
}

////////////////////////////////////////////////////////////
std::string post(const std::string& headers)
{
    return "POST /a HTTP/1.1\r\nHost: a.b\r\n" + headers + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestHead)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(readsAPlainRequest)
{
    const auto parsed = parseRequestHead("GET /a?b=%20c HTTP/1.1\r\nHost: p.a\r\nX-Value:  50%25 \r\n\r\n");
    BOOST_REQUIRE(std::holds_alternative<sailpath::adapters::http::RequestHead>(parsed));
    const auto& head = std::get<sailpath::adapters::http::RequestHead>(parsed);
    BOOST_TEST(head.target == "/a?b=%20c");
    BOOST_TEST(head.path == "/a");
    BOOST_TEST(head.header("x-value") == "50%25");
    BOOST_TEST(head.keepAlive);
    BOOST_TEST((head.framing == BodyFraming::None));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(shapesThatTwoParsersReadDifferentlyAreRefused)
{
    BOOST_TEST(refusal(post("Content-Length: 1\r\nContent-Length: 1\r\n")) == 400);
    BOOST_TEST(refusal(post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")) == 400);
    BOOST_TEST(refusal(post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")) == 400);
    BOOST_TEST(refusal(post("Transfer-Encoding: gzip, chunked\r\n")) == 501);
    BOOST_TEST(refusal(post("Transfer-Encoding: xchunked\r\n")) == 501);
    BOOST_TEST(refusal(post("Content-Length: +1\r\n")) == 400);
    BOOST_TEST(refusal(post("Content-Length: 1, 1\r\n")) == 400);
    BOOST_TEST(refusal(post("Content-Length: 0x1\r\n")) == 400);
    BOOST_TEST(refusal(post("Content-Length:\r\n")) == 400);
    BOOST_TEST(refusal(post("Content-Length : 1\r\n")) == 400);
    BOOST_TEST(refusal(post("X: a\rContent-Length: 1\r\n")) == 400);
    BOOST_TEST(refusal(post("X: a\nContent-Length: 1\r\n")) == 400);
    BOOST_TEST(refusal(post("X: a\r\n folded\r\n")) == 400);
    BOOST_TEST(refusal(post(std::string("X: a\0b\r\n", 8))) == 400);
    BOOST_TEST(refusal("GET / HTTP/1.1\r\nHost: a.b\r\nContent-Length: 5\r\n\r\n") == 400);
    BOOST_TEST(refusal("GET / HTTP/1.1\r\nHost: a.b\r\nHost: c.d\r\n\r\n") == 400);
    BOOST_TEST(refusal("GET / HTTP/1.1\r\n\r\n") == 400);
    BOOST_TEST(refusal("POST / HTTP/1.0\r\nHost: a.b\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(malformedRequestLinesAreRefused)
{
    for (const char* line :
         {"GET", "GET /", "GET  / HTTP/1.1", "GET / a HTTP/1.1", "GET http://x/ HTTP/1.1", "GET /\x01 HTTP/1.1"})
        BOOST_TEST(refusal(std::string(line) + "\r\nHost: a.b\r\n\r\n") == 400, line);
    BOOST_TEST(refusal("TRACE / HTTP/1.1\r\nHost: a.b\r\n\r\n") == 501);
    BOOST_TEST(refusal("GET / HTTP/2.0\r\nHost: a.b\r\n\r\n") == 505);
    BOOST_TEST(refusal("GET /" + std::string(5000, 'a') + " HTTP/1.1\r\nHost: a.b\r\n\r\n") == 414);
    BOOST_TEST(refusal("") == 400);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(connectionHeadersAreNotPassedOn)
{
    for (const char* name : {"Connection", "keep-alive", "TE", "Upgrade", "Proxy-Authorization", "Transfer-Encoding"})
        BOOST_TEST(isHopByHop(name, ""), name);
    BOOST_TEST(isHopByHop("X-Private", "close, x-private"));
    BOOST_TEST(!isHopByHop("X-Public", "close, x-private"));
}

BOOST_AUTO_TEST_SUITE_END()

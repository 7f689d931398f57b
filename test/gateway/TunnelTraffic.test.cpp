#include "../../src/sailpath/gateway/TunnelTraffic.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace
{
using sailpath::gateway::priv::TunnelTraffic;

constexpr std::string_view request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

} // namespace

BOOST_AUTO_TEST_SUITE(TunnelTrafficTest)

BOOST_AUTO_TEST_CASE(AnAnswerIsDueFromTheFirstByteOfARequestToTheLastOfItsAnswerHoweverTheyArrive)
{
    for (const std::size_t step : {1UL, 2UL, 7UL, 1000UL})
    {
        TunnelTraffic traffic;
        BOOST_TEST(!traffic.isAnswerDue());
        for (int round = 0; round < 3; ++round)
        {
            for (std::size_t at = 0; at < request.size(); at += step)
            {
                traffic.passToServer(request.substr(at, step));
                BOOST_TEST(traffic.isAnswerDue());
            }
            for (std::size_t at = 0; at < answer.size(); at += step)
            {
                BOOST_TEST(traffic.isAnswerDue());
                traffic.passFromServer(answer.substr(at, step));
            }
            BOOST_TEST(!traffic.isAnswerDue());
        }
    }
}

BOOST_AUTO_TEST_CASE(AnInterimAnswerIsNotTheAnswer)
{
    TunnelTraffic traffic;
    traffic.passToServer(request);
    traffic.passFromServer("HTTP/1.1 103 Early Hints\r\n\r\n");
    BOOST_TEST(traffic.isAnswerDue());
    traffic.passFromServer(answer);
    BOOST_TEST(!traffic.isAnswerDue());
}

BOOST_AUTO_TEST_CASE(AnAnswerToAHeadRequestHasNoBody)
{
    TunnelTraffic traffic;
    traffic.passToServer("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    traffic.passFromServer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
    BOOST_TEST(!traffic.isAnswerDue());
}

BOOST_AUTO_TEST_CASE(ChunkedAnswersAndBodiesAreFollowed)
{
    TunnelTraffic traffic;
    traffic.passToServer("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    traffic.passFromServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    BOOST_TEST(traffic.isAnswerDue());
    traffic.passFromServer("0\r\n\r\n");
    BOOST_TEST(!traffic.isAnswerDue());
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsDueUntilTheConnectionEnds)
{
    TunnelTraffic traffic;
    traffic.passToServer(request);
    traffic.passFromServer("HTTP/1.1 200 OK\r\n\r\n");
    traffic.passFromServer(std::string(100'000, 'x'));
    BOOST_TEST(traffic.isAnswerDue());
}

BOOST_AUTO_TEST_CASE(NothingIsDueAfterBytesThatAreNotOfTheProtocol)
{
    TunnelTraffic traffic;
    traffic.passToServer(request);
    traffic.passFromServer("no answer at all\r\n\r\n");
    BOOST_TEST(!traffic.isAnswerDue());
    traffic.passToServer(request);
    BOOST_TEST(!traffic.isAnswerDue());
}

// Guards against memory of a helper that grows with lines that a server or another node does not end.
BOOST_AUTO_TEST_CASE(LinesWithoutEndAreNotKept)
{
    constexpr std::size_t most = 160UL * 1024;
    const std::string     piece(8192, '0');
    for (const std::string_view beginning :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "HTTP/1.1 "})
    {
        TunnelTraffic traffic;
        traffic.passToServer(request);
        traffic.passFromServer(beginning);
        for (int i = 0; i < 1000; ++i)
        {
            traffic.passFromServer(piece);
            BOOST_REQUIRE(traffic.heldBytes() < most);
        }
    }
    TunnelTraffic traffic;
    traffic.passToServer("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;");
    for (int i = 0; i < 1000; ++i)
    {
        traffic.passToServer(piece);
        BOOST_REQUIRE(traffic.heldBytes() < most);
    }
}

BOOST_AUTO_TEST_CASE(RequestsThatAreSentWithoutAwaitingAnswersAreNotCountedWithoutEnd)
{
    TunnelTraffic traffic;
    for (int i = 0; i < 1000; ++i)
        traffic.passToServer(request);
    BOOST_TEST(!traffic.isAnswerDue());
}

BOOST_AUTO_TEST_SUITE_END()

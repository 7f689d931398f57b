#include <sailpath/http/MessageReader.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::http;

constexpr std::uint32_t headLimit = 1024;
constexpr std::uint64_t bodyLimit = 64;

////////////////////////////////////////////////////////////

////////////////////////////////////////////////////////////
/// \brief Feed a text in pieces of a size, as a connection might
///
/// \return Bytes that were not taken
////////////////////////////////////////////////////////////
std::string feed(MessageReader& reader, std::string_view text, std::size_t piece)
{
    std::string unread;
    for (std::size_t at = 0; at < text.size(); at += piece)
    {
        unread += text.substr(at, piece);
        unread.erase(0, reader.read(unread));
    }
    return unread;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageReaderTest)

BOOST_AUTO_TEST_CASE(RequestInPiecesOfAnySize)
{
    constexpr std::string_view text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t piece = 1; piece <= text.size(); ++piece)
    {
        MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
        BOOST_TEST(feed(reader, text, piece).empty());
        BOOST_TEST((reader.state() == ReadState::Done));
        BOOST_TEST(reader.head().method == "POST");
        BOOST_TEST(reader.head().target == "/a/b?c=1");
        BOOST_TEST(reader.head().keepAlive);
        BOOST_TEST(reader.takeBody() == "hello");
    }
}

BOOST_AUTO_TEST_CASE(ChunkedBodyIsJoined)
{
    MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
    BOOST_TEST(feed(reader, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 1)
                   .empty());
    BOOST_TEST((reader.state() == ReadState::Done));
    BOOST_TEST(reader.takeBody() == "abcde");
}

BOOST_AUTO_TEST_CASE(WhatFollowsAWholeMessageStays)
{
    MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
    BOOST_TEST(feed(reader, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", 1000) == "HTTP/1.1 200");
    BOOST_TEST((reader.state() == ReadState::Done));
}

BOOST_AUTO_TEST_CASE(AnswerWithoutLengthEndsWithTheConnection)
{
    MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
    (void)feed(reader, "HTTP/1.1 200 OK\r\n\r\npart", 1000);
    BOOST_TEST((reader.state() == ReadState::Body));
    BOOST_TEST(reader.head().untilEnd);
    reader.ended();
    BOOST_TEST((reader.state() == ReadState::Done));
}

BOOST_AUTO_TEST_CASE(AnswerCutShortIsNotWhole)
{
    MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
    (void)feed(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 1000);
    reader.ended();
    BOOST_TEST((reader.state() == ReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(SmuggledLengthsAreMalformed)
{
    MessageReader both(MessageKind::Request, headLimit, bodyLimit);
    (void)feed(both, "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1000);
    BOOST_TEST((both.state() == ReadState::Malformed));
    MessageReader two(MessageKind::Request, headLimit, bodyLimit);
    (void)feed(two, "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 1000);
    BOOST_TEST((two.state() == ReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(LimitsAreKept)
{
    MessageReader head(MessageKind::Request, headLimit, bodyLimit);
    (void)feed(head, "GET / HTTP/1.1\r\nX: " + std::string(2UL * headLimit, 'x'), 100);
    BOOST_TEST((head.state() == ReadState::HeadTooLarge));
    MessageReader body(MessageKind::Request, headLimit, bodyLimit);
    (void)feed(body, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 100);
    BOOST_TEST((body.state() == ReadState::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoAnswerAreMalformed)
{
    MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
    (void)feed(reader, std::string("\x00\x01garbage\r\n\r\n", 13), 100);
    BOOST_TEST((reader.state() == ReadState::Malformed));
}

BOOST_AUTO_TEST_CASE(FieldsOfOneConnectionAreKnown)
{
    BOOST_TEST(concernsConnection("keep-alive", ""));
    BOOST_TEST(concernsConnection("X-Mine", "close, x-mine"));
    BOOST_TEST(!concernsConnection("X-Mine", "close"));
}

BOOST_AUTO_TEST_SUITE_END()

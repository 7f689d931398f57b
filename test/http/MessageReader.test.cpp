#include <sailpath/http/MessageReader.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace
{
using namespace sailpath;
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

////////////////////////////////////////////////////////////
/// \brief A request in a form that the protocol allows, and the body it carries
////////////////////////////////////////////////////////////
struct Form
{
    std::string text;
    std::string body;
};

////////////////////////////////////////////////////////////
std::string requestOf(const std::string& fields, const std::string& body = {})
{
    return "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body;
}

////////////////////////////////////////////////////////////
/// \brief A request whose head has exactly a size
////////////////////////////////////////////////////////////
std::string headOf(std::size_t size, const std::string& fields = {})
{
    const std::string rest = requestOf(fields + "X-Fill: \r\n");
    std::string       head = requestOf(fields + "X-Fill: " + std::string(size - rest.size(), 'x') + "\r\n");
    BOOST_REQUIRE_EQUAL(head.size(), size);
    return head;
}

////////////////////////////////////////////////////////////
/// \brief A body in chunks of drawn sizes, with what may accompany them
////////////////////////////////////////////////////////////
std::string inChunks(const std::string& body, std::mt19937& random)
{
    std::string text;
    for (std::size_t at = 0; at < body.size();)
    {
        const std::size_t size = std::min<std::size_t>(body.size() - at, 1 + random() % 40);
        char              digits[16];
        std::snprintf(digits, sizeof(digits), random() % 2 == 0 ? "%zx" : "%04zX", size);
        text += digits;
        text += random() % 3 == 0 ? ";name=\"a; b\";other" : "";
        text += "\r\n" + body.substr(at, size) + "\r\n";
        at += size;
    }
    text += random() % 2 == 0 ? "0\r\n" : "000;last\r\n";
    text += random() % 2 == 0 ? "X-Sum: 1\r\n" : "";
    return text + "\r\n";
}

////////////////////////////////////////////////////////////
void isReadInPiecesOfAnySize(const Form& form)
{
    for (std::size_t piece = 1; piece <= form.text.size(); ++piece)
    {
        MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
        const bool    whole = feed(reader, form.text, piece).empty() && reader.state() == ReadState::Done;
        BOOST_TEST(whole, "in pieces of " << piece << ": " << form.text);
        BOOST_TEST(reader.takeBody() == form.body);
    }
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

BOOST_AUTO_TEST_CASE(OnlyAStatusOfAClassOfTheProtocolIsRead)
{
    for (unsigned status = 0; status < 1000; ++status)
    {
        char line[32];
        std::snprintf(line, sizeof(line), "HTTP/1.1 %03u Odd\r\n", status);
        MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
        (void)feed(reader, line + std::string("Content-Length: 0\r\n\r\n"), 100);
        const bool valid = status >= 100 && status < 600;
        BOOST_TEST((reader.state() == (valid ? ReadState::Done : ReadState::Malformed)), "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(FieldsOfOneConnectionAreKnown)
{
    BOOST_TEST(concernsConnection("keep-alive", ""));
    BOOST_TEST(concernsConnection("X-Mine", "close, x-mine"));
    BOOST_TEST(!concernsConnection("X-Mine", "close"));
}

BOOST_AUTO_TEST_CASE(UnusualFormsOfAProperRequestAreRead)
{
    const std::string       chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<Form> forms{
        {requestOf("content-length:5\r\n", "hello"), "hello"},
        {requestOf("CONTENT-LENGTH:  5\t \r\n", "hello"), "hello"},
        {requestOf("Content-Length: 005\r\n", "hello"), "hello"},
        {requestOf("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), "hello"},
        {requestOf("Content-Length: 5, 5\r\n", "hello"), "hello"},
        {requestOf("Content-Length: 0\r\n"), ""},
        {requestOf("transfer-encoding: Chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"), "hello"},
        {requestOf(chunked, "0\r\n\r\n"), ""},
        {requestOf(chunked, "000005\r\nhello\r\n00\r\n\r\n"), "hello"},
        {requestOf(chunked, "A\r\nhelloworld\r\n0\r\n\r\n"), "helloworld"},
        {requestOf(chunked, "5;a=b;c=\"d\\\"e\"\r\nhello\r\n0;f\r\n\r\n"), "hello"},
        {requestOf(chunked, "5 ; a = b\r\nhello\r\n0\r\n\r\n"), "hello"},
        {requestOf(chunked, "2\r\n\r\n\r\n0\r\n\r\n"), "\r\n"},
        {requestOf(chunked + "Trailer: X-Sum\r\n", "1\r\na\r\n0\r\nX-Sum: 1\r\nX-Other: \r\n\r\n"), "a"},
        {requestOf("Connection: keep-alive, Upgrade-Insecure\r\n"), ""},
        {requestOf("Connection: , close,,\r\n"), ""},
        {requestOf("Connection:\r\n"), ""},
        {requestOf("Proxy-Connection: keep-alive\r\n"), ""},
        {requestOf("Connection: close\r\nConnection: X-Mine\r\n"), ""},
        {requestOf("X-Empty:\r\nX-Text: \xc3\xa9\ta \"b\" (c)\r\n"), ""},
        {requestOf("X'!#$%&*+-.^_`|~9: odd name\r\n"), ""},
        {"get /%7E/[a]|{b}^?\"c\"=`\xc3\xa9#d HTTP/1.1\r\nhOsT: X:80\r\n\r\n", ""},
        {"M-SEARCH /a HTTP/1.1\r\nHost: x\r\n\r\n", ""},
        {"GET /a HTTP/1.0\r\nHost: x\r\n\r\n", ""}};
    for (const Form& form : forms)
        isReadInPiecesOfAnySize(form);
}

BOOST_AUTO_TEST_CASE(DrawnRequestsInARowAreReadHoweverTheyAreCut)
{
    std::mt19937 random(7);
    for (int round = 0; round < 3000; ++round)
    {
        // Sizes reach both limits exactly.
        std::string              text;
        std::vector<std::string> bodies;
        for (unsigned count = 1 + random() % 3; count > 0; --count)
        {
            const std::size_t size = random() % 4 == 0 ? bodyLimit : random() % (bodyLimit + 1);
            const std::size_t head = random() % 4 == 0 ? headLimit : 200 + random() % (headLimit - 199);
            std::string       body(size, '\0');
            for (char& letter : body)
                letter = "\r\n0a;: "[random() % 7];
            if (random() % 2 == 0)
                text += headOf(head, "Content-Length: " + std::to_string(size) + "\r\n") + body;
            else
                text += headOf(head, "Transfer-Encoding: chunked\r\n") + inChunks(body, random);
            bodies.push_back(body);
        }
        std::string unread;
        std::size_t at = 0;
        for (const std::string& body : bodies)
        {
            MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
            while (true)
            {
                unread.erase(0, reader.read(unread));
                const bool more = reader.state() == ReadState::Head || reader.state() == ReadState::Body;
                if (!more || at >= text.size())
                    break;
                const std::size_t piece = random() % 2 == 0 ? 1 + random() % 8 : 1 + random() % 4096;
                unread += text.substr(at, piece);
                at += piece;
            }
            BOOST_REQUIRE_MESSAGE(reader.state() == ReadState::Done, "round " << round << ": " << text);
            BOOST_REQUIRE(reader.takeBody() == body);
        }
    }
}

BOOST_AUTO_TEST_CASE(HeadAndBodyOfExactlyTheLimitsAreRead)
{
    const std::string head = headOf(headLimit, "Content-Length: 64\r\n");
    isReadInPiecesOfAnySize({head + std::string(bodyLimit, 'b'), std::string(bodyLimit, 'b')});
    MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
    BOOST_TEST(feed(reader, head + std::string(bodyLimit, 'b') + "GET /next", 100'000) == "GET /next");
    BOOST_TEST((reader.state() == ReadState::Done));
}

BOOST_AUTO_TEST_CASE(TheLimitOfAHeadDoesNotDependOnHowItArrives)
{
    for (const std::size_t size : {headLimit + 1UL, headLimit + 10UL, headLimit + 24UL, headLimit + 40UL})
    {
        const std::string head = headOf(size);
        MessageReader     once(MessageKind::Request, headLimit, bodyLimit);
        (void)feed(once, head, head.size());
        for (std::size_t piece = 1; piece < head.size(); ++piece)
        {
            MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
            (void)feed(reader, head, piece);
            BOOST_REQUIRE_MESSAGE(reader.state() == once.state(), "head of " << size << " in pieces of " << piece);
        }
    }
}

BOOST_AUTO_TEST_CASE(AFoldedFieldIsReadOrRefusedWholeButNeverCut)
{
    // Folding is obsolete, and a server may refuse it (RFC 9112, 5.2); the library keeps 4096 bytes of such a field.
    for (const std::size_t length : {100UL, 4000UL, 5000UL, 12000UL})
    {
        MessageReader reader(MessageKind::Request, 16384, bodyLimit);
        (void)feed(reader, requestOf("X-Long: " + std::string(length, 'x') + "\r\n y\r\n"), 4096);
        const bool read = reader.state() == ReadState::Done;
        BOOST_TEST((read || reader.state() == ReadState::HeadTooLarge));
        BOOST_TEST(read == (length <= 4000));
        if (read)
            BOOST_TEST(reader.head().field("X-Long").size() == length + 2);
    }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithALineThatBeginsWithABlankIsMalformedHoweverItIsCut)
{
    for (const std::string blank : {" ", "\t"})
    {
        for (const std::string& lines :
             {blank + "X-A: 1\r\n", "X-A: 1\r\n" + blank + "X-B: 2\r\n", "X-A: 1\r\n" + blank + "\r\n"})
        {
            const std::string answer = "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 5\r\n\r\nwhole";
            for (std::size_t piece = 1; piece <= answer.size(); ++piece)
            {
                MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
                (void)feed(reader, answer, piece);
                BOOST_TEST((reader.state() == ReadState::Malformed), lines << " in pieces of " << piece);
            }
        }
    }
    // The same bytes in a body are no lines of the head.
    const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n a\r\n\tb\r";
    for (std::size_t piece = 1; piece <= good.size(); ++piece)
    {
        MessageReader reader(MessageKind::Answer, headLimit, bodyLimit);
        (void)feed(reader, good, piece);
        BOOST_TEST((reader.state() == ReadState::Done), "in pieces of " << piece);
    }
}

BOOST_AUTO_TEST_CASE(WhatFollowsTheLastChunkIsNoFieldOfTheHead)
{
    MessageReader reader(MessageKind::Request, headLimit, bodyLimit);
    (void)feed(reader, requestOf("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nHost: other\r\nX-T: 1\r\n\r\n"),
               1000);
    BOOST_TEST((reader.state() == ReadState::Done));
    BOOST_TEST(!reader.head().has("X-T"));
}

BOOST_AUTO_TEST_CASE(ATrailerDoesNotEndTheConnectionHoweverTheBytesAreCut)
{
    const std::string request =
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nConnection: close\r\n\r\n";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{40}, request.size()})
    {
        MessageReader reader(MessageKind::Request, 1000, 1000);
        std::string   unread;
        for (std::size_t at = 0; at < request.size(); at += piece)
        {
            unread += request.substr(at, piece);
            unread.erase(0, reader.read(unread));
        }
        BOOST_TEST((reader.state() == ReadState::Done));
        BOOST_TEST(reader.head().keepAlive);
        BOOST_TEST(!reader.head().has("Connection"));
    }
}

// Guards against memory that grows with a line of a chunked body, or a trailer, that does not end.
BOOST_AUTO_TEST_CASE(FramingWithoutEndIsRefusedAndNotKept)
{
    const std::string              chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> beginnings{
        "",      "5;",         "5;a=\"", "5\r\nhello\r\n",      "5\r\nhello\r\n3;x=",
        "0\r\n", "0\r\nX-T: ", "0;",     "0\r\nX-T: 1\r\nX-U: "};
    for (const std::string& beginning : beginnings)
    {
        for (const std::size_t piece : {1UL, 100UL, 8192UL})
        {
            for (const MessageKind kind : {MessageKind::Request, MessageKind::Answer})
            {
                const std::string head =
                    kind == MessageKind::Request ? requestOf(chunked) : "HTTP/1.1 200 OK\r\n" + chunked + "\r\n";
                MessageReader       reader(kind, headLimit, bodyLimit);
                core::ReceiveBuffer buffer;
                buffer.append(head + beginning);
                reader.read(buffer);
                std::size_t most = 0;
                for (int i = 0; i < 40'000 && reader.state() == ReadState::Body; ++i)
                {
                    buffer.append(std::string(piece, '0'));
                    reader.read(buffer);
                    most = std::max(most, buffer.size());
                }
                BOOST_TEST((reader.state() == ReadState::FramingTooLarge), beginning << " in pieces of " << piece);
                BOOST_TEST(most <= 2UL * headLimit + piece);
            }
        }
    }
}

// Guards against a limit on the framing of a body that counts each line alone.
BOOST_AUTO_TEST_CASE(ManyLinesOfFramingAreCountedTogether)
{
    MessageReader       reader(MessageKind::Answer, headLimit, std::uint64_t{1} << 20U);
    core::ReceiveBuffer buffer;
    buffer.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    int chunks = 0;
    for (; chunks < 1000 && reader.state() != ReadState::FramingTooLarge; ++chunks)
    {
        buffer.append("1;" + std::string(headLimit / 2, 'x') + "\r\nx\r\n");
        reader.read(buffer);
    }
    BOOST_TEST(chunks <= 4);
}

BOOST_AUTO_TEST_CASE(SmallChunksWithinTheLimitOfTheBodyAreRead)
{
    constexpr int       count = 100'000;
    MessageReader       reader(MessageKind::Answer, headLimit, count);
    core::ReceiveBuffer buffer;
    buffer.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < count; ++i)
    {
        buffer.append("1;a=b\r\nx\r\n");
        reader.read(buffer);
    }
    buffer.append("0\r\nX-Sum: " + std::string(headLimit / 2, 'x') + "\r\n\r\n");
    reader.read(buffer);
    BOOST_TEST((reader.state() == ReadState::Done));
    BOOST_TEST(reader.bodySize() == count);
}

BOOST_AUTO_TEST_SUITE_END()

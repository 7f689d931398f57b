#include <sailpath/adapters/links/Codec.hpp>
#include <sailpath/adapters/links/TunnelCodec.hpp>
#include <sailpath/core/Random.hpp>

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include "../../src/sailpath/adapters/links/Links.capnp.h"

#include <cstring>
#include <vector>

namespace
{
using namespace sailpath;
using adapters::links::decodeTunnel;
using adapters::links::encodeTunnel;

} // namespace

BOOST_AUTO_TEST_SUITE(TunnelsTest)

BOOST_AUTO_TEST_CASE(MessagesOfHelpersComeBackAsTheyWere)
{
    const std::vector<paths::TunnelMessage> messages{paths::TunnelOpened{paths::TunnelStatus::Busy},
                                                     paths::TunnelData{std::string("a\0b", 3)},
                                                     paths::TunnelData{},
                                                     paths::TunnelEnded{paths::TunnelEnd::Closed},
                                                     paths::TunnelEnded{paths::TunnelEnd::Reset},
                                                     paths::TunnelEnded{paths::TunnelEnd::Lost},
                                                     paths::TunnelEnded{paths::TunnelEnd::NotPassed}};
    std::string                             stream;
    for (const auto& message : messages)
        stream += encodeTunnel(message);
    for (const auto& message : messages)
    {
        const auto decoded = decodeTunnel(stream);
        BOOST_REQUIRE(decoded.message.has_value());
        BOOST_CHECK(*decoded.message == message);
        stream.erase(0, decoded.taken);
    }
    BOOST_TEST(stream.empty());
}

BOOST_AUTO_TEST_CASE(APartOfAMessageIsNoMessage)
{
    const std::string bytes = encodeTunnel(paths::TunnelData{"some bytes"});
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        const auto decoded = decodeTunnel(std::string_view(bytes).substr(0, length));
        BOOST_TEST(!decoded.message.has_value());
        BOOST_TEST(!decoded.malformed);
    }
}

BOOST_AUTO_TEST_CASE(ARequestForATunnelIsAMessageOfALink)
{
    const paths::TunnelOpen open{"i-7", 1234567};
    const auto              decoded = adapters::links::decode(adapters::links::encode(open));
    BOOST_REQUIRE(decoded.message.has_value());
    BOOST_CHECK(std::get<paths::TunnelOpen>(*decoded.message) == open);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoMessagesAreMalformedAndHarmless)
{
    core::Random      random(59);
    const std::string whole = encodeTunnel(paths::TunnelData{"some bytes"}) + encodeTunnel(paths::TunnelEnded{});
    unsigned          malformed = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        std::string bytes = whole;
        for (std::size_t change = 0; change <= random.below(4); ++change)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        malformed += decodeTunnel(bytes).malformed ? 1 : 0;
    }
    BOOST_TEST(malformed > 0U);
    BOOST_TEST(decodeTunnel(std::string("\xff\xff\xff\x7f", 4)).malformed);
    BOOST_TEST(decodeTunnel(std::string(4, '\0')).malformed);
}

// Guards against memory that grows with the length that another node announces.
BOOST_AUTO_TEST_CASE(AMessageThatIsLongerThanAnyOfAHelperIsMalformed)
{
    const std::string bytes = encodeTunnel(paths::TunnelData{std::string(65'536, 'x')});
    BOOST_TEST(decodeTunnel(std::string_view(bytes).substr(0, 4)).malformed);
    BOOST_TEST(!decodeTunnel(encodeTunnel(paths::TunnelData{std::string(32'768, 'x')})).malformed);
}

// Guards against nodes of the version before that take a reset connection for one that was closed in order: an answer
// without a length would look whole.
BOOST_AUTO_TEST_CASE(ANodeOfTheVersionBeforeReadsAResetAsNoBytes)
{
    for (const auto how : {paths::TunnelEnd::Reset, paths::TunnelEnd::Lost, paths::TunnelEnd::NotPassed})
    {
        const std::string        bytes = encodeTunnel(paths::TunnelEnded{how});
        std::vector<capnp::word> words((bytes.size() - 4) / sizeof(capnp::word));
        std::memcpy(words.data(), bytes.data() + 4, bytes.size() - 4);
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        // Its schema has the union alone, the pointer of which is the only one.
        const auto                    message = reader.getRoot<adapters::links::wire::TunnelMessage>();
        BOOST_TEST((message.which() == adapters::links::wire::TunnelMessage::DATA));
        BOOST_TEST(message.getData().size() == 0U);
    }
    const std::string closed = encodeTunnel(paths::TunnelEnded{});
    BOOST_TEST(closed.size() < 64U);
}

BOOST_AUTO_TEST_SUITE_END()

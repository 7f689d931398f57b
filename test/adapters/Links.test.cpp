#include <sailpath/adapters/links/Codec.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

namespace
{
using namespace sailpath;
using adapters::links::decode;
using adapters::links::encode;
using adapters::links::LinkMessage;

////////////////////////////////////////////////////////////
replication::Update updateOf()
{
    replication::Update update;
    update.at = 12;
    update.ageMs = 34;
    update.illAgeMs = 56;
    update.full = true;
    update.items = {{"k", std::string("a\0b", 3), 7, false}, {"gone", "", 8, true}};
    update.nodes = {
        {"10.0.0.1:7000", "dc1", 700, 3}, {"10.0.0.2:7001", "dc2", 0, 0}, {"10.0.0.3:7002", "dc1", 99900, 9}};
    return update;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinksTest)

BOOST_AUTO_TEST_CASE(AnUpdateComesBackAsItWas)
{
    const auto bytes = encode(LinkMessage(updateOf()));
    const auto decoded = decode(bytes);
    BOOST_REQUIRE(decoded.message);
    BOOST_TEST(decoded.taken == bytes.size());
    const auto& update = std::get<replication::Update>(*decoded.message);
    BOOST_TEST(update.at == 12U);
    BOOST_TEST(update.full);
    BOOST_TEST((update.items == updateOf().items));
    BOOST_REQUIRE_EQUAL(update.nodes.size(), 3U);
    BOOST_TEST((update.nodes[0] == updateOf().nodes[0]));
    BOOST_TEST(update.nodes[1].ageMs == 25500U); // The longest age that is told
    BOOST_TEST((update.nodes[2] == updateOf().nodes[1]));
}

BOOST_AUTO_TEST_CASE(AWholeCopyComesBackAsItWasAndIsPackedOnceForAll)
{
    replication::Update update = updateOf();
    const auto          items = update.items;
    update.items.clear();
    update.sharedItems = std::make_shared<const std::vector<replication::Item>>(items);
    const auto packed = adapters::links::packItems(items);
    for (const auto& bytes : {encode(LinkMessage(update)), encode(LinkMessage(update), packed)})
    {
        const auto decoded = decode(bytes);
        BOOST_REQUIRE(decoded.message);
        const auto& come = std::get<replication::Update>(*decoded.message);
        BOOST_REQUIRE(come.sharedItems);
        BOOST_TEST((*come.sharedItems == items));
        BOOST_TEST(come.items.empty());
    }
}

BOOST_AUTO_TEST_CASE(AWholeCopyThatDoesNotUnpackIsMalformed)
{
    replication::Update update = updateOf();
    update.sharedItems = std::make_shared<const std::vector<replication::Item>>(update.items);
    const auto decoded = decode(encode(LinkMessage(update), "no packed items"));
    BOOST_TEST(decoded.malformed);
}

BOOST_AUTO_TEST_CASE(ReportsOfFailingServersComeBackAsTheyWere)
{
    const std::vector<replication::ServerReport> failures{{0xffffffffU, 12, {1, 2}}, {3, 4, {}}};
    replication::Update                          update = updateOf();
    update.news = failures;
    const auto told = decode(encode(LinkMessage(update)));
    BOOST_TEST((std::get<replication::Update>(*told.message).news == failures));
    const auto report = decode(encode(LinkMessage(replication::Report{{}, failures})));
    BOOST_TEST((std::get<replication::Report>(*report.message).news == failures));
}

BOOST_AUTO_TEST_CASE(WhatIsToldOfLimitedServersComesBackAsItWas)
{
    constexpr double          none = std::numeric_limits<double>::infinity();
    replication::ServerReport report{5, 6, {}, {}, {}, {{7, 3.5, 40, 1.25, -2.5}, {8, none, 0, 0, 0}}};
    const LinkMessage         message(replication::Report{{}, {report}});
    const auto                come = decode(encode(message));
    BOOST_TEST((std::get<replication::Report>(*come.message).news.front() == report));
    // What cannot be is nobody's word.
    report.limits = {
        {7, -1, 0, 1, 0}, {7, std::nan(""), 0, 1, 0}, {7, 1, 0, -1, 0}, {7, 1, 0, none, 0}, {7, 1, 0, 0, none}};
    const auto odd = decode(encode(LinkMessage(replication::Report{{}, {report}})));
    BOOST_TEST(std::get<replication::Report>(*odd.message).news.front().limits.empty());
}

BOOST_AUTO_TEST_CASE(AHelloComesBackAsItWas)
{
    const auto  decoded = decode(encode(LinkMessage(replication::Hello{{"10.0.0.1:7000", "dc1", 0, 3}, 99})));
    const auto& hello = std::get<replication::Hello>(*decoded.message);
    BOOST_TEST((hello.self == replication::NodeAddress{"10.0.0.1:7000", "dc1", 0, 3}));
    BOOST_TEST(hello.at == 99U);
}

BOOST_AUTO_TEST_CASE(APartIsWaitedForAndNonsenseIsMalformed)
{
    const auto bytes = encode(LinkMessage(updateOf()));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        const auto decoded = decode(std::string_view(bytes).substr(0, size));
        BOOST_TEST(!decoded.message);
        BOOST_TEST(!decoded.malformed);
    }
    BOOST_TEST(decode(std::string("\xff\xff\xff\xff rubbish")).malformed);
    BOOST_TEST(decode(std::string("\x08\0\0\0\xff\xff\xff\xff\xff\xff\xff\xff", 12)).malformed);
}

BOOST_AUTO_TEST_SUITE_END()

#include "../../src/sailpath/gateway/RequestReader.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using gateway::priv::RequestReader;

constexpr core::Timestamp begin{1h};

////////////////////////////////////////////////////////////
std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestReaderTest)

BOOST_AUTO_TEST_CASE(EachRequestHasTheTimeOfItsFirstByte)
{
    RequestReader                  reader;
    const deployment::CallerLimits limits;
    const std::string              second = get("/2");
    reader.append(get("/1") + second.substr(0, 5), begin);
    reader.append(second.substr(5) + "\r\n", begin + 10ms);
    reader.append(get("/3"), begin + 20ms);
    for (const auto& [target, at] : {std::pair("/1", begin), std::pair("/2", begin), std::pair("/3", begin + 20ms)})
    {
        BOOST_REQUIRE((reader.read(limits) == http::ReadState::Done));
        BOOST_TEST(reader.head().target == target);
        BOOST_TEST((reader.firstByteAt() == at));
        reader.finishRequest();
    }
    BOOST_TEST(reader.empty());
}

BOOST_AUTO_TEST_CASE(AnEmptyLineDoesNotBeginARequest)
{
    RequestReader                  reader;
    const deployment::CallerLimits limits;
    reader.append("\r\n", begin);
    BOOST_TEST((reader.read(limits) == http::ReadState::Head));
    BOOST_TEST(!reader.hasRequest());
    reader.append(get("/1"), begin + 30ms);
    BOOST_TEST((reader.read(limits) == http::ReadState::Done));
    BOOST_TEST((reader.firstByteAt() == begin + 30ms));
}

BOOST_AUTO_TEST_CASE(ManySmallChunksKeepABoundedNumberOfTimes)
{
    RequestReader                  reader;
    const deployment::CallerLimits limits;
    std::string                    all;
    for (int i = 0; i < 50; ++i)
        all += get("/" + std::to_string(i));
    for (std::size_t i = 0; i < all.size(); ++i)
        reader.append(all.substr(i, 1), begin + i * 1ms);
    core::Timestamp last = begin;
    for (int i = 0; i < 50; ++i)
    {
        BOOST_REQUIRE((reader.read(limits) == http::ReadState::Done));
        // Bytes beyond the last kept time get an earlier time than their own, so no request seems newer than it is.
        BOOST_TEST((reader.firstByteAt() >= last));
        BOOST_TEST((reader.firstByteAt() <= begin + 64ms));
        last = reader.firstByteAt();
        reader.finishRequest();
    }
}

BOOST_AUTO_TEST_CASE(NothingIsReadAfterAStop)
{
    RequestReader reader;
    reader.append(get("/1"), begin);
    reader.stop();
    reader.append(get("/2"), begin);
    BOOST_TEST((reader.read(deployment::CallerLimits{}) == http::ReadState::Head));
    BOOST_TEST(reader.unreadBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

////////////////////////////////////////////////////////////
/// \brief A gateway in front of a server whose answers carry header lines set by the test
////////////////////////////////////////////////////////////
struct LimitFixture
{
    LimitFixture() :
    fixture([this](const std::string& request) { return answer(request); })
    {
    }

    Script answer(const std::string& request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string                 id = fieldOf(request, "X-Id");
        if (fails)
            return {"HTTP/1.1 500 Oops\r\nX-Id: " + id + "\r\nX-Mark: m\r\n" + headerLines +
                    "Content-Length: 0\r\n\r\n"};
        return {Fixture::okAnswer(id, "body", headerLines)};
    }

    void sendUntilAnswered(const std::string& lines, bool failing = false)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            headerLines = lines;
            fails = failing;
        }
        // A limited server gets a request now and then; the gateway refuses the others.
        for (int tries = 0; tries < 200; ++tries)
        {
            TestCaller caller(fixture.gateway->port());
            caller.write(Fixture::request("/pay/1", "r" + std::to_string(++requestsSent), {}, "POST"));
            // The gateway logs a changed limit in the same run of the event loop in which it writes the answer.
            const int status = statusOf(caller.readAnswer());
            fixture.onLoop([] {});
            if (status != 503)
                return;
            std::this_thread::sleep_for(50ms);
        }
        BOOST_TEST(false, "no request reached the server");
    }

    std::size_t count(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(fixture.log.mutex);
        std::size_t                       found = 0;
        for (auto at = fixture.log.text.find(line); at != std::string::npos; at = fixture.log.text.find(line, at + 1))
            ++found;
        return found;
    }

    std::mutex  mutex;
    std::string headerLines;
    bool        fails{false};
    unsigned    requestsSent{0};
    Fixture     fixture;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimitsTest)

BOOST_FIXTURE_TEST_CASE(ALimitIsReadFromAnyAnswerAndEndsWhenItIsMissing, LimitFixture)
{
    sendUntilAnswered("X-Limit: 3.5\r\n");
    BOOST_TEST(count("server-limited instance=i-1 service=portal perSecond=3.5") == 1U);
    sendUntilAnswered("X-Limit: 3.5\r\n");
    BOOST_TEST(count("server-limited") == 1U);
    sendUntilAnswered("X-Limit: 0.2\r\n", true);
    BOOST_TEST(count("server-limited instance=i-1 service=portal perSecond=0.2") == 1U);
    sendUntilAnswered("");
    BOOST_TEST(count("server-unlimited instance=i-1") == 1U);
}

BOOST_FIXTURE_TEST_CASE(TheLowerOfTwoLimitsAppliesAndMalformedOnesAreIgnored, LimitFixture)
{
    sendUntilAnswered("X-Limit: 9\r\nlimit: 4\r\n");
    BOOST_TEST(count("perSecond=4") == 1U);
    sendUntilAnswered("X-Limit: soon\r\n");
    sendUntilAnswered("X-Limit: -1\r\n");
    BOOST_TEST(count("server-unlimited") == 0U);
    BOOST_TEST(count("server-limited") == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnUnknownFieldIsLoggedOnce, LimitFixture)
{
    sendUntilAnswered("X-Mood: low\r\nContent-Type: text/plain\r\n");
    sendUntilAnswered("X-Mood: high\r\n");
    BOOST_TEST(count("server-field-unknown instance=i-1 field=X-Mood value=low") == 1U);
    BOOST_TEST(count("server-field-unknown") == 1U);
    std::string many;
    for (int i = 0; i < 40; ++i)
        many += "X-New-" + std::to_string(i) + ": 1\r\n";
    sendUntilAnswered(many);
    BOOST_TEST(count("server-field-unknown") == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

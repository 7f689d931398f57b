#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

////////////////////////////////////////////////////////////
/// \brief A gateway in front of a server whose answers are set by the test
////////////////////////////////////////////////////////////
struct NoticeFixture
{
    NoticeFixture() :
    fixture([this](const std::string& request) { return answer(request); })
    {
    }

    Script answer(const std::string& request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (request.starts_with("GET /health"))
            return {"HTTP/1.1 200 OK\r\n" + health + "Content-Length: 0\r\n\r\n"};
        const std::string id = fieldOf(request, "X-Id");
        const std::string idLine = omitsId ? std::string() : "X-Id: " + id + "\r\n";
        const std::string body = "HTTP/1.1 " + status + "\r\n" + idLine + "X-Mark: m\r\n" + headerLines +
                                 "Content-Length: " + std::to_string(contentLength) + "\r\n\r\n" +
                                 std::string(sentBodyBytes, 'b');
        return {body, delay, sentBodyBytes < contentLength};
    }

    /// \brief Have one request answered with the given status and header lines
    void sendUntilForwarded(const std::string& answerStatus, const std::string& lines)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            status = answerStatus;
            headerLines = lines;
        }
        // After refusals the gateway sends requests only now and then.
        const std::size_t before = fixture.server.requests().size();
        for (int tries = 0; tries < 200 && fixture.server.requests().size() == before; ++tries)
        {
            if (tries > 0)
                std::this_thread::sleep_for(50ms);
            TestCaller caller(fixture.gateway->port());
            caller.write(Fixture::request("/pay/1", "r" + std::to_string(++requestsSent), {}, "POST"));
            (void)caller.readAnswer();
        }
        BOOST_TEST(fixture.server.requests().size() > before);
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
    std::string status{"200 OK"};
    std::string headerLines;
    std::string health; //!< Header lines of health answers
    bool        omitsId{false};
    std::size_t contentLength{0}; //!< Content-Length of the answer, in bytes
    std::size_t sentBodyBytes{0}; //!< Bytes of the body that are sent
    unsigned    requestsSent{0};

    std::chrono::milliseconds delay{0}; //!< Time from a request to its answer
    Fixture                   fixture;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerNoticesTest)

BOOST_FIXTURE_TEST_CASE(ALeavingServerIsLoggedOnce, NoticeFixture)
{
    sendUntilForwarded("200 OK", "X-Leaving: no\r\n");
    BOOST_TEST(count("server-leaving") == 0U);
    sendUntilForwarded("200 OK", "Leaving: yes\r\n");
    BOOST_TEST(count("server-leaving instance=i-1 service=portal source=answer") == 1U);
    sendUntilForwarded("500 Oops", "X-Leaving: yes\r\n");
    BOOST_TEST(count("server-leaving") == 1U);
}

BOOST_FIXTURE_TEST_CASE(ALeavingServerGetsNoRequestsAfterItsGracePeriod, NoticeFixture)
{
    sendUntilForwarded("200 OK", "X-Leaving: yes\r\n");
    std::this_thread::sleep_for(1100ms);
    const std::size_t before = fixture.server.requests().size();
    TestCaller        caller(fixture.gateway->port());
    caller.write(Fixture::request("/read/1", "late"));
    const std::string answer = caller.readAnswer();
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(!fieldOf(answer, "Retry-After").empty());
    BOOST_TEST(fixture.server.requests().size() == before);
}

BOOST_FIXTURE_TEST_CASE(ANoticeOnAnAnswerToADisconnectedCallerCounts, NoticeFixture)
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        headerLines = "X-Leaving: yes\r\n";
        delay = 300ms;
    }
    {
        TestCaller caller(fixture.gateway->port());
        caller.write(Fixture::request("/pay/1", "left", {}, "POST"));
        while (fixture.server.requests().empty())
            std::this_thread::sleep_for(1ms);
        caller.close();
    }
    for (int tries = 0; tries < 500 && count("server-leaving") == 0; ++tries)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(count("server-leaving instance=i-1") == 1U);
}

BOOST_FIXTURE_TEST_CASE(AServerThatAsksForABackOffGetsNoRequestsUntilItIsOver, NoticeFixture)
{
    sendUntilForwarded("503 Full", "X-Not-Run: full\r\nRetry-After: 0.6\r\n");
    const std::size_t before = fixture.server.requests().size();
    const auto        begun = std::chrono::steady_clock::now();
    {
        const std::lock_guard<std::mutex> lock(mutex);
        status = "200 OK";
        headerLines.clear();
    }
    int refused = 0;
    while (fixture.server.requests().size() == before && refused < 200)
    {
        TestCaller caller(fixture.gateway->port());
        caller.write(Fixture::request("/read/1", "again" + std::to_string(refused)));
        if (statusOf(caller.readAnswer()) == 200)
            break;
        ++refused;
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(refused > 1);
    BOOST_TEST((std::chrono::steady_clock::now() - begun >= 550ms));
    BOOST_TEST(count("reason=all-back-off") > 0U);
}

BOOST_FIXTURE_TEST_CASE(NoticesOnHealthAnswersCount, NoticeFixture)
{
    fixture.onLoop(
        [this]
        {
            auto deployment = std::make_shared<deployment::Deployment>(*fixture.declared.deployment);
            deployment->version += 1;
            deployment->services = {{"portal", "/health", 0}};
            fixture.declared.deployment = deployment;
            fixture.gateway->configure(fixture.declared);
        });
    health = "X-Who: i-2\r\nX-Leaving: yes\r\n";
    sendUntilForwarded("200 OK", "");
    BOOST_TEST(count("server-leaving") == 0U);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        health = "X-Who: i-1\r\nX-Leaving: yes\r\n";
    }
    sendUntilForwarded("200 OK", "");
    BOOST_TEST(count("server-leaving instance=i-1 service=portal source=health-answer") == 1U);
}

BOOST_FIXTURE_TEST_CASE(NoticesOnAnswersOfOtherInstancesAreIgnored, NoticeFixture)
{
    sendUntilForwarded("421 Misdirected", "X-Not-Run: other\r\nX-Leaving: yes\r\n");
    sendUntilForwarded("200 OK", "X-Who: i-2\r\nX-Leaving: yes\r\n");
    omitsId = true;
    sendUntilForwarded("500 Oops", "X-Leaving: yes\r\n");
    BOOST_TEST(count("server-leaving") == 0U);
}

BOOST_FIXTURE_TEST_CASE(ANoticeOnATruncatedAnswerCounts, NoticeFixture)
{
    contentLength = 1000;
    sentBodyBytes = 10;
    sendUntilForwarded("200 OK", "X-Leaving: yes\r\n");
    BOOST_TEST(count("server-leaving instance=i-1") == 1U);
}

BOOST_FIXTURE_TEST_CASE(OnlyA503WithAValidRetryAfterSetsABackOff, NoticeFixture)
{
    sendUntilForwarded("200 OK", "Retry-After: 2\r\n");
    sendUntilForwarded("429 Slow", "X-Not-Run: full\r\nRetry-After: 2\r\n");
    for (const char* unreadable : {"soon", "-1", "2s", "nan", "inf", ""})
        sendUntilForwarded("503 Full", "X-Not-Run: full\r\nRetry-After: " + std::string(unreadable) + "\r\n");
    BOOST_TEST(count("server-backs-off") == 0U);
    sendUntilForwarded("503 Full", "X-Not-Run: full\r\nRetry-After: 0.5\r\nRetry-After: 1.5\r\n");
    BOOST_TEST(count("server-backs-off instance=i-1 service=portal source=answer forMs=1500") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

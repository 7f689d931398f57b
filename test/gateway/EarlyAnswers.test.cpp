// Guards against the received part of an answer that is passed on as a whole one. A server that resets the connection
// while a request is being written to it makes the write fail; the reads that follow get what had arrived and then an end
// of file, which also ends an answer without a length.

#include <support/EarlyServer.hpp>
#include <support/HelperFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

constexpr std::size_t   uploadBytes = 6'000'000; // More than the buffers of two sockets hold
constexpr std::uint64_t bodyLimit = 8'000'000;
constexpr std::uint64_t bufferLimit = 64'000'000;

////////////////////////////////////////////////////////////
/// \brief A gateway in front of a server that answers early
////////////////////////////////////////////////////////////
struct EarlyFixture : Fixture
{
    explicit EarlyFixture(EarlyServer::Answer answer) :
    Fixture(echo, true, 10s, 3000, bufferLimit),
    early(std::move(answer))
    {
        configure(2000, bodyLimit);
        declared.instances[0].port = early.port();
        onLoop([this] { gateway->configure(declared); });
    }

    EarlyServer early;
};

////////////////////////////////////////////////////////////
/// \brief Body of all answers of the early servers, whole or in part
////////////////////////////////////////////////////////////
const std::string& answerBody()
{
    static const std::string body(3000, 'b');
    return body;
}

////////////////////////////////////////////////////////////
std::string withoutLength(const std::string& head, const std::string& version)
{
    return "HTTP/" + version + " 200 OK\r\nX-Id: " + fieldOf(head, "X-Id") +
           "\r\nX-Mark: m\r\nConnection: close\r\n\r\n" + answerBody();
}

////////////////////////////////////////////////////////////
std::string upload(Fixture& fixture, const std::string& path, const std::string& id)
{
    const std::string length = "Content-Length: " + std::to_string(uploadBytes) + "\r\n";
    return ask(fixture, Fixture::request(path, id, length, "POST") + std::string(uploadBytes, 'u'));
}

////////////////////////////////////////////////////////////
/// \brief Ways in which a server breaks off while it is being sent a request
////////////////////////////////////////////////////////////
std::vector<EarlyScript> brokenWays()
{
    std::vector<EarlyScript> ways;
    for (const std::size_t readFirst : {std::size_t{0}, uploadBytes / 2})
    {
        for (const auto delay : {0ms, 1ms, 20ms, 100ms})
        {
            for (const EarlyEnd end :
                 {EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfCloseThenReset, EarlyEnd::ReadThenReset})
                ways.push_back({{}, end, readFirst, delay});
        }
    }
    return ways;
}

////////////////////////////////////////////////////////////
/// \brief Get the script of a request from its id, which ends in the number of the way
////////////////////////////////////////////////////////////
EarlyServer::Answer breaksOff(const std::string& version)
{
    return [version](const std::string& head)
    {
        const std::string id = fieldOf(head, "X-Id");
        EarlyScript       script = brokenWays().at(std::stoul(id.substr(id.find('-') + 1)));
        script.answer = withoutLength(head, version);
        return script;
    };
}

////////////////////////////////////////////////////////////
/// \brief Upload to a server that breaks off in each way; no caller gets the part as an answer, or is told that the
///        request has not run
////////////////////////////////////////////////////////////
void areLost(Fixture& fixture)
{
    std::size_t whole = 0;
    std::size_t asked = 0;
    for (const std::string path : {"/read/1", "/pay/1"})
    {
        for (std::size_t way = 0; way < brokenWays().size(); ++way)
        {
            const std::string answer = upload(fixture, path, path.substr(1, 3) + "-" + std::to_string(way));
            BOOST_TEST(statusOf(answer) == 502, path << " way " << way << ": " << answer.substr(0, 60));
            whole += statusOf(answer) == 200 ? 1 : 0;
            ++asked;
        }
    }
    BOOST_TEST(whole == 0U, whole << " of " << asked << " callers got the part as a whole answer");
}

} // namespace

BOOST_AUTO_TEST_SUITE(EarlyAnswersTest)

BOOST_AUTO_TEST_CASE(APartOfAnAnswerIsNoAnswerWhenTheConnectionIsResetDuringTheUpload)
{
    for (const std::string version : {"1.1", "1.0"})
    {
        EarlyFixture fixture(breaksOff(version));
        areLost(fixture);
    }
}

BOOST_AUTO_TEST_CASE(APartOfAnAnswerIsNoAnswerWhenTheConnectionOfAHelperIsResetDuringTheUpload)
{
    EarlyFixture fixture(breaksOff("1.1"));
    Helper       helper(fixture);
    losePath(fixture, {&helper});
    areLost(fixture);
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers > 0U);
}

BOOST_AUTO_TEST_CASE(AnAnswerThatEndsInOrderIsWholeHoweverLateTheRequestIsRead)
{
    for (const bool throughHelper : {false, true})
    {
        for (const EarlyEnd end : {EarlyEnd::ReadThenClose, EarlyEnd::HalfCloseThenRead})
        {
            EarlyFixture fixture(
                [end](const std::string& head) {
                    return EarlyScript{withoutLength(head, "1.1"), end, 0, 100ms};
                });
            Helper helper(fixture);
            if (throughHelper)
                losePath(fixture, {&helper});
            for (const std::string path : {"/read/1", "/pay/1"})
            {
                const std::string answer = upload(fixture, path, path.substr(1, 3) + std::to_string(throughHelper));
                BOOST_TEST(statusOf(answer) == 200, path << ": " << answer.substr(0, 60));
                BOOST_TEST(answer.ends_with("\r\n\r\n" + answerBody()));
            }
            BOOST_TEST((fixture.gateway->counters().attemptsThroughHelpers > 0) == throughHelper);
        }
    }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithALengthIsWholeWhateverBecomesOfItsConnection)
{
    for (const bool throughHelper : {false, true})
    {
        for (const EarlyEnd end : {EarlyEnd::Reset, EarlyEnd::ReadThenClose})
        {
            EarlyFixture fixture(
                [end](const std::string& head) {
                    return EarlyScript{Fixture::okAnswer(fieldOf(head, "X-Id"), answerBody()), end, 0, 20ms};
                });
            Helper helper(fixture);
            if (throughHelper)
                losePath(fixture, {&helper});
            for (const std::string path : {"/read/1", "/pay/1"})
            {
                const std::string answer = upload(fixture, path, path.substr(1, 3));
                BOOST_TEST(statusOf(answer) == 200, path << ": " << answer.substr(0, 60));
                BOOST_TEST(answer.ends_with("\r\n\r\n" + answerBody()));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an answer whose head is cut short that is passed on as a whole one with an empty or short body. Operators
// of a similar system saw this after servers that stopped in the middle of a head.

#include <sailpath/http/MessageReader.hpp>

#include <support/HelperFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <string_view>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

constexpr std::size_t stride = 7; // Of the places at which a head is cut through a gateway; the reader is cut at each

////////////////////////////////////////////////////////////
/// \brief An answer to a request, its fields in several orders and its body framed in each way
////////////////////////////////////////////////////////////
std::string answerInForm(std::size_t form, const std::string& id)
{
    const std::string own = "X-Id: " + id + "\r\nX-Mark: m\r\n";
    switch (form)
    {
    case 0:
        return "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 5\r\n\r\nwhole";
    case 1:
        return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + own + "X-Last: 1\r\n\r\nwhole";
    case 2:
        return "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    case 3:
        return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "Content-Length: 5\r\n\r\nwhole";
    default:
        return "HTTP/1.1 200 OK\r\n" + own + "Connection: close\r\n\r\nwhole";
    }
}

constexpr std::size_t forms = 5;
constexpr std::size_t untilClose = 4; // The form whose body ends with the connection

////////////////////////////////////////////////////////////
/// \brief Number in a request's path that tells how its answer is cut: `/read/FORM-LENGTH-RESET`
////////////////////////////////////////////////////////////
Script cutAnswer(const std::string& request)
{
    std::array<std::size_t, 3> numbers{};
    std::size_t                at = request.find('/', request.find('/') + 1);
    for (std::size_t& number : numbers)
    {
        number = std::stoul(request.substr(at + 1));
        at = request.find('-', at + 1);
    }
    const std::string whole = answerInForm(numbers[0], fieldOf(request, "X-Id"));
    return {whole.substr(0, numbers[1]), std::chrono::milliseconds{0}, numbers[2] == 0, numbers[2] == 1};
}

////////////////////////////////////////////////////////////
/// \brief Ask for all forms, cut within their heads; none is a success
////////////////////////////////////////////////////////////
void areNoSuccess(Fixture& fixture, const std::string& path, const std::string& method)
{
    int asked = 0;
    for (std::size_t form = 0; form < forms; ++form)
    {
        const std::size_t head = answerInForm(form, "r100").rfind("\r\n\r\n", answerInForm(form, "r100").find("whole"));
        for (std::size_t length = 0; length < head + 4; length += stride)
        {
            for (const int reset : {0, 1})
            {
                const std::string id = "r" + std::to_string(100 + asked++ % 900);
                const std::string target =
                    path + std::to_string(form) + "-" + std::to_string(length) + "-" + std::to_string(reset);
                const std::string answer =
                    ask(fixture, Fixture::request(target, id, method == "POST" ? "Content-Length: 0\r\n" : "", method));
                // A refusal that says the request has not run would be untrue, so it is no 503 either.
                BOOST_TEST(statusOf(answer) == 502, target << ": " << answer.substr(0, 100));
            }
        }
        const std::string whole = answerInForm(form, "r000");
        const std::string answer =
            ask(fixture, Fixture::request(path + std::to_string(form) + "-" + std::to_string(whole.size()) + "-0",
                                          "r000", method == "POST" ? "Content-Length: 0\r\n" : "", method));
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(answer.ends_with("whole"));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(CutHeadsTest)

BOOST_AUTO_TEST_CASE(NoHeadThatIsCutAtAnyByteIsAWholeMessage)
{
    for (std::size_t form = 0; form < forms; ++form)
    {
        const std::string whole = answerInForm(form, "r1");
        for (std::size_t length = 0; length <= whole.size(); ++length)
        {
            // Interim answers are messages of their own.
            http::MessageReader reader(http::MessageKind::Answer, 1024, 1024);
            core::ReceiveBuffer buffer;
            buffer.append(std::string_view(whole).substr(0, length));
            reader.read(buffer);
            const bool          interim = reader.state() == http::ReadState::Done && reader.head().status < 200;
            http::MessageReader next(http::MessageKind::Answer, 1024, 1024);
            if (interim)
                next.read(buffer);
            http::MessageReader& last = interim ? next : reader;
            last.ended();
            const std::size_t bodyFrom = whole.find("whole");
            const bool        complete = length == whole.size() || (form == untilClose && length >= bodyFrom);
            BOOST_TEST((last.state() == http::ReadState::Done) == complete, "form " << form << " cut to " << length);
        }
    }
}

BOOST_AUTO_TEST_CASE(AnswersWithCutHeadsAreNoSuccessOnADirectConnection)
{
    PatientFixture fixture(cutAnswer);
    areNoSuccess(fixture, "/read/", "GET");
    areNoSuccess(fixture, "/pay/", "POST");
}

BOOST_AUTO_TEST_CASE(AnswersWithCutHeadsAreNoSuccessThroughAHelper)
{
    PatientFixture fixture(cutAnswer);
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    areNoSuccess(fixture, "/read/", "GET");
    areNoSuccess(fixture, "/pay/", "POST");
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against answers that are not of the protocol and are passed on, or waited for until the deadline.

#include <support/HelperFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <vector>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

constexpr auto mostTime = std::chrono::seconds{5}; // Half of the route's timeout

////////////////////////////////////////////////////////////
/// \brief An answer with a status line and further lines of the head
////////////////////////////////////////////////////////////
std::string answerOf(const std::string& request, const std::string& statusLine, const std::string& lines)
{
    return statusLine + "\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nX-Mark: m\r\n" + lines + "\r\nwhole";
}

////////////////////////////////////////////////////////////
/// \brief Malformed answers by the number in which a request's path ends
////////////////////////////////////////////////////////////
using Variants = std::vector<std::pair<std::string, std::string>>; // Status line and further lines

Variants statusVariants()
{
    Variants variants;
    for (const std::string status : {"000", "007", "099", "600", "700", "999", "20", "2000", "2x0", "-20", ""})
        variants.emplace_back("HTTP/1.1 " + status + " Odd", "Content-Length: 5\r\n");
    return variants;
}

////////////////////////////////////////////////////////////
Variants nameVariants()
{
    const std::vector<std::string> marks{" ", "\t", std::string(1, '\0'), "\x01", "\x1f", "\x7f", "\x80", "\xff",
                                         "(", "\r"};
    Variants                       variants;
    const auto add = [&](const std::string& lines) { variants.emplace_back("HTTP/1.1 200 OK", lines); };
    for (const std::string& mark : marks)
    {
        add("X" + mark + "Odd: 1\r\nContent-Length: 5\r\n");
        add("X-Odd" + mark + ": 1\r\nContent-Length: 5\r\n");
        add(mark + "X-Odd: 1\r\nContent-Length: 5\r\n");
        add("Content" + mark + "Length: 5\r\n");
        add("Content-Length" + mark + ": 5\r\n");
        add("Transfer-Encoding" + mark + ": chunked\r\n");
        add("Content-Length: 5\r\nX-Odd" + mark + "Last: 1\r\n");
    }
    add(": 1\r\nContent-Length: 5\r\n");
    add("X-Odd\r\nContent-Length: 5\r\n");
    add("Content-Length 5\r\n");
    return variants;
}

////////////////////////////////////////////////////////////
ScriptedServer::Answer malformed(const Variants& variants)
{
    return [variants](const std::string& request)
    {
        const auto&       target = request.substr(0, request.find(" HTTP"));
        const std::size_t which = std::stoul(target.substr(target.rfind('/') + 1));
        return Script{answerOf(request, variants.at(which).first, variants.at(which).second)};
    };
}

////////////////////////////////////////////////////////////
/// \brief Ask for each answer on both routes; all are lost at once
////////////////////////////////////////////////////////////
void areLost(Fixture& fixture, const Variants& variants)
{
    for (const std::string method : {"GET", "POST"})
    {
        for (std::size_t which = 0; which < variants.size(); ++which)
        {
            const std::string path = (method == "GET" ? "/read/" : "/pay/") + std::to_string(which);
            const auto        begun = std::chrono::steady_clock::now();
            const std::string answer =
                ask(fixture, Fixture::request(path, method + std::to_string(which),
                                              method == "POST" ? "Content-Length: 0\r\n" : "", method));
            BOOST_TEST(statusOf(answer) == 502, method << " " << variants[which].first << " / "
                                                       << variants[which].second << ": " << answer.substr(0, 80));
            BOOST_TEST((std::chrono::steady_clock::now() - begun < mostTime),
                       variants[which].first << " / " << variants[which].second << " was waited for");
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(MalformedAnswersTest)

BOOST_AUTO_TEST_CASE(AStatusOutsideOfAllClassesIsLostAtOnce)
{
    PatientFixture fixture(malformed(statusVariants()));
    areLost(fixture, statusVariants());
}

BOOST_AUTO_TEST_CASE(AStatusOutsideOfAllClassesIsLostAtOnceThroughAHelper)
{
    PatientFixture fixture(malformed(statusVariants()));
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    areLost(fixture, statusVariants());
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers > 0U);
}

BOOST_AUTO_TEST_CASE(ANameOfAFieldThatIsNoTokenIsLostAtOnce)
{
    PatientFixture fixture(malformed(nameVariants()));
    areLost(fixture, nameVariants());
}

BOOST_AUTO_TEST_CASE(ANameOfAFieldThatIsNoTokenIsLostAtOnceThroughAHelper)
{
    PatientFixture fixture(malformed(nameVariants()));
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    areLost(fixture, nameVariants());
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers > 0U);
}

BOOST_AUTO_TEST_CASE(AnotherServerIsAskedAfterAStatusOutsideOfAllClasses)
{
    constexpr int     earning = 30; // Requests that earn a retry
    std::atomic<bool> oddOnce{false};
    PatientFixture    fixture(
        [&](const std::string& request)
        {
            return oddOnce.exchange(false) ? Script{answerOf(request, "HTTP/1.1 000 Odd", "Content-Length: 5\r\n")}
                                              : Fixture::echo(request);
        });
    for (int i = 0; i < earning; ++i)
        BOOST_TEST(statusOf(ask(fixture, Fixture::request("/read/1", "e" + std::to_string(i)))) == 200);
    // A second server of the service, as a request is not sent to one server twice.
    fixture.declared.instances.push_back(fixture.declared.instances[0]);
    fixture.declared.instances[1].id = "i-2";
    fixture.onLoop([&] { fixture.gateway->configure(fixture.declared); });
    const std::size_t before = fixture.server.requests().size();
    oddOnce = true;
    BOOST_TEST(ask(fixture, Fixture::request("/read/1", "again")).ends_with("for again"));
    BOOST_TEST(fixture.server.requests().size() == before + 2);
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/HelperFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

constexpr std::size_t endless = 4UL << 20U;               // Bytes that follow; far beyond all limits
constexpr auto        mostTime = std::chrono::seconds{5}; // Half of the route's timeout

////////////////////////////////////////////////////////////
/// \brief Beginnings of answers after which nothing that follows ends what has begun
////////////////////////////////////////////////////////////
const std::vector<std::string>& beginnings()
{
    static const std::string              chunked = "Transfer-Encoding: chunked\r\n\r\n";
    static const std::vector<std::string> all{chunked, chunked + "5;",
                                              chunked + "5\r\nhello\r\n0\r\nX-Sum: ", "X-Long: "};
    return all;
}

////////////////////////////////////////////////////////////
Script endlessAnswer(const std::string& request)
{
    const std::string id = fieldOf(request, "X-Id");
    const std::size_t which = static_cast<std::size_t>(id.back() - '0');
    return {"HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Mark: m\r\n" + beginnings()[which] + std::string(endless, '0')};
}

////////////////////////////////////////////////////////////
/// \brief Ask for each of the answers on a route; none is passed on, and none is said not to have run
////////////////////////////////////////////////////////////
void areLost(Fixture& fixture, std::string_view path, std::string_view method)
{
    for (std::size_t which = 0; which < beginnings().size(); ++which)
    {
        const auto        begun = std::chrono::steady_clock::now();
        const std::string answer =
            ask(fixture, Fixture::request(std::string(path), std::string(method) + std::to_string(which),
                                          method == "POST" ? "Content-Length: 0\r\n" : "", std::string(method)));
        BOOST_TEST(statusOf(answer) == 502, which << ": " << answer.substr(0, 200));
        BOOST_TEST((std::chrono::steady_clock::now() - begun < mostTime));
        BOOST_TEST(answer.find("X-Not-Run") == std::string::npos);
    }
    const std::lock_guard<std::mutex> lock(fixture.log.mutex);
    BOOST_TEST(fixture.log.text.find("/too-large") != std::string::npos);
}

} // namespace

// Guards against answers whose framing does not end: they were received into memory until the process had none left.
BOOST_AUTO_TEST_SUITE(EndlessAnswersTest)

BOOST_AUTO_TEST_CASE(AreLostOnADirectConnection)
{
    PatientFixture fixture(endlessAnswer);
    areLost(fixture, "/read/1", "GET");
    areLost(fixture, "/pay/1", "POST");
}

BOOST_AUTO_TEST_CASE(AreLostThroughAHelper)
{
    PatientFixture fixture(endlessAnswer);
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    areLost(fixture, "/read/1", "GET");
    areLost(fixture, "/pay/1", "POST");
    BOOST_TEST(fixture.gateway->counters().attemptsThroughHelpers > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

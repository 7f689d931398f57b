// Guards against requests that a node takes for another one while it stops, and that are lost when its process ends.

#include <support/HelperFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

namespace
{
using namespace sailpath;
using namespace sailpath::support;

constexpr auto serverTime = 600ms; // For requests of `/pay/late` and `/read/late`

////////////////////////////////////////////////////////////
Script answerLate(const std::string& request)
{
    const std::string id = fieldOf(request, "X-Id");
    const bool        late = request.find("/late ") != std::string::npos;
    return {Fixture::okAnswer(id, "for " + id), late ? std::chrono::milliseconds(serverTime) : 0ms};
}

////////////////////////////////////////////////////////////
std::string requestOn(const std::string& path, const std::string& id, std::size_t bodyBytes = 2)
{
    return Fixture::request(path, id, "Content-Length: " + std::to_string(bodyBytes) + "\r\n", "POST") +
           std::string(bodyBytes, 'u');
}

////////////////////////////////////////////////////////////
/// \brief A gateway that reaches its server through helpers, one of which has a tunnel that rests and stops as planned
////////////////////////////////////////////////////////////
struct StoppingHelper
{
    explicit StoppingHelper(bool another) :
    fixture(answerLate)
    {
        helpers.push_back(std::make_unique<Helper>(fixture));
        if (another)
            helpers.push_back(std::make_unique<Helper>(fixture));
        std::vector<const Helper*> known;
        for (const auto& helper : helpers)
            known.push_back(helper.get());
        losePath(fixture, known);
        BOOST_TEST(ask(fixture, requestOn("/pay/1", "first")).ends_with("for first"));
        stopping =
            helpers.front()->tunnels() + helpers.front()->asked > 0 ? helpers.front().get() : helpers.back().get();
        std::promise<void> closing;
        asio::post(stopping->context,
                   [&]
                   {
                       stopping->gateway->startDraining();
                       stopping->gateway->closeIdle();
                       closing.set_value();
                   });
        closing.get_future().wait();
    }

    /// \brief Ask on the tunnel that rests, and end the helper before the server answers
    std::string askAndEnd(const std::string& path, std::size_t bodyBytes = 2)
    {
        TestCaller caller(fixture.gateway->port());
        caller.write(requestOn(path, "late", bodyBytes));
        std::this_thread::sleep_for(serverTime / 2);
        stopping->stop();
        return caller.readAnswer();
    }

    PatientFixture                       fixture;
    std::vector<std::unique_ptr<Helper>> helpers;
    Helper*                              stopping{nullptr};
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoppingHelpersTest)

BOOST_AUTO_TEST_CASE(AnotherHelperPassesOnWhatComesWhileOneStops)
{
    for (const std::string path : {"/pay/late", "/read/late"})
    {
        for (const std::size_t bodyBytes : {2UL, 50'000UL})
        {
            StoppingHelper setup(true);
            BOOST_TEST(setup.askAndEnd(path, bodyBytes).ends_with("for late"), path << " with " << bodyBytes);
            BOOST_TEST(setup.fixture.server.requests().size() == 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(WithoutAnotherHelperTheRequestIsRefusedAsNotRun)
{
    for (const std::string path : {"/pay/late", "/read/late"})
    {
        StoppingHelper setup(false);
        BOOST_TEST(statusOf(setup.askAndEnd(path)) == 503, path);
        BOOST_TEST(setup.fixture.server.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(ARequestThatHasBegunToPassIsFinished)
{
    PatientFixture fixture(answerLate);
    Helper         helper(fixture);
    losePath(fixture, {&helper});
    TestCaller caller(fixture.gateway->port());
    caller.write(requestOn("/pay/late", "begun"));
    BOOST_TEST(waitFor([&] { return fixture.server.requests().size() == 1; }));
    asio::post(helper.context,
               [&]
               {
                   helper.gateway->startDraining();
                   helper.gateway->closeIdle();
               });
    BOOST_TEST(caller.readAnswer().ends_with("for begun"));
}

BOOST_AUTO_TEST_SUITE_END()

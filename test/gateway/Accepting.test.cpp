#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::Fixture;
using support::statusOf;
using support::TestCaller;

////////////////////////////////////////////////////////////
/// \brief Limits the file descriptors of the process during its lifetime
////////////////////////////////////////////////////////////
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered{limit, m_before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit m_before{};
};

} // namespace

// A node that reports itself ready must accept new connections, also when its places or descriptors are used up.
BOOST_AUTO_TEST_SUITE(AcceptingTest)

BOOST_AUTO_TEST_CASE(ANewCallerReplacesTheOneThatWasIdleLongest)
{
    Fixture    setup(Fixture::echo, true, 10s, 2);
    TestCaller first(setup.gateway->port());
    first.write(Fixture::request("/read/x", "a1"));
    BOOST_TEST(statusOf(first.readAnswer()) == 200);
    std::this_thread::sleep_for(20ms);
    TestCaller second(setup.gateway->port());
    second.write(Fixture::request("/read/x", "a2"));
    BOOST_TEST(statusOf(second.readAnswer()) == 200);
    TestCaller third(setup.gateway->port());
    third.write(Fixture::request("/read/x", "a3"));
    BOOST_TEST(statusOf(third.readAnswer()) == 200);
    BOOST_TEST(first.closedByPeer());
    second.write(Fixture::request("/read/x", "a4"));
    BOOST_TEST(statusOf(second.readAnswer()) == 200);
}

BOOST_AUTO_TEST_CASE(IdleCallersAreClosedWhenDescriptorsRunOut)
{
    Fixture                                  setup(Fixture::echo, true, 10s);
    std::vector<std::unique_ptr<TestCaller>> idle;
    idle.reserve(10);
    for (int i = 0; i < 10; ++i)
        idle.push_back(std::make_unique<TestCaller>(setup.gateway->port()));
    idle.back()->write(Fixture::request("/read/x", "a1"));
    BOOST_TEST(statusOf(idle.back()->readAnswer()) == 200);
    // The late caller's event loop uses three descriptors and its socket the fourth, so none is left for the accept.
    const int next = ::dup(0);
    ::close(next);
    const DescriptorLimit lowered(static_cast<rlim_t>(next) + 4);
    const auto            begin = std::chrono::steady_clock::now();
    TestCaller            late(setup.gateway->port());
    late.write(Fixture::request("/read/x", "a2"));
    BOOST_TEST(statusOf(late.readAnswer()) == 200);
    // Well before the idle callers reach their idle timeout.
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
}

BOOST_AUTO_TEST_SUITE_END()

#include <support/GatewayFixture.hpp>

#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <sys/socket.h>
#include <thread>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using support::fieldOf;
using support::Fixture;
using support::PatientFixture;
using support::statusOf;
using support::TestCaller;

////////////////////////////////////////////////////////////
/// \brief A server that resets every connection as soon as it is accepted
////////////////////////////////////////////////////////////
class ResettingServer
{
public:
    ResettingServer() :
    m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
    m_thread([this] { serve(); })
    {
    }

    ~ResettingServer()
    {
        m_stopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    ResettingServer(const ResettingServer&) = delete;
    ResettingServer& operator=(const ResettingServer&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    [[nodiscard]] unsigned resets() const
    {
        return m_resets;
    }

private:
    void serve()
    {
        while (!m_stopping)
        {
            asio::ip::tcp::socket socket(m_context);
            asio::error_code      error;
            m_acceptor.accept(socket, error);
            if (error)
                return;
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
            ++m_resets;
        }
    }

    asio::io_context        m_context;         //!< Context of the sockets
    asio::ip::tcp::acceptor m_acceptor;        //!< Listening socket
    std::atomic<bool>       m_stopping{false}; //!< Set by the destructor
    std::atomic<unsigned>   m_resets{0};       //!< Number of connections reset
    std::thread             m_thread;          //!< Accepts connections and resets them
};

} // namespace

BOOST_AUTO_TEST_SUITE(NewConnectionsTest)

BOOST_AUTO_TEST_CASE(ANonRepeatableRequestHasNotRunWhenItsNewConnectionIsReset)
{
    PatientFixture  setup;
    ResettingServer resetting;
    setup.declared.instances = {{"i-1", "portal", "127.0.0.1", resetting.port(), "dc", 3, false, {}}};
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    for (int i = 0; i < 20; ++i)
    {
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a" + std::to_string(i)));
        const std::string answer = caller.readAnswer();
        BOOST_TEST(statusOf(answer) == 503);
        BOOST_TEST(!fieldOf(answer, "Retry-After").empty());
    }
    BOOST_TEST(resetting.resets() >= 20U);
}

BOOST_AUTO_TEST_CASE(ANonRepeatableRequestGoesToAnotherServerAfterAReset)
{
    PatientFixture  setup;
    ResettingServer resetting;
    setup.declared.instances.push_back({"i-2", "portal", "127.0.0.1", resetting.port(), "dc", 3, false, {}});
    setup.onLoop([&] { setup.gateway->configure(setup.declared); });
    for (int i = 0; i < 20; ++i)
    {
        TestCaller caller(setup.gateway->port());
        caller.write(Fixture::request("/pay/x", "a" + std::to_string(i)));
        BOOST_TEST(statusOf(caller.readAnswer()) == 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "../../src/sailpath/gateway/ServerStreamEnd.hpp"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using gateway::priv::ServerStreamEnd;
using paths::TunnelEnd;
using Socket = asio::ip::tcp::socket;

constexpr auto longestWait = 100ms;

////////////////////////////////////////////////////////////
/// \brief Two ends of a connection, of which the server's has ended its stream
////////////////////////////////////////////////////////////
struct Connection
{
    Connection()
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        own.connect(acceptor.local_endpoint());
        acceptor.accept(server);
        server.shutdown(Socket::shutdown_send);
    }

    /// \brief Decide, with bytes left to write for a time; null when nothing is reported
    std::optional<TunnelEnd> decide(core::Duration sendingFor = core::Duration{0})
    {
        std::optional<TunnelEnd> decided;
        const auto               until = std::chrono::steady_clock::now() + sendingFor;
        end.decide(
            own, [until] { return std::chrono::steady_clock::now() < until; }, [&](TunnelEnd how) { decided = how; });
        context.restart();
        context.run_for(5 * longestWait);
        return decided;
    }

    asio::io_context context;
    Socket           own{context};
    Socket           server{context};
    ServerStreamEnd  end{context, longestWait};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerStreamEndTest)

BOOST_AUTO_TEST_CASE(AnEndInOrderIsTheEndOnceAllIsWritten)
{
    BOOST_CHECK(Connection().decide() == TunnelEnd::Closed);
    BOOST_CHECK(Connection().decide(longestWait / 2) == TunnelEnd::Closed);
}

BOOST_AUTO_TEST_CASE(ARequestThatTheServerDoesNotTakeIsLostAfterTheLongestWait)
{
    BOOST_CHECK(Connection().decide(4 * longestWait) == TunnelEnd::Lost);
}

// Guards against a broken path that is taken for a server that ended.
BOOST_AUTO_TEST_CASE(TheErrorOfAWriteTellsHowTheConnectionEnded)
{
    for (const auto& [error, how] :
         {std::pair<asio::error_code, TunnelEnd>(asio::error::connection_reset, TunnelEnd::Reset),
          {asio::error::broken_pipe, TunnelEnd::Reset},
          {asio::error::timed_out, TunnelEnd::Lost},
          {asio::error::host_unreachable, TunnelEnd::Lost}})
    {
        Connection connection;
        BOOST_CHECK(connection.end.reportedEnd() == TunnelEnd::Closed);
        connection.end.recordWrite({});
        connection.end.recordWrite(error);
        connection.end.recordWrite({});
        BOOST_CHECK(connection.end.reportedEnd() == how);
        BOOST_CHECK(connection.decide() == how);
    }
}

BOOST_AUTO_TEST_CASE(AResetThatNoOperationReportedIsFound)
{
    Connection connection;
    connection.server.set_option(asio::socket_base::linger(true, 0));
    connection.server.close();
    BOOST_CHECK(connection.decide() == TunnelEnd::Reset);
}

BOOST_AUTO_TEST_CASE(NothingIsReportedAfterACancel)
{
    Connection connection;
    bool       reported = false;
    connection.end.decide(
        connection.own, [] { return true; }, [&](TunnelEnd) { reported = true; });
    connection.end.cancel();
    connection.context.run_for(2 * longestWait);
    BOOST_TEST(!reported);
}

BOOST_AUTO_TEST_SUITE_END()

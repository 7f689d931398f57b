#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Holds idle connections to backend servers for reuse
///
/// Thread-safe. The most recently used connection is reused first, so that
/// surplus connections reach the maximum idle time and are closed.
////////////////////////////////////////////////////////////
class ConnectionPool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty pool
    ///
    /// \param maxIdlePerServer Largest number of idle connections to one server
    /// \param maxIdleTime      Longest time a connection is kept idle
    ////////////////////////////////////////////////////////////
    ConnectionPool(std::size_t maxIdlePerServer, core::Duration maxIdleTime);

    ////////////////////////////////////////////////////////////
    /// \brief Take an idle connection that was used recently and is still open with no unread bytes
    ///
    /// \param server      Address and port as text
    /// \param maxIdleTime Longest acceptable time since the last use of the connection
    ///
    /// \return A closed socket when no connection qualifies
    ////////////////////////////////////////////////////////////
    [[nodiscard]] net::TcpSocket take(const std::string& server, core::Duration maxIdleTime);

    ////////////////////////////////////////////////////////////
    /// \brief Return a connection whose last answer was read completely; it is closed when the pool is full
    ////////////////////////////////////////////////////////////
    void give(const std::string& server, net::TcpSocket socket);

    ////////////////////////////////////////////////////////////
    /// \brief Drop the closed idle connections of a server
    ///
    /// \return Whether the server had idle connections and has closed all of them
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allClosed(const std::string& server);

    ////////////////////////////////////////////////////////////
    /// \brief Close connections that have exceeded the maximum idle time
    ////////////////////////////////////////////////////////////
    void prune();

private:
    using Clock = std::chrono::steady_clock;

    struct IdleConnection
    {
        net::TcpSocket    socket; //!< Open connection
        Clock::time_point since;  //!< End of the last use
    };

    std::size_t    m_maxIdlePerServer;                   //!< Largest number of idle connections to one server
    core::Duration m_maxIdleTime;                        //!< Longest time a connection is kept idle
    std::mutex     m_mutex;                              //!< Guards m_idle
    core::StringMap<std::vector<IdleConnection>> m_idle; //!< Idle connections by server, least recently used first
};

} // namespace sailpath::adapters::http

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
/// \brief Idle connections to backend servers, to use again
///
/// Thread-safe. The youngest is used first, so that surplus ones age out.
////////////////////////////////////////////////////////////
class ConnectionPool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty pool
    ///
    /// \param mostIdle Idle connections kept to each server
    /// \param longest  Longest time a connection is kept idle
    ////////////////////////////////////////////////////////////
    ConnectionPool(std::size_t mostIdle, core::Duration longest);

    ////////////////////////////////////////////////////////////
    /// \brief Take an idle connection that was used a short while ago and shows no sign of an end
    ///
    /// \param server  Address and port as text
    /// \param longest Longest idle time that is acceptable
    ///
    /// \return A closed socket when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] net::TcpSocket take(const std::string& server, core::Duration longest);

    ////////////////////////////////////////////////////////////
    /// \brief Keep a connection whose last answer was read whole
    ////////////////////////////////////////////////////////////
    void give(const std::string& server, net::TcpSocket socket);

    ////////////////////////////////////////////////////////////
    /// \brief Whether a server has closed all connections that were kept to it; false when none was
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allClosed(const std::string& server);

    ////////////////////////////////////////////////////////////
    /// \brief Close connections that have been idle too long
    ////////////////////////////////////////////////////////////
    void prune();

private:
    using Clock = std::chrono::steady_clock;

    struct Idle
    {
        net::TcpSocket    socket; //!< The connection
        Clock::time_point since;  //!< End of its last use
    };

    std::size_t                        m_mostIdle; //!< Kept to each server
    core::Duration                     m_longest;  //!< Kept this long
    std::mutex                         m_mutex;    //!< Guards what follows
    core::StringMap<std::vector<Idle>> m_idle;     //!< By server, oldest first
};

} // namespace sailpath::adapters::http

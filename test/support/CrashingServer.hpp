#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief A server that crashes, with all its connections, when it runs a request whose target ends with `/ends`
///
/// Requests whose target ends with `/waits` are never answered; all others
/// are answered after a few milliseconds. Each connection has a thread.
////////////////////////////////////////////////////////////
class CrashingServer
{
public:
    CrashingServer();
    ~CrashingServer();
    CrashingServer(const CrashingServer&) = delete;
    CrashingServer& operator=(const CrashingServer&) = delete;

    void crash(); //!< Stop listening and shut down all connections

    [[nodiscard]] std::uint16_t port() const; //!< On 127.0.0.1
    [[nodiscard]] bool          crashed() const;
    [[nodiscard]] std::size_t   unanswered() const; //!< Number of `/waits` requests received

private:
    void               serve(asio::ip::tcp::socket& socket);
    [[nodiscard]] bool answer(asio::ip::tcp::socket& socket, const std::string& request);

    asio::io_context                                    m_context;        //!< Context of the sockets
    asio::ip::tcp::acceptor                             m_acceptor;       //!< Listening socket
    std::uint16_t                                       m_port;           //!< Port on 127.0.0.1
    std::atomic<bool>                                   m_crashed{false}; //!< `crash` was called
    std::atomic<std::size_t>                            m_unanswered{0};  //!< Number of `/waits` requests received
    std::mutex                                          m_mutex;          //!< Guards `m_sockets` and `m_threads`
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;        //!< Sockets of all connections
    std::vector<std::thread>                            m_threads;        //!< One for each connection
    std::thread                                         m_thread;         //!< Accepts connections
};

} // namespace sailpath::support

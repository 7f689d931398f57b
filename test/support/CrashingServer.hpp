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
/// \brief A server that ends, with all its connections, once it runs a request whose target ends with `/ends`
///
/// Requests whose target ends with `/waits` are not answered before it
/// ends; all others are answered at once. A thread a connection.
////////////////////////////////////////////////////////////
class CrashingServer
{
public:
    CrashingServer();
    ~CrashingServer();
    CrashingServer(const CrashingServer&) = delete;
    CrashingServer& operator=(const CrashingServer&) = delete;

    void crash(); //!< As a crash does: nothing listens any more, and what is open is reset

    [[nodiscard]] std::uint16_t port() const;       //!< On 127.0.0.1
    [[nodiscard]] bool          crashed() const;    //!< It has ended
    [[nodiscard]] std::size_t   unanswered() const; //!< Requests that are not answered

private:
    void               serve(asio::ip::tcp::socket& socket);
    [[nodiscard]] bool answer(asio::ip::tcp::socket& socket, const std::string& request);

    asio::io_context                                    m_context;        //!< For the sockets
    asio::ip::tcp::acceptor                             m_acceptor;       //!< Listens
    std::uint16_t                                       m_port;           //!< Where
    std::atomic<bool>                                   m_crashed{false}; //!< Nothing is taken any more
    std::atomic<std::size_t>                            m_unanswered{0};  //!< Count
    std::mutex                                          m_mutex;          //!< Guards what follows
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;        //!< Of the connections
    std::vector<std::thread>                            m_threads;        //!< Of the connections
    std::thread                                         m_thread;         //!< Accepts
};

} // namespace sailpath::support

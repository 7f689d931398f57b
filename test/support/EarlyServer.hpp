#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief How a server ends a connection on which it has answered
////////////////////////////////////////////////////////////
enum class EarlyEnd
{
    Reset,              //!< Reset
    CloseUnread,        //!< Close while input is unread, which the system turns into a reset
    HalfCloseThenReset, //!< End its own stream in order, and reset the connection 20 ms later
    HalfCloseThenRead,  //!< End its own stream in order, read the rest of the request, then close
    ReadThenClose,      //!< Read the rest of the request, then close
    ReadThenReset       //!< Read the rest of the request, then reset
};

////////////////////////////////////////////////////////////
/// \brief What an early server does with one request
////////////////////////////////////////////////////////////
struct EarlyScript
{
    std::string               answer;               //!< Bytes to write, unchanged
    EarlyEnd                  end{EarlyEnd::Reset}; //!< What follows them
    std::size_t               readFirst{0};         //!< Bytes of the request's body that are read before
    std::chrono::milliseconds delay{0};             //!< From the answer until the end
};

////////////////////////////////////////////////////////////
/// \brief A TCP server for tests that answers while a request is still being sent to it
///
/// Serves one request on each connection, and each connection on a thread.
////////////////////////////////////////////////////////////
class EarlyServer
{
public:
    using Answer = std::function<EarlyScript(const std::string& head)>; //!< Gets the head of a request

    explicit EarlyServer(Answer answer);
    ~EarlyServer();
    EarlyServer(const EarlyServer&) = delete;
    EarlyServer& operator=(const EarlyServer&) = delete;

    [[nodiscard]] std::uint16_t port() const;   //!< On 127.0.0.1
    [[nodiscard]] std::size_t   served() const; //!< Requests whose head was read
    [[nodiscard]] std::size_t   sent() const;   //!< Bytes of answers that the system took

private:
    void serve(asio::ip::tcp::socket& socket);

    Answer                                              m_answer;          //!< Returns the script for a request
    asio::io_context                                    m_context;         //!< Context of the sockets
    asio::ip::tcp::acceptor                             m_acceptor;        //!< Listening socket
    std::atomic<bool>                                   m_stopping{false}; //!< Set by the destructor
    std::atomic<std::size_t>                            m_served{0};       //!< Requests whose head was read
    std::atomic<std::size_t>                            m_sent{0};         //!< Bytes of answers that the system took
    std::mutex                                          m_mutex;           //!< Guards `m_sockets`
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;         //!< Sockets of all connections
    std::vector<std::thread>                            m_threads;         //!< One for each connection
    std::thread                                         m_thread;          //!< Accepts connections
};

} // namespace sailpath::support

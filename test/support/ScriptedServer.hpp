#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief What a scripted server does with one request
////////////////////////////////////////////////////////////
struct Script
{
    std::string               bytes;         //!< Written as they are
    std::chrono::milliseconds delay{0};      //!< Before they are written
    bool                      close{false};  //!< The connection ends after them
    bool                      reset{false};  //!< The connection is reset after them
    bool                      silent{false}; //!< Nothing is written until the other side closes
};

////////////////////////////////////////////////////////////
/// \brief A TCP server for tests that answers each request head as a function says; a thread a connection
////////////////////////////////////////////////////////////
class ScriptedServer
{
public:
    using Answer = std::function<Script(const std::string& request)>; //!< Head and body as they came

    explicit ScriptedServer(Answer answer);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    [[nodiscard]] std::uint16_t            port() const;         //!< On 127.0.0.1
    [[nodiscard]] std::vector<std::string> requests() const;     //!< As they came, in order
    [[nodiscard]] std::size_t              clientCloses() const; //!< Connections that the other side ended while silent

private:
    void serve(asio::ip::tcp::socket& socket);
    bool readRequest(asio::ip::tcp::socket& socket, std::string& unread, std::string& request);

    Answer                                              m_answer;          //!< Script
    asio::io_context                                    m_context;         //!< For the sockets
    asio::ip::tcp::acceptor                             m_acceptor;        //!< Listens
    std::atomic<bool>                                   m_stopping{false}; //!< The server ends
    std::atomic<std::size_t>                            m_clientCloses{0}; //!< Count
    mutable std::mutex                                  m_mutex;           //!< Guards what follows
    std::vector<std::string>                            m_requests;        //!< As they came
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;         //!< Of the connections
    std::vector<std::thread>                            m_threads;         //!< Of the connections
    std::thread                                         m_thread;          //!< Accepts
};

////////////////////////////////////////////////////////////
/// \brief Value of a header field in a request or answer; empty when there is none
////////////////////////////////////////////////////////////
[[nodiscard]] std::string fieldOf(const std::string& message, const std::string& name);

////////////////////////////////////////////////////////////
/// \brief Connect to a port of 127.0.0.1, write bytes, read until a text appears or the connection ends
////////////////////////////////////////////////////////////
class TestCaller
{
public:
    explicit TestCaller(std::uint16_t port);

    void                      write(const std::string& bytes);
    [[nodiscard]] std::string readAnswer();   //!< One whole answer with a length; what came if the connection ended
    [[nodiscard]] bool        closedByPeer(); //!< Waits until the other side closes; false after five seconds
    void                      close();

private:
    bool waitReadable();

    asio::io_context      m_context; //!< For the socket
    asio::ip::tcp::socket m_socket;  //!< Connection
    std::string           m_unread;  //!< Bytes not taken yet
};

} // namespace sailpath::support

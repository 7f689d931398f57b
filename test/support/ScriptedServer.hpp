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
/// \brief The response of a scripted server to one request
////////////////////////////////////////////////////////////
struct Script
{
    std::string               bytes;         //!< Bytes to write, unchanged
    std::chrono::milliseconds delay{0};      //!< From the request until the bytes are written
    bool                      close{false};  //!< Close the connection after the bytes
    bool                      reset{false};  //!< Reset the connection after the bytes
    bool                      silent{false}; //!< Write nothing and wait until the client closes
    std::string               rest{};        //!< Further bytes
    std::chrono::milliseconds restDelay{0};  //!< From the first bytes until the further ones are written
};

////////////////////////////////////////////////////////////
/// \brief A TCP server for tests that answers each request by a function; each connection has a thread
////////////////////////////////////////////////////////////
class ScriptedServer
{
public:
    using Answer = std::function<Script(const std::string& request)>; //!< Gets head and body as received

    explicit ScriptedServer(Answer answer);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    [[nodiscard]] std::uint16_t            port() const;         //!< On 127.0.0.1
    [[nodiscard]] std::vector<std::string> requests() const;     //!< Head and body of each, in the order of receipt
    [[nodiscard]] std::size_t              clientCloses() const; //!< Connections closed by clients while silent

private:
    void serve(asio::ip::tcp::socket& socket);
    bool readRequest(asio::ip::tcp::socket& socket, std::string& unread, std::string& request);

    Answer                                              m_answer;          //!< Returns the script for a request
    asio::io_context                                    m_context;         //!< Context of the sockets
    asio::ip::tcp::acceptor                             m_acceptor;        //!< Listening socket
    std::atomic<bool>                                   m_stopping{false}; //!< Set by the destructor
    std::atomic<std::size_t>                            m_clientCloses{0}; //!< Connections closed by the client
    mutable std::mutex                                  m_mutex;    //!< Guards the members below except `m_thread`
    std::vector<std::string>                            m_requests; //!< Requests received
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;  //!< Sockets of all connections
    std::vector<std::thread>                            m_threads;  //!< One for each connection
    std::thread                                         m_thread;   //!< Accepts connections
};

////////////////////////////////////////////////////////////
/// \brief Return the value of a header field in a request or answer; empty when the field is missing
////////////////////////////////////////////////////////////
[[nodiscard]] std::string fieldOf(const std::string& message, const std::string& name);

////////////////////////////////////////////////////////////
/// \brief A client connection to a port of 127.0.0.1, which writes bytes and reads answers
////////////////////////////////////////////////////////////
class TestCaller
{
public:
    explicit TestCaller(std::uint16_t port);

    void                      write(const std::string& bytes);
    [[nodiscard]] std::string readAnswer();   //!< Next answer by its `Content-Length`; partial if the connection ended
    [[nodiscard]] bool        closedByPeer(); //!< Wait for the server to close; false after 5 seconds without input
    void                      close();

private:
    bool waitReadable();

    asio::io_context      m_context; //!< Context of the socket
    asio::ip::tcp::socket m_socket;  //!< Socket of the connection
    std::string           m_unread;  //!< Bytes received but not returned
};

} // namespace sailpath::support

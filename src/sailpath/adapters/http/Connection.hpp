#pragma once

#include <sailpath/adapters/http/Cancellation.hpp>
#include <sailpath/adapters/net/TcpSocket.hpp>

#include <asio.hpp>

#include <atomic>
#include <chrono>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Who may touch a connection at present
////////////////////////////////////////////////////////////
enum class ConnectionState
{
    Idle,   //!< The reactor, no byte of a request has come
    Head,   //!< The reactor, part of a head has come
    Serving //!< A worker
};

////////////////////////////////////////////////////////////
/// \brief A caller's connection; the reactor and one worker take turns with it
////////////////////////////////////////////////////////////
struct Connection
{
    using Clock = std::chrono::steady_clock;

    explicit Connection(asio::ip::tcp::socket accepted) :
    socket(std::move(accepted)),
    io(socket.native_handle()),
    since(Clock::now())
    {
    }

    ~Connection()
    {
        // The descriptor belongs to Asio's socket.
        (void)io.release();
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    asio::ip::tcp::socket         socket;                       //!< Owner of the descriptor
    net::TcpSocket                io;                           //!< For transfers with a time limit
    std::string                   address;                      //!< The caller's IP number
    std::string                   buffered;                     //!< Bytes read and not used yet
    Clock::time_point             since;                        //!< Start of the present state
    ConnectionState               state{ConnectionState::Idle}; //!< Who may touch it
    std::shared_ptr<Cancellation> cancellation;                 //!< Of the request being served
    std::atomic<bool>             bodyRead{false};              //!< Nothing of the body is unread: an end is a hang-up
};

} // namespace sailpath::adapters::http::priv

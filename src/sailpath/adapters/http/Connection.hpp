#pragma once

#include <sailpath/adapters/http/Cancellation.hpp>
#include <sailpath/adapters/net/TcpSocket.hpp>

#include <asio.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief What a connection is doing
////////////////////////////////////////////////////////////
enum class ConnectionState
{
    Idle,    //!< No byte of a request has come
    Head,    //!< Part of a head has come
    Serving, //!< A thread serves a request of it
    GivenUp  //!< The sweep ended it; its last waiting step closes it
};

////////////////////////////////////////////////////////////
/// \brief A caller's connection
///
/// One thread at a time works on it, step after step. Only the sweep looks
/// at it from outside, at the atomic members and the descriptor.
////////////////////////////////////////////////////////////
struct Connection
{
    using Clock = std::chrono::steady_clock;

    explicit Connection(asio::ip::tcp::socket accepted) :
    socket(std::move(accepted)),
    io(socket.native_handle())
    {
    }

    ~Connection()
    {
        // The descriptor belongs to Asio's socket.
        (void)io.release();
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Go on to another state, from now on
    ////////////////////////////////////////////////////////////
    void enter(ConnectionState next)
    {
        ConnectionState known = state;
        since = Clock::now();
        // A connection that was given up stays so.
        while (known != ConnectionState::GivenUp && !state.compare_exchange_weak(known, next))
        {
        }
    }

    ////////////////////////////////////////////////////////////
    /// \brief Start to serve a request
    ////////////////////////////////////////////////////////////
    void begin()
    {
        bodyRead = false;
        cancellation->reset();
        since = Clock::now();
    }

    ////////////////////////////////////////////////////////////
    /// \brief End it from outside
    ///
    /// \return False when it has left the expected state in the meantime
    ////////////////////////////////////////////////////////////
    bool giveUp(ConnectionState expected)
    {
        return state.compare_exchange_strong(expected, ConnectionState::GivenUp);
    }

    asio::ip::tcp::socket          socket;                       //!< Owner of the descriptor
    net::TcpSocket                 io;                           //!< For transfers with a time limit
    std::string                    address;                      //!< The caller's IP number
    std::string                    buffered;                     //!< Bytes read and not used yet
    std::atomic<Clock::time_point> since{Clock::now()};          //!< Start of the present state
    std::atomic<ConnectionState>   state{ConnectionState::Idle}; //!< What it is doing
    std::atomic<bool>              bodyRead{false};              //!< Nothing of the body is unread: an end is a hang-up
    std::unique_ptr<Cancellation>  cancellation{std::make_unique<Cancellation>()}; //!< Of the request being served
};

} // namespace sailpath::adapters::http::priv

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
/// \brief State of a connection
////////////////////////////////////////////////////////////
enum class ConnectionState
{
    Idle,    //!< No byte of the next request has been received
    Head,    //!< Part of a request head has been received
    Serving, //!< A thread is serving a request
    Aborted  //!< The periodic check ended the connection; its pending handler closes it
};

////////////////////////////////////////////////////////////
/// \brief Connection of a caller
///
/// One thread at a time works on a connection. Only the periodic check runs
/// concurrently, and it uses only the atomic members, the cancellation and
/// the descriptor.
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
        // Asio's socket owns the descriptor and closes it.
        (void)io.release();
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Change the state and restart the time spent in it; an aborted connection stays aborted
    ////////////////////////////////////////////////////////////
    void enterState(ConnectionState next)
    {
        ConnectionState current = state;
        since = Clock::now();
        // An aborted connection stays aborted.
        while (current != ConnectionState::Aborted && !state.compare_exchange_weak(current, next))
        {
        }
    }

    ////////////////////////////////////////////////////////////
    /// \brief Reset the state of the request before serving a new one
    ////////////////////////////////////////////////////////////
    void beginRequest()
    {
        bodyRead = false;
        cancellation->reset();
        since = Clock::now();
    }

    ////////////////////////////////////////////////////////////
    /// \brief Mark the connection as aborted from another thread
    ///
    /// \return False when the connection is no longer in the expected state
    ////////////////////////////////////////////////////////////
    bool abort(ConnectionState expected)
    {
        return state.compare_exchange_strong(expected, ConnectionState::Aborted);
    }

    asio::ip::tcp::socket          socket;                       //!< Owner of the descriptor
    net::TcpSocket                 io;                           //!< Same descriptor, for transfers with a timeout
    std::string                    address;                      //!< IP address of the caller
    std::string                    buffered;                     //!< Bytes read and not consumed yet
    std::atomic<Clock::time_point> since{Clock::now()};          //!< Start of the current state or request
    std::atomic<ConnectionState>   state{ConnectionState::Idle}; //!< Current state
    std::atomic<bool>              bodyRead{false}; //!< Request body is read: end of stream means a disconnect
    std::unique_ptr<Cancellation>  cancellation{std::make_unique<Cancellation>()}; //!< Cancels the current request
};

} // namespace sailpath::adapters::http::priv

#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>

#include <atomic>
#include <mutex>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Lets one thread cancel a request that another thread is serving
///
/// The reactor cancels a request when its caller disconnects. Cancelling shuts
/// down the connection to the backend server, which tells the server to stop.
////////////////////////////////////////////////////////////
class Cancellation
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Set the connection that cancelling shuts down
    ///
    /// \return False when the request is already cancelled
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool attach(const net::TcpSocket& socket);

    ////////////////////////////////////////////////////////////
    /// \brief Clear the connection, which may be closed afterwards
    ////////////////////////////////////////////////////////////
    void detach();

    ////////////////////////////////////////////////////////////
    /// \brief Cancel the request and shut down its connection
    ////////////////////////////////////////////////////////////
    void cancel();

    ////////////////////////////////////////////////////////////
    /// \brief Clear the connection and the cancelled flag for the next request
    ////////////////////////////////////////////////////////////
    void reset();

    [[nodiscard]] bool cancelled() const;

private:
    std::mutex            m_mutex;            //!< Guards m_socket
    const net::TcpSocket* m_socket{nullptr};  //!< Connection that cancelling shuts down
    std::atomic<bool>     m_cancelled{false}; //!< Whether the request is cancelled
};

} // namespace sailpath::adapters::http

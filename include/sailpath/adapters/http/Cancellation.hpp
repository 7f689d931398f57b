#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>

#include <atomic>
#include <mutex>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Lets one thread end the work that another does for a request
///
/// The reactor cancels when the caller hangs up; the connection to the
/// backend server is then broken, which tells the server to stop.
////////////////////////////////////////////////////////////
class Cancellation
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Name the connection to break
    ///
    /// \return False when the request is cancelled already
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool attach(const net::TcpSocket& socket);

    ////////////////////////////////////////////////////////////
    /// \brief Forget the connection; it may be closed from here on
    ////////////////////////////////////////////////////////////
    void detach();

    ////////////////////////////////////////////////////////////
    /// \brief Cancel
    ////////////////////////////////////////////////////////////
    void cancel();

    ////////////////////////////////////////////////////////////
    /// \brief Forget everything, for the next request
    ////////////////////////////////////////////////////////////
    void reset();

    ////////////////////////////////////////////////////////////
    /// \brief Whether the request is cancelled
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool cancelled() const;

private:
    std::mutex            m_mutex;            //!< Guards the connection
    const net::TcpSocket* m_socket{nullptr};  //!< Connection to break
    std::atomic<bool>     m_cancelled{false}; //!< Set once
};

} // namespace sailpath::adapters::http

#pragma once

#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
/// \brief Outcome of one read or write on a socket
////////////////////////////////////////////////////////////
enum class IoStatus
{
    Done,    //!< At least one byte was transferred
    Closed,  //!< The peer closed the connection
    Timeout, //!< The socket was not ready within the timeout
    Failed   //!< The socket reported an error
};

////////////////////////////////////////////////////////////
/// \brief Outcome and byte count of one read or write
////////////////////////////////////////////////////////////
struct IoResult
{
    IoStatus    status{IoStatus::Failed}; //!< Outcome of the transfer
    std::size_t bytes{0};                 //!< Number of bytes transferred
};

////////////////////////////////////////////////////////////
/// \brief Owns a TCP connection and reads and writes with a timeout
////////////////////////////////////////////////////////////
class TcpSocket
{
public:
    TcpSocket() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Take ownership of an open socket descriptor
    ////////////////////////////////////////////////////////////
    explicit TcpSocket(int descriptor);

    ~TcpSocket();
    TcpSocket(TcpSocket&& other) noexcept;
    TcpSocket& operator=(TcpSocket&& other) noexcept;
    TcpSocket(const TcpSocket&) = delete;
    TcpSocket& operator=(const TcpSocket&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Open a connection to an IP address
    ///
    /// \param address IPv4 or IPv6 address as text
    /// \param port    TCP port
    /// \param timeout Longest wait for the connection to be established
    ///
    /// \return A closed socket when the address is invalid or the connection fails
    ////////////////////////////////////////////////////////////
    [[nodiscard]] static TcpSocket connect(const std::string& address, std::uint16_t port, core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \brief Read the bytes that are available, waiting up to `timeout` for the first byte
    ////////////////////////////////////////////////////////////
    [[nodiscard]] IoResult read(std::span<char> buffer, core::Duration timeout) const;

    ////////////////////////////////////////////////////////////
    /// \brief Write as much as the send buffer accepts, waiting up to `timeout` for free space
    ////////////////////////////////////////////////////////////
    [[nodiscard]] IoResult write(std::span<const char> data, core::Duration timeout) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the end of file that was read is the end of what the peer had to send; see `StreamEnd`
    ///
    /// \param timeout Longest wait for the peer to acknowledge what was written to it
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool endedInOrder(core::Duration timeout) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the connection is open and holds no unread bytes
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isIdle() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the peer has closed the connection, with all its bytes read, or the socket has failed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isDisconnected() const;

    ////////////////////////////////////////////////////////////
    /// \brief Shut down both directions, which ends a transfer in another thread
    ////////////////////////////////////////////////////////////
    void shutdown() const;

    void close();

    ////////////////////////////////////////////////////////////
    /// \brief Release ownership of the descriptor without closing it
    ////////////////////////////////////////////////////////////
    [[nodiscard]] int release();

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] int  descriptor() const; //!< -1 when the socket is closed

private:
    int m_descriptor{-1}; //!< Owned descriptor; -1 when the socket is closed
};

} // namespace sailpath::adapters::net

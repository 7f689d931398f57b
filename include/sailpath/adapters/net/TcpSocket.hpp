#pragma once

#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
/// \brief How a transfer ended
////////////////////////////////////////////////////////////
enum class IoStatus
{
    Done,    //!< Some bytes were transferred
    Closed,  //!< The other side closed
    Timeout, //!< Nothing happened in time
    Failed   //!< The connection is broken
};

////////////////////////////////////////////////////////////
/// \brief Result of a transfer
////////////////////////////////////////////////////////////
struct IoResult
{
    IoStatus    status{IoStatus::Failed}; //!< How it ended
    std::size_t bytes{0};                 //!< Bytes transferred
};

////////////////////////////////////////////////////////////
/// \brief Owns a TCP connection and transfers bytes with a time limit
////////////////////////////////////////////////////////////
class TcpSocket
{
public:
    TcpSocket() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Take over an open descriptor
    ////////////////////////////////////////////////////////////
    explicit TcpSocket(int descriptor);

    ~TcpSocket();
    TcpSocket(TcpSocket&& other) noexcept;
    TcpSocket& operator=(TcpSocket&& other) noexcept;
    TcpSocket(const TcpSocket&) = delete;
    TcpSocket& operator=(const TcpSocket&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Connect
    ///
    /// \param address IP number
    /// \param port    TCP port
    /// \param timeout Longest time to wait
    ///
    /// \return A closed socket when there is no connection
    ////////////////////////////////////////////////////////////
    [[nodiscard]] static TcpSocket connect(const std::string& address, std::uint16_t port, core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \brief Read what is there, waiting for the first byte
    ////////////////////////////////////////////////////////////
    [[nodiscard]] IoResult read(std::span<char> buffer, core::Duration timeout) const;

    ////////////////////////////////////////////////////////////
    /// \brief Write as much as is accepted, waiting for room
    ////////////////////////////////////////////////////////////
    [[nodiscard]] IoResult write(std::span<const char> data, core::Duration timeout) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the other side has neither closed nor sent anything
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool quiet() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether the other side has closed or the connection is broken
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool hungUp() const;

    ////////////////////////////////////////////////////////////
    /// \brief Break the connection; a transfer in another thread ends
    ////////////////////////////////////////////////////////////
    void shutdown() const;

    ////////////////////////////////////////////////////////////
    /// \brief Close
    ////////////////////////////////////////////////////////////
    void close();

    ////////////////////////////////////////////////////////////
    /// \brief Give up ownership of the descriptor
    ////////////////////////////////////////////////////////////
    [[nodiscard]] int release();

    [[nodiscard]] bool isOpen() const;     //!< Whether there is a descriptor
    [[nodiscard]] int  descriptor() const; //!< The descriptor, -1 when closed

private:
    int m_descriptor{-1}; //!< Owned; -1 when closed
};

} // namespace sailpath::adapters::net

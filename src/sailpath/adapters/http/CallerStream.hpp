#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/core/Time.hpp>

#include <httplib.h>

#include <chrono>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Adapts a connection of a caller to the stream interface of httplib
///
/// Reads the bytes buffered by the reactor first. Discards what the library
/// writes, except the interim answer 100 (Continue), because `AnswerWriter`
/// writes the answers.
////////////////////////////////////////////////////////////
class CallerStream : public httplib::Stream
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a stream for one request
    ///
    /// \param socket   Connection of the caller
    /// \param buffered Bytes read ahead; bytes after the end of the request remain in it
    /// \param timeout  Longest wait for each read or write, and the time before the minimum rate applies
    ////////////////////////////////////////////////////////////
    CallerStream(const net::TcpSocket& socket, std::string& buffered, core::Duration timeout);

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t            read(char* ptr, size_t size) override;
    ssize_t            write(const char* ptr, size_t size) override;
    void               get_remote_ip_and_port(std::string& ip, int& port) const override;
    void               get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] int  socket() const override;

private:
    [[nodiscard]] bool isTooSlow() const;

    const net::TcpSocket&                 m_socket;      //!< Connection of the caller
    std::string&                          m_buffered;    //!< Bytes read ahead and not consumed yet
    core::Duration                        m_timeout;     //!< Longest wait for each read or write
    std::size_t                           m_received{0}; //!< Number of bytes read from the connection
    std::chrono::steady_clock::time_point m_start{std::chrono::steady_clock::now()}; //!< Time the stream was created
};

} // namespace sailpath::adapters::http::priv

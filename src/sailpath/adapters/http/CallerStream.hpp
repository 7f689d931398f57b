#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/core/Time.hpp>

#include <httplib.h>

#include <chrono>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief The library's view of a caller's connection
///
/// Reads first what the reactor has read already. Swallows what the library
/// writes, but for the interim answer 100, since answers are written by
/// `AnswerWriter`.
////////////////////////////////////////////////////////////
class CallerStream : public httplib::Stream
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Wrap a connection for one request
    ///
    /// \param socket   The connection
    /// \param buffered Bytes read already; what the request does not use stays there
    /// \param timeout  Longest wait for the caller's next bytes
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
    [[nodiscard]] bool tooSlow() const;

    const net::TcpSocket&                 m_socket;                                  //!< The connection
    std::string&                          m_buffered;                                //!< Bytes read ahead
    core::Duration                        m_timeout;                                 //!< Longest wait
    std::size_t                           m_received{0};                             //!< Bytes read from the connection
    std::chrono::steady_clock::time_point m_start{std::chrono::steady_clock::now()}; //!< Start of the request
};

} // namespace sailpath::adapters::http::priv

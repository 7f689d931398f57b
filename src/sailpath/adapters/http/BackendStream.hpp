#pragma once

#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/core/Time.hpp>

#include <httplib.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Adapts a connection to a backend server to the stream interface of httplib
///
/// Tracks whether any byte may have been sent, records the head of the answer
/// as received, and enforces the deadline until the head is complete.
////////////////////////////////////////////////////////////
class BackendStream : public httplib::Stream
{
public:
    using Clock = std::chrono::steady_clock;

    ////////////////////////////////////////////////////////////
    /// \brief Create a stream for one exchange
    ///
    /// \param socket      Connection to the server
    /// \param deadline    Latest time for the head of the answer to be complete
    /// \param idleTimeout Longest wait for each read or write once the head is complete
    ////////////////////////////////////////////////////////////
    BackendStream(const net::TcpSocket& socket, Clock::time_point deadline, core::Duration idleTimeout);

    ////////////////////////////////////////////////////////////
    /// \brief Whether any byte may have reached the server
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool mayHaveSent() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether any byte of an answer was received
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool received() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether a read or write ran into its timeout
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool timedOut() const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the recorded head of the answer, including interim (1xx) answers
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view head() const;

    ////////////////////////////////////////////////////////////
    /// \brief Mark the head as complete and stop recording
    ////////////////////////////////////////////////////////////
    void headComplete();

    ////////////////////////////////////////////////////////////
    /// \brief Count bytes of the body that the library took; what exceeds them is framing, which is bounded
    ////////////////////////////////////////////////////////////
    void recordBody(std::size_t bytes);

    ////////////////////////////////////////////////////////////
    /// \brief Whether received bytes remain that the library has not consumed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool hasUnconsumedBytes() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t            read(char* ptr, size_t size) override;
    ssize_t            write(const char* ptr, size_t size) override;
    void               get_remote_ip_and_port(std::string& ip, int& port) const override;
    void               get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] int  socket() const override;

private:
    [[nodiscard]] core::Duration currentTimeout() const;

    const net::TcpSocket& m_socket;              //!< Connection to the server
    Clock::time_point     m_deadline;            //!< Latest time for the head to be complete
    core::Duration        m_idleTimeout;         //!< Longest wait for each transfer after the head
    std::vector<char>     m_buffer;              //!< Receive buffer
    std::size_t           m_next{0};             //!< Index of the first unconsumed byte in the buffer
    std::size_t           m_end{0};              //!< End of the received bytes in the buffer
    std::string           m_head;                //!< Recorded head of the answer
    bool                  m_headComplete{false}; //!< Whether the head is complete
    std::size_t           m_bytesAfterHead{0};   //!< Read after the head, framing included
    std::size_t           m_bodyBytes{0};        //!< Of the body, as far as the library took it
    bool                  m_sent{false};         //!< Whether any byte may have reached the server
    bool                  m_received{false};     //!< Whether any byte was received
    bool                  m_timedOut{false};     //!< Whether a read or write timed out
};

} // namespace sailpath::adapters::http::priv

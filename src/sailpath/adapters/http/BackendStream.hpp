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
/// \brief The library's view of a connection to a backend server
///
/// Knows whether any byte may have left, records the answer's head as it
/// was received, and keeps to a point in time until the head has come.
////////////////////////////////////////////////////////////
class BackendStream : public httplib::Stream
{
public:
    using Clock = std::chrono::steady_clock;

    ////////////////////////////////////////////////////////////
    /// \brief Wrap a connection for one attempt
    ///
    /// \param socket   The connection
    /// \param deadline Until when the answer must have begun
    /// \param idle     Longest pause once it has begun
    ////////////////////////////////////////////////////////////
    BackendStream(const net::TcpSocket& socket, Clock::time_point deadline, core::Duration idle);

    ////////////////////////////////////////////////////////////
    /// \brief Whether any byte may have reached the server
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool mayHaveSent() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether any byte came back
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool received() const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether a wait ended by its time limit
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool timedOut() const;

    ////////////////////////////////////////////////////////////
    /// \brief The answer's head as received, interim answers included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view head() const;

    ////////////////////////////////////////////////////////////
    /// \brief Stop recording: the head is complete
    ////////////////////////////////////////////////////////////
    void headComplete();

    ////////////////////////////////////////////////////////////
    /// \brief Whether bytes were read that belong to no answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool hasSurplus() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t            read(char* ptr, size_t size) override;
    ssize_t            write(const char* ptr, size_t size) override;
    void               get_remote_ip_and_port(std::string& ip, int& port) const override;
    void               get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] int  socket() const override;

private:
    [[nodiscard]] core::Duration patience() const;

    const net::TcpSocket& m_socket;              //!< The connection
    Clock::time_point     m_deadline;            //!< For the head
    core::Duration        m_idle;                //!< For the body
    std::vector<char>     m_buffer;              //!< Bytes read ahead
    std::size_t           m_next{0};             //!< First unread byte in the buffer
    std::size_t           m_end{0};              //!< End of the bytes in the buffer
    std::string           m_head;                //!< Recorded head
    bool                  m_headComplete{false}; //!< Recording is over
    bool                  m_sent{false};         //!< A byte may have left
    bool                  m_received{false};     //!< A byte came back
    bool                  m_timedOut{false};     //!< A wait ran out
};

} // namespace sailpath::adapters::http::priv

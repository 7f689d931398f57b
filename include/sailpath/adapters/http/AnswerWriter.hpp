#pragma once

#include <sailpath/adapters/http/RequestHead.hpp>
#include <sailpath/adapters/net/TcpSocket.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Head of an answer to a caller
////////////////////////////////////////////////////////////
struct AnswerHead
{
    int                 status{200};                //!< HTTP status
    std::string         reason;                     //!< Reason phrase
    std::vector<Header> headers;                    //!< Headers except the framing headers, which the writer adds
    BodyFraming         framing{BodyFraming::None}; //!< How the source of the answer marks the end of the body
    std::uint64_t contentLength{0}; //!< Body length in bytes when `framing` is `Length` or `lengthWithoutBody` is set
    bool          lengthWithoutBody{false}; //!< Send Content-Length although no body follows (HEAD, 304)
};

////////////////////////////////////////////////////////////
/// \brief Writes one answer to a caller's connection and streams its body
///
/// A truncated answer never looks complete: the connection is closed before
/// the announced length or the last chunk has been sent.
////////////////////////////////////////////////////////////
class AnswerWriter
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a writer for the answer to one request
    ///
    /// \param socket    The caller's connection
    /// \param http10    Whether the caller speaks HTTP/1.0
    /// \param keepAlive Whether to keep the connection open after the answer
    /// \param timeout   Longest wait for each write to the connection
    ////////////////////////////////////////////////////////////
    AnswerWriter(const net::TcpSocket& socket, bool http10, bool keepAlive, core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \brief Buffer the head of the answer
    ////////////////////////////////////////////////////////////
    void begin(const AnswerHead& head);

    ////////////////////////////////////////////////////////////
    /// \brief Append a piece of the body, sending the buffered bytes when the buffer is full
    ///
    /// \return False when the answer is aborted, the connection fails or the body exceeds the announced length
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool body(std::string_view data);

    ////////////////////////////////////////////////////////////
    /// \brief Complete the answer and send the buffered bytes
    ///
    /// \return Whether the whole answer was written to the connection
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool end();

    ////////////////////////////////////////////////////////////
    /// \brief Discard an answer of which nothing was sent, so that another can be written
    ///
    /// \return False when sending has started or the answer is aborted
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool discardUnsent();

    ////////////////////////////////////////////////////////////
    /// \brief Abort the answer and drop buffered bytes; the connection is not kept
    ////////////////////////////////////////////////////////////
    void abort();

    [[nodiscard]] bool begun() const;        //!< Whether the head of an answer has been buffered
    [[nodiscard]] bool mayKeepAlive() const; //!< Whether the connection can serve another request after the answer

private:
    [[nodiscard]] bool flush();

    const net::TcpSocket& m_socket;             //!< Connection of the caller
    bool                  m_http10;             //!< Whether the caller speaks HTTP/1.0
    bool                  m_keepAlive;          //!< Whether to keep the connection open after the answer
    core::Duration        m_timeout;            //!< Longest wait for each write
    std::string           m_pending;            //!< Buffered bytes that have not been sent
    bool                  m_begun{false};       //!< Whether the head has been buffered
    bool                  m_sendStarted{false}; //!< Whether a write to the connection was attempted
    bool                  m_broken{false};      //!< Whether the answer was aborted or the connection failed
    bool                  m_chunked{false};     //!< Whether the body is sent with chunked coding
    bool                  m_noBody{false};      //!< Whether the answer has no body
    std::uint64_t         m_remaining{0};       //!< Body bytes left to write when a length was announced
    bool                  m_hasLength{false};   //!< Whether a body length was announced
};

} // namespace sailpath::adapters::http

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
/// \brief The head of an answer to a caller
////////////////////////////////////////////////////////////
struct AnswerHead
{
    int                 status{200};                //!< HTTP status
    std::string         reason;                     //!< Reason phrase
    std::vector<Header> headers;                    //!< Without framing headers
    BodyFraming         framing{BodyFraming::None}; //!< How the body's end was told to us
    std::uint64_t       contentLength{0};           //!< For `Length`
    bool                lengthWithoutBody{false};   //!< State the length although no body follows (HEAD, 304)
};

////////////////////////////////////////////////////////////
/// \brief Writes one answer to a caller's connection, streaming its body
///
/// An answer that is cut off is never made to look whole: its connection is
/// closed before the stated length or the last chunk is reached.
////////////////////////////////////////////////////////////
class AnswerWriter
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Prepare to answer one request
    ///
    /// \param socket    The caller's connection
    /// \param http10    The caller speaks HTTP/1.0
    /// \param keepAlive Keep the connection after this answer
    /// \param timeout   Longest wait for the caller to take bytes
    ////////////////////////////////////////////////////////////
    AnswerWriter(const net::TcpSocket& socket, bool http10, bool keepAlive, core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \brief Begin the answer
    ////////////////////////////////////////////////////////////
    void begin(const AnswerHead& head);

    ////////////////////////////////////////////////////////////
    /// \brief Add a piece of the body
    ///
    /// \return False when the caller does not take it
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool body(std::string_view data);

    ////////////////////////////////////////////////////////////
    /// \brief End the answer
    ///
    /// \return Whether all of it was handed over
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool end();

    ////////////////////////////////////////////////////////////
    /// \brief Take back what was begun, so that another answer can be given
    ///
    /// \return False when some of it has been handed over already
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool discardUnsent();

    ////////////////////////////////////////////////////////////
    /// \brief Break off; the connection will be closed
    ////////////////////////////////////////////////////////////
    void abort();

    [[nodiscard]] bool begun() const;        //!< Whether an answer was begun
    [[nodiscard]] bool mayKeepAlive() const; //!< Whether the connection can serve another request

private:
    [[nodiscard]] bool flush();

    const net::TcpSocket& m_socket;            //!< The caller's connection
    bool                  m_http10;            //!< The caller speaks HTTP/1.0
    bool                  m_keepAlive;         //!< Keep the connection
    core::Duration        m_timeout;           //!< Longest wait
    std::string           m_pending;           //!< Bytes not handed over yet
    bool                  m_begun{false};      //!< The head is written
    bool                  m_handedOver{false}; //!< Some bytes have left
    bool                  m_broken{false};     //!< Cut, or the caller is gone
    bool                  m_chunked{false};    //!< The body is written in chunks
    bool                  m_noBody{false};     //!< No body follows
    std::uint64_t         m_left{0};           //!< Bytes still owed when a length was stated
    bool                  m_stated{false};     //!< A length was stated
};

} // namespace sailpath::adapters::http

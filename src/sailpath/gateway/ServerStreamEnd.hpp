#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/paths/TunnelMessage.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Return how a connection to a server ended by the error that an operation reported
////////////////////////////////////////////////////////////
[[nodiscard]] paths::TunnelEnd endOf(const asio::error_code& error);

////////////////////////////////////////////////////////////
/// \brief Decides whether an end of file from a server is the end of its answer
///
/// It is only if the connection has not failed, and if the server took all bytes of the request: a server that resets the
/// connection makes a write fail, and the reads that follow get an end of file (see `net::examineStreamEnd`).
////////////////////////////////////////////////////////////
class ServerStreamEnd
{
public:
    using IsSending = std::function<bool()>;                   //!< Whether bytes for the server are still to be written
    using Handler = std::function<void(paths::TunnelEnd end)>; //!< `Closed` only for the end of the server's stream

    ////////////////////////////////////////////////////////////
    /// \param longestWait Time after the end of file in which the server has to take the rest of the request
    ////////////////////////////////////////////////////////////
    ServerStreamEnd(asio::io_context& context, core::Duration longestWait);

    void recordWrite(const asio::error_code& error); //!< A write to the server has ended

    ////////////////////////////////////////////////////////////
    /// \brief Decide after an end of file was read; the handler is called once, perhaps at once
    ///
    /// \param socket Connection to the server; stays open until the handler is called or `cancel`
    ////////////////////////////////////////////////////////////
    void decide(asio::ip::tcp::socket& socket, IsSending isSending, Handler handler);

    void cancel(); //!< Drop the handler

    /// \brief How the connection ended if nothing depends on whether its end was in order: a failed write says it
    [[nodiscard]] paths::TunnelEnd reportedEnd() const;

private:
    void check();
    void finish(paths::TunnelEnd end);

    asio::steady_timer     m_timer;           //!< Next check
    core::Duration         m_longestWait;     //!< From the end of file until the request counts as not taken
    core::Timestamp        m_endedAt{};       //!< When the end of file was read
    asio::ip::tcp::socket* m_socket{nullptr}; //!< Connection to the server
    IsSending              m_isSending;       //!< Whether bytes for the server are still to be written
    Handler                m_handler;         //!< Empty unless a decision is pending
    asio::error_code       m_writeError;      //!< First error of a write
};

} // namespace sailpath::gateway::priv

#pragma once

#include <sailpath/core/Time.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Decides whether an end of file from a server is the end of its answer
///
/// It is only if the connection has not failed, and if the server took all bytes of the request: a server that resets the
/// connection makes a write fail, and the reads that follow get an end of file (see `net::examineStreamEnd`).
////////////////////////////////////////////////////////////
class ServerStreamEnd
{
public:
    using IsSending = std::function<bool()>;              //!< Whether bytes for the server are still to be written
    using Handler = std::function<void(bool isComplete)>; //!< False when the connection has failed

    ////////////////////////////////////////////////////////////
    /// \param longestWait Time after the end of file in which the server has to take the rest of the request
    ////////////////////////////////////////////////////////////
    ServerStreamEnd(asio::io_context& context, core::Duration longestWait);

    void recordWrite(bool succeeded); //!< A write to the server has ended

    ////////////////////////////////////////////////////////////
    /// \brief Decide after an end of file was read; the handler is called once, perhaps at once
    ///
    /// \param socket Connection to the server; stays open until the handler is called or `cancel`
    ////////////////////////////////////////////////////////////
    void decide(asio::ip::tcp::socket& socket, IsSending isSending, Handler handler);

    void cancel(); //!< Drop the handler

    [[nodiscard]] bool hasFailed() const; //!< A write has failed

private:
    void check();
    void finish(bool isComplete);

    asio::steady_timer     m_timer;            //!< Next check
    core::Duration         m_longestWait;      //!< From the end of file until the request counts as not taken
    core::Timestamp        m_endedAt{};        //!< When the end of file was read
    asio::ip::tcp::socket* m_socket{nullptr};  //!< Connection to the server
    IsSending              m_isSending;        //!< Whether bytes for the server are still to be written
    Handler                m_handler;          //!< Empty unless a decision is pending
    bool                   m_hasFailed{false}; //!< A write has failed
};

} // namespace sailpath::gateway::priv

#pragma once

#include <sailpath/adapters/http/AnswerWriter.hpp>
#include <sailpath/adapters/http/Cancellation.hpp>
#include <sailpath/adapters/http/ConnectionPool.hpp>
#include <sailpath/adapters/http/RequestHead.hpp>
#include <sailpath/core/Time.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Callback that receives one piece of a body; returning false ends the transfer
////////////////////////////////////////////////////////////
using BodySink = std::function<bool(std::string_view)>;

////////////////////////////////////////////////////////////
/// \brief Callback that reads a body piece by piece into a sink; returns false when the body is incomplete
////////////////////////////////////////////////////////////
using BodySource = std::function<bool(const BodySink&)>;

////////////////////////////////////////////////////////////
/// \brief Request to a backend server
////////////////////////////////////////////////////////////
struct ServerRequest
{
    std::string                           method;                     //!< HTTP method
    std::string                           target;                     //!< Request target
    std::vector<Header>                   headers;                    //!< Headers except the framing headers
    BodyFraming                           framing{BodyFraming::None}; //!< How the request marks the end of its body
    std::uint64_t                         contentLength{0}; //!< Body length in bytes when `framing` is `Length`
    std::string_view                      body;             //!< Buffered body; unused when `stream` is set
    BodySource                            stream;           //!< Reads a body that is not buffered
    std::chrono::steady_clock::time_point deadline;         //!< Latest time for the head of the answer to arrive
    bool reuseRecentOnly{false}; //!< Reuse only a recently used pooled connection, otherwise open a new one
};

////////////////////////////////////////////////////////////
/// \brief Callbacks that receive an answer as it arrives; returning false ends the transfer
////////////////////////////////////////////////////////////
struct AnswerSink
{
    std::function<bool(const AnswerHead&)> head; //!< Called once with the head
    BodySink                               body; //!< Called for each piece of the body
};

////////////////////////////////////////////////////////////
/// \brief How an exchange with a backend server ended
////////////////////////////////////////////////////////////
enum class ExchangeEnd
{
    Whole,        //!< The complete answer arrived
    NotSent,      //!< No byte of the request can have reached the server
    NoAnswer,     //!< The request was sent at least in part, but no complete head came back
    Truncated,    //!< The head of the answer arrived, but not the complete body
    SinkRefused,  //!< The sink ended the transfer
    SourceFailed, //!< The body of the request could not be read
    TimedOut,     //!< A wait ran out before the head of the answer arrived
    Cancelled     //!< Another thread cancelled the exchange
};

////////////////////////////////////////////////////////////
/// \brief Sends requests to backend servers over persistent connections and receives their answers
////////////////////////////////////////////////////////////
class BackendClient
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a client
    ///
    /// \param connectTimeout  Longest wait for a connection to be established
    /// \param bodyIdleTimeout Longest pause after the head of an answer has arrived
    ////////////////////////////////////////////////////////////
    BackendClient(core::Duration connectTimeout, core::Duration bodyIdleTimeout);

    ////////////////////////////////////////////////////////////
    /// \brief Send one request and receive its answer
    ///
    /// A request is never sent a second time.
    ///
    /// \param address      IP address of the server
    /// \param port         TCP port of the server
    /// \param request      Request to send
    /// \param sink         Receives the answer
    /// \param cancellation Lets another thread end the exchange
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ExchangeEnd exchange(const std::string& address, std::uint16_t port, const ServerRequest& request,
                                       const AnswerSink& sink, Cancellation& cancellation);

    ////////////////////////////////////////////////////////////
    /// \brief Drop the closed idle connections of a server
    ///
    /// \return Whether the server had idle connections and has closed all of them
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allClosed(const std::string& address, std::uint16_t port);

    ////////////////////////////////////////////////////////////
    /// \brief Close connections that have exceeded the maximum idle time
    ////////////////////////////////////////////////////////////
    void prune();

private:
    core::Duration m_connectTimeout;  //!< Longest wait for a connection to be established
    core::Duration m_bodyIdleTimeout; //!< Longest pause after the head of an answer has arrived
    ConnectionPool m_pool;            //!< Idle connections
};

} // namespace sailpath::adapters::http

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
/// \brief Takes pieces of a body; false ends the transfer
////////////////////////////////////////////////////////////
using BodySink = std::function<bool(std::string_view)>;

////////////////////////////////////////////////////////////
/// \brief Reads a body piece by piece into a sink; false when it could not be read whole
////////////////////////////////////////////////////////////
using BodySource = std::function<bool(const BodySink&)>;

////////////////////////////////////////////////////////////
/// \brief A request as it is sent to a backend server
////////////////////////////////////////////////////////////
struct ServerRequest
{
    std::string                           method;                     //!< HTTP method
    std::string                           target;                     //!< Request target
    std::vector<Header>                   headers;                    //!< Without framing headers
    BodyFraming                           framing{BodyFraming::None}; //!< How the body's end is told
    std::uint64_t                         contentLength{0};           //!< For `Length`
    std::string_view                      body;                       //!< The body when it is at hand
    BodySource                            stream;                     //!< Reads the body when it is not
    std::chrono::steady_clock::time_point deadline;                   //!< Until when the answer must have begun
    bool                                  reuseRecentOnly{false};     //!< Use only a connection that was used just now
};

////////////////////////////////////////////////////////////
/// \brief Receives an answer as it arrives; false ends the transfer
////////////////////////////////////////////////////////////
struct AnswerSink
{
    std::function<bool(const AnswerHead&)> head; //!< Called once
    BodySink                               body; //!< Called for each piece
};

////////////////////////////////////////////////////////////
/// \brief How an exchange with a backend server ended
////////////////////////////////////////////////////////////
enum class ExchangeEnd
{
    Whole,        //!< The whole answer arrived
    NotSent,      //!< No byte can have reached the server
    NoAnswer,     //!< Sent, perhaps in part, and no whole head came back
    Truncated,    //!< The head came, but not the whole body
    SinkRefused,  //!< The sink ended the transfer
    SourceFailed, //!< The request's body could not be read
    TimedOut,     //!< No answer began before the deadline
    Cancelled     //!< Cancelled by another thread
};

////////////////////////////////////////////////////////////
/// \brief Exchanges requests and answers with backend servers over kept connections
////////////////////////////////////////////////////////////
class BackendClient
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a client
    ///
    /// \param connectTimeout Longest time to connect
    /// \param bodyIdle       Longest pause within a body
    ////////////////////////////////////////////////////////////
    BackendClient(core::Duration connectTimeout, core::Duration bodyIdle);

    ////////////////////////////////////////////////////////////
    /// \brief Send one request and receive its answer
    ///
    /// Never sends more than once.
    ///
    /// \param address      IP number
    /// \param port         TCP port
    /// \param request      What to send
    /// \param sink         Receives the answer
    /// \param cancellation May end the exchange from another thread
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ExchangeEnd exchange(const std::string& address, std::uint16_t port, const ServerRequest& request,
                                       const AnswerSink& sink, Cancellation& cancellation);

    ////////////////////////////////////////////////////////////
    /// \brief Whether a server has closed all connections that were kept to it; false when none was
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allClosed(const std::string& address, std::uint16_t port);

    ////////////////////////////////////////////////////////////
    /// \brief Close connections that have been idle too long
    ////////////////////////////////////////////////////////////
    void prune();

private:
    core::Duration m_connectTimeout; //!< Longest time to connect
    core::Duration m_bodyIdle;       //!< Longest pause within a body
    ConnectionPool m_pool;           //!< Kept connections
};

} // namespace sailpath::adapters::http

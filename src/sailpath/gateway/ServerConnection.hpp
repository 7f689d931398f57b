#pragma once

#include "AnswerMatcher.hpp"
#include "BodyReservation.hpp"
#include "RequestBody.hpp"
#include "ServerDial.hpp"
#include "ServerStreamEnd.hpp"

#include <sailpath/balance/Balancer.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/gateway/GatewaySettings.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A complete answer of a server
////////////////////////////////////////////////////////////
struct ServerAnswer
{
    http::Head  head; //!< As received
    std::string body; //!< Decoded and complete

    BodyReservation reservation{}; //!< Memory of the body
};

////////////////////////////////////////////////////////////
/// \brief One request to be sent on a connection to a server
////////////////////////////////////////////////////////////
struct OutgoingRequest
{
    std::string id;                //!< Request id that the answer has to repeat; empty for a health check
    std::string head;              //!< Head as sent
    SharedBody  body;              //!< Sent after the head; null when it is empty
    bool        headOnly{false};   //!< The answer has no body
    bool        probe{false};      //!< A health check; its answer carries no request id
    bool        atMostOnce{false}; //!< May not run twice; on a new connection, sent only after a wait for a reset

    BodyReservation answerMemory{}; //!< Reserves the memory of the answer's body
};

class ServerConnection;

////////////////////////////////////////////////////////////
/// \brief What a connection to a server reports
////////////////////////////////////////////////////////////
class ServerConnectionEvents
{
public:
    virtual ~ServerConnectionEvents() = default;

    virtual void changed(ServerConnection& connection) = 0;      //!< It became idle or closed
    virtual void heard(ServerConnection& connection) = 0;        //!< An answer has arrived
    virtual void awaiting(ServerConnection& connection) = 0;     //!< A request was sent, its answer is awaited
    virtual void endedUnheard(ServerConnection& connection) = 0; //!< It came up, was used, and ended without a byte
    /// \brief A server's notice arrived
    virtual void noticed(const std::shared_ptr<const deployment::Instance>& instance,
                         const balance::ServerNotice& notice, balance::NoticeSource source) = 0;
};

////////////////////////////////////////////////////////////
/// \brief A connection to one instance, for one request at a time
////////////////////////////////////////////////////////////
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    using DoneCallback = std::function<void(const balance::Outcome&, ServerAnswer)>;
    using CheckCallback = std::function<void(balance::CheckResult)>;

    ////////////////////////////////////////////////////////////
    /// \param paths  State of paths; outlives the connection
    /// \param ways   Ways by which the connection may be opened
    /// \param events Told what happens; outlives the connection
    ////////////////////////////////////////////////////////////
    ServerConnection(asio::io_context& context, std::shared_ptr<const deployment::Instance> instance,
                     const GatewaySettings& settings, const Dialect& dialect, Paths& paths, paths::DialWays ways,
                     ServerConnectionEvents& events);

    void send(OutgoingRequest request, DoneCallback onDone); //!< Connect if needed and send; reports the outcome once
    void check(CheckCallback onChecked);                     //!< Connect and become idle; reports the result once
    void abandon();                                          //!< Close without reporting an outcome
    void close(); //!< Close; reports an unfinished request as lost or not sent

    [[nodiscard]] const deployment::Instance& instance() const; //!< Instance at the other end
    [[nodiscard]] bool                        idle() const;     //!< Open and without a request
    [[nodiscard]] bool                        closed() const;
    [[nodiscard]] bool                        maySend(const OutgoingRequest& request) const; //!< See `AnswerMatcher`
    [[nodiscard]] core::Duration              idleTime() const;                              //!< Since it became idle
    [[nodiscard]] core::Duration              keepAliveTimeout() const; //!< Named by the server; 0 if not
    [[nodiscard]] const std::string&          helper() const;  //!< Node that it goes through; empty when direct
    [[nodiscard]] bool                        isProbe() const; //!< The request in progress is a health check
    /// \brief Whether a health check began just now, or its answer has begun and not ended
    [[nodiscard]] bool                        isChecking() const;
    [[nodiscard]] bool                        awaits(std::uint64_t send) const; //!< This request has no answer yet
    [[nodiscard]] std::uint64_t               sends() const;                    //!< Number of the last request, from 1
    [[nodiscard]] core::Timestamp             sentAt() const;                   //!< When the last request was sent
    [[nodiscard]] core::Timestamp             openedAt() const;                 //!< When it came up
    [[nodiscard]] core::Timestamp             heardAt() const;       //!< Last bytes of the server; 0 before the first
    [[nodiscard]] std::size_t                 unparsedBytes() const; //!< Received and not parsed

private:
    enum class State
    {
        New,        //!< Not connected yet
        Connecting, //!< Being connected, or waiting for a reset before the request is sent
        Busy,       //!< A request is in progress
        Idle,       //!< Open and without a request
        Closed      //!< The socket is closed
    };

    void               connect();
    void               dialed(DialResult result);
    void               handleConnected();
    void               unwrap(std::size_t bytes); //!< Take the server's bytes out of a helper's messages
    void               handleReadError(const asio::error_code& error);
    void               handleEndOfFile();
    void               handleTunnelEnd(paths::TunnelEnd end);
    void               handleNotPassed();
    /// \brief Whether a body that lasts until the end of the server's stream is being received
    [[nodiscard]] bool endCompletesAnswer() const;
    void               write();
    void               read();
    void               handleBytes();
    void               handleEnd(balance::LossCause cause);
    void               reportCheck(balance::CheckResult result);
    void               handleAnswer();
    void               finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep);
    void               startReader();
    [[nodiscard]] bool reserveBody();     //!< Reserve memory for what has arrived of the answer's body
    void               limitCheck();      //!< End a health check that has not ended in time
    void               reportNotice();    //!< From the complete head of the answer, once for each answer
    void               endUnidentified(); //!< End the request after a failure without a request id
    void               skipAnswer();      //!< Await the next answer

    asio::io_context&                           m_context;    //!< Event loop
    std::shared_ptr<asio::ip::tcp::socket>      m_socket;     //!< Socket of the connection; null before it is up
    asio::steady_timer                          m_timer;      //!< Wait for a reset; timeout of a health check
    std::shared_ptr<const deployment::Instance> m_instance;   //!< Instance at the other end
    const GatewaySettings&                      m_settings;   //!< Timeouts and sizes
    const Dialect&                              m_dialect;    //!< Names of header fields
    Paths&                                      m_paths;      //!< State of paths
    paths::DialWays                             m_ways;       //!< Ways by which it may be opened
    ServerConnectionEvents&                     m_events;     //!< Told what happens
    std::shared_ptr<ServerDial>                 m_dial;       //!< While it is being opened
    std::string                                 m_helper;     //!< Node that it goes through; empty when direct
    core::ReceiveBuffer                         m_wrapped;    //!< Bytes of the helper, not unwrapped yet
    DoneCallback                                m_onDone;     //!< Called with the outcome of the request
    CheckCallback                               m_onChecked;  //!< Called with the result of a check
    OutgoingRequest                             m_request;    //!< Request in progress
    std::unique_ptr<http::MessageReader>        m_reader;     //!< Parser of the answer
    AnswerMatcher                               m_matcher;    //!< Assigns answers to requests
    ServerStreamEnd                             m_streamEnd;  //!< Failed writes, and what an end of file means
    core::ReceiveBuffer                         m_unread;     //!< Bytes received but not parsed
    std::array<char, 8192>                      m_buffer{};   //!< Receive buffer
    core::Timestamp                             m_since{};    //!< When the connection became idle, or began to connect
    core::Timestamp                             m_openedAt{}; //!< When the connection came up
    core::Timestamp                             m_heardAt{};  //!< Last bytes of the server
    core::Timestamp                             m_sentAt{};   //!< When the last request was sent
    std::uint64_t                               m_sends{0};   //!< Requests given to it
    std::optional<paths::TunnelEnd>             m_tunnelEnd;  //!< What the helper told of the end
    core::Duration                              m_keepAliveTimeout{};          //!< Named by the server; 0 if not
    State                                       m_state{State::New};           //!< State of the connection
    balance::ConnectFailure m_connectFailure{balance::ConnectFailure::Broken}; //!< Why no connection was opened
    bool                    m_requestWritten{false};                           //!< All of the request is written
    unsigned                m_skippedAnswers{0};     //!< Interim answers and such to other requests, since the send
    bool                    m_noticeReported{false}; //!< The answer's notice is reported
    bool                    m_notPassed{false};      //!< The helper stops, and the server got none of the request
    bool                    m_notReusable{false};    //!< Got an answer to another request
};

} // namespace sailpath::gateway::priv

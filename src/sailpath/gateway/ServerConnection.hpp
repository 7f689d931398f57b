#pragma once

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
};

////////////////////////////////////////////////////////////
/// \brief One request to be sent on a connection to a server
////////////////////////////////////////////////////////////
struct OutgoingRequest
{
    std::string id;                //!< Request id that the answer has to repeat
    std::string bytes;             //!< Head and body as sent
    bool        headOnly{false};   //!< The answer has no body
    bool        probe{false};      //!< A health check; its answer carries no request id
    bool        atMostOnce{false}; //!< May not run twice; on a new connection, sent only after a wait for a reset
};

////////////////////////////////////////////////////////////
/// \brief A connection to one instance, for one request at a time
////////////////////////////////////////////////////////////
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    using DoneCallback = std::function<void(const balance::Outcome&, ServerAnswer)>;
    using ChangeCallback = std::function<void(ServerConnection&)>;
    using CheckCallback = std::function<void(balance::CheckResult)>;
    using NoticeCallback = std::function<void(const std::shared_ptr<const deployment::Instance>&,
                                              const balance::ServerNotice&, balance::NoticeSource)>;

    ServerConnection(asio::io_context& context, std::shared_ptr<const deployment::Instance> instance,
                     const GatewaySettings& settings, const Dialect& dialect, ChangeCallback onChange,
                     NoticeCallback onNotice);

    void send(OutgoingRequest request, DoneCallback onDone); //!< Connect if needed and send; reports the outcome once
    void check(CheckCallback onChecked);                     //!< Connect and become idle; reports the result once
    void abandon();                                          //!< Close without reporting an outcome
    void close(); //!< Close; reports an unfinished request as lost or not sent

    [[nodiscard]] const deployment::Instance& instance() const; //!< Instance at the other end
    [[nodiscard]] bool                        idle() const;     //!< Open and without a request
    [[nodiscard]] bool                        closed() const;
    [[nodiscard]] core::Duration              idleTime() const;         //!< Since it became idle
    [[nodiscard]] core::Duration              keepAliveTimeout() const; //!< Named by the server; 0 if not

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
    void               bindSource(); //!< Bind the socket to the source address of the settings
    void               handleConnected();
    void               handleConnectFailure(balance::ConnectFailure failure);
    void               write();
    void               read();
    void               handleBytes(std::size_t bytes);
    void               handleEnd(bool cleanEnd, bool byServer = false);
    void               reportCheck(balance::CheckResult result);
    void               handleAnswer();
    void               finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep);
    void               startReader();
    void               reportNotice(); //!< From the complete head of the answer, once for each answer
    [[nodiscard]] bool answersRequest(const http::Head& head) const;

    asio::ip::tcp::socket                       m_socket;    //!< Socket of the connection
    asio::steady_timer                          m_timer;     //!< Timeout of connecting; wait for a reset
    std::shared_ptr<const deployment::Instance> m_instance;  //!< Instance at the other end
    const GatewaySettings&                      m_settings;  //!< Timeouts and sizes
    const Dialect&                              m_dialect;   //!< Names of header fields
    ChangeCallback                              m_onChange;  //!< Called when the connection becomes idle or closes
    NoticeCallback                              m_onNotice;  //!< Called for notices on answers
    DoneCallback                                m_onDone;    //!< Called with the outcome of the request
    CheckCallback                               m_onChecked; //!< Called with the result of a check
    OutgoingRequest                             m_request;   //!< Request in progress
    std::unique_ptr<http::MessageReader>        m_reader;    //!< Parser of the answer
    std::string                                 m_unread;    //!< Bytes received but not parsed
    std::array<char, 8192>                      m_buffer{};  //!< Receive buffer
    core::Timestamp                             m_since{};   //!< When the connection became idle, or began to connect
    core::Duration                              m_keepAliveTimeout{};          //!< Named by the server; 0 if not
    State                                       m_state{State::New};           //!< State of the connection
    balance::ConnectFailure m_connectFailure{balance::ConnectFailure::Broken}; //!< Why no connection was opened
    bool                    m_requestWritten{false};                           //!< All of the request is written
    bool                    m_noticeReported{false};                           //!< The answer's notice is reported
    bool                    m_notReusable{false};                              //!< Got an answer to another request
};

} // namespace sailpath::gateway::priv

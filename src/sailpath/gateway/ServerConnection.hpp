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
/// \brief What a server answered
////////////////////////////////////////////////////////////
struct ServerAnswer
{
    http::Head  head; //!< As it came
    std::string body; //!< Whole
};

////////////////////////////////////////////////////////////
/// \brief One request to be sent on one connection
////////////////////////////////////////////////////////////
struct OutgoingRequest
{
    std::string id;                //!< That the answer has to repeat
    std::string bytes;             //!< Head and body
    bool        headOnly{false};   //!< Its answer has no body
    bool        probe{false};      //!< Asks for the load; the answer has no id
    bool        atMostOnce{false}; //!< May not run twice, so a new connection has to prove itself before it is sent
};

////////////////////////////////////////////////////////////
/// \brief A connection to one instance; serves one request at a time
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

    void send(OutgoingRequest request, DoneCallback onDone); //!< Connect if needed, send, report the end once
    void check(CheckCallback onChecked); //!< Connect and come to rest; report once whether that could be done
    void abandon();                      //!< Break off without a report
    void close();                        //!< Close; a request under way is reported as lost

    [[nodiscard]] const deployment::Instance& instance() const;         //!< Where it leads
    [[nodiscard]] bool                        idle() const;             //!< Open and at rest
    [[nodiscard]] bool                        closed() const;           //!< Of no more use
    [[nodiscard]] core::Duration              idleTime() const;         //!< Time at rest
    [[nodiscard]] core::Duration              keepAliveTimeout() const; //!< Rest that the server allows

private:
    enum class State
    {
        New,        //!< Not connected
        Connecting, //!< On the way
        Busy,       //!< A request is under way
        Idle,       //!< At rest
        Closed      //!< Of no more use
    };

    void               connect();
    void               handleConnected();
    void               write();
    void               read();
    void               handleBytes(std::size_t bytes);
    void               handleEnd(bool cleanEnd, bool byServer = false);
    void               reportCheck(balance::CheckResult result);
    void               handleAnswer();
    void               finish(const balance::Outcome& outcome, ServerAnswer answer, bool keep);
    void               startReader();
    void               reportNotice(); //!< From the head that is being read, once it is whole
    [[nodiscard]] bool answersRequest(const http::Head& head) const;

    asio::ip::tcp::socket                       m_socket;                //!< Connection
    asio::steady_timer                          m_timer;                 //!< For connecting
    std::shared_ptr<const deployment::Instance> m_instance;              //!< Where it leads
    const GatewaySettings&                      m_settings;              //!< Constants
    const Dialect&                              m_dialect;               //!< Names
    ChangeCallback                              m_onChange;              //!< Told when it comes to rest or closes
    NoticeCallback                              m_onNotice;              //!< Told of notices on answers
    DoneCallback                                m_onDone;                //!< Told of the end of the request
    CheckCallback                               m_onChecked;             //!< Told of the end of a check
    OutgoingRequest                             m_request;               //!< Under way
    std::unique_ptr<http::MessageReader>        m_reader;                //!< Of the answer
    std::string                                 m_unread;                //!< Bytes not taken yet
    std::array<char, 8192>                      m_buffer{};              //!< Bytes as they come
    core::Timestamp                             m_since{};               //!< Start of the rest, or of connecting
    core::Duration                              m_keepAliveTimeout{};    //!< As the server said; 0 when it did not
    State                                       m_state{State::New};     //!< What it does
    bool                                        m_requestWritten{false}; //!< The request is out
    bool                                        m_noticeReported{false}; //!< The notice of this answer was told
    bool                                        m_notReusable{false};    //!< Must not be used again
};

} // namespace sailpath::gateway::priv

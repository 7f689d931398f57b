#pragma once

#include "BodyMemory.hpp"

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace sailpath::gateway::priv
{
class CallerConnection;

////////////////////////////////////////////////////////////
/// \brief What a caller's connection needs of the gateway
////////////////////////////////////////////////////////////
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    virtual void requestRead(CallerConnection& caller, const http::Head& head,
                             std::string body) = 0;        //!< A whole request
    virtual void callerLeft(CallerConnection& caller) = 0; //!< It ended while a request was under way
    virtual void callerGone(CallerConnection& caller) = 0; //!< The connection is closed

    ////////////////////////////////////////////////////////////
    /// \brief An own answer is given before a whole request was read
    ///
    /// \param head Of the request, as far as it is known; null when there is none
    ////////////////////////////////////////////////////////////
    virtual void refusedUnread(const http::Head* head, unsigned status, std::string_view reason) = 0;

    [[nodiscard]] virtual std::string workspaceOf(const http::Head& head) const = 0; //!< Whose request it is
    [[nodiscard]] virtual const deployment::CallerLimits& limits() const = 0;        //!< In force
    [[nodiscard]] virtual bool                            configured() const = 0; //!< Whether these are the operator's
    [[nodiscard]] virtual bool                            leaving() const = 0; //!< Connections end at the next answer
};

////////////////////////////////////////////////////////////
/// \brief An own answer
////////////////////////////////////////////////////////////
struct OwnAnswer
{
    unsigned         status{503};  //!< Status
    std::string_view reason;       //!< Why, for the body
    core::Duration   comeBack{};   //!< `Retry-After`; 0 for none
    bool             close{false}; //!< The connection ends with it
};

////////////////////////////////////////////////////////////
/// \brief A caller's connection; one request at a time
////////////////////////////////////////////////////////////
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, CallerEvents& events, BodyMemory& bodies);

    void start();                                                 //!< Begin to read
    void answer(const http::Head& head, const std::string& body); //!< Pass a server's answer on
    void answer(const OwnAnswer& answer);                         //!< Answer in the node's own name
    void cut();                                                   //!< Close without an answer
    void sweep(core::Timestamp now);                              //!< Give up what takes too long
    void closeIfIdle();                                           //!< Close if no request was begun

    [[nodiscard]] core::Timestamp since() const;                   //!< First byte of the request
    [[nodiscard]] std::uint64_t   ticket() const;                  //!< Of the request under way; 0 for none
    void                          setTicket(std::uint64_t ticket); //!< Note the request under way

private:
    enum class State
    {
        Reading, //!< Waits for a request or reads it
        Waiting, //!< A request is under way
        Writing, //!< The answer is on its way
        Closed   //!< Of no more use
    };

    void               read();
    void               received(std::size_t bytes);
    void               parse();
    void               headRead();
    [[nodiscard]] bool reserveBody();
    void               refuse(unsigned status, std::string_view reason);
    void               write(bool keep);
    void               written(bool good);
    void               close();
    void               release();

    asio::ip::tcp::socket                m_socket;                //!< Connection
    CallerEvents&                        m_events;                //!< Gateway
    BodyMemory&                          m_bodies;                //!< Memory for bodies, shared with the others
    std::unique_ptr<http::MessageReader> m_reader;                //!< Of the request; null between requests
    std::string                          m_unread;                //!< Bytes not taken yet
    std::string                          m_out;                   //!< Answer
    std::array<char, 4096>               m_buffer{};              //!< Bytes as they come
    core::Timestamp                      m_since{};               //!< First byte of the request
    core::Timestamp                      m_activity{};            //!< Last bytes
    std::uint64_t                        m_ticket{0};             //!< Request under way
    std::int64_t                         m_reserved{0};           //!< Memory reserved for its body
    std::string                          m_workspace;             //!< Whose memory that is
    State                                m_state{State::Reading}; //!< What it does
    bool                                 m_reading{false};        //!< A read is under way
    bool                                 m_headSeen{false};       //!< The head of the request is whole
    bool                                 m_keep{false};           //!< The caller wants the connection kept
    bool                                 m_headOnly{false};       //!< The request asks for the head only
    bool                                 m_lastOne{false};        //!< Closes after the answer
};

////////////////////////////////////////////////////////////
/// \brief Reading of the clock that decisions are given
////////////////////////////////////////////////////////////
[[nodiscard]] core::Timestamp now();

} // namespace sailpath::gateway::priv

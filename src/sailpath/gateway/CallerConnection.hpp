#pragma once

#include "AnswerQueue.hpp"
#include "BodyMemory.hpp"
#include "CallerEvents.hpp"
#include "RequestReader.hpp"

#include <sailpath/core/Time.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A caller's connection
///
/// Requests that may be repeated are handed on side by side; their answers
/// are given in the order of the requests. What may not be repeated waits
/// until all answers before it are written, as one of them may end the
/// connection. Once an answer is to end it, nothing behind is handed on.
////////////////////////////////////////////////////////////
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, std::string address, CallerEvents& events,
                     std::shared_ptr<BodyMemory> bodyMemory);

    void start(); //!< Begin to read

    ////////////////////////////////////////////////////////////
    /// \brief Pass a server's answer on when its turn comes
    ///
    /// \return False when no answer to the request is due, as the caller has left
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool answer(balance::Ticket ticket, const http::Head& head, std::string body);

    [[nodiscard]] bool answer(balance::Ticket ticket, const LocalAnswer& local); //!< The same in the node's own name

    void checkTimeouts(core::Timestamp now); //!< Give up what takes too long
    void closeIfIdle();                      //!< Close if no request was begun

    [[nodiscard]] std::optional<core::Timestamp> idleSince() const; //!< Null while a request is begun or under way
    [[nodiscard]] const std::string&             address() const;   //!< IP number of the caller

private:
    enum class State
    {
        Open,      //!< Requests come and answers go
        Lingering, //!< The last answer is written; what still comes is dropped
        Closed     //!< Of no more use
    };

    void               read();
    void               handleBytes(std::size_t bytes);
    void               readRequests();
    [[nodiscard]] bool canReadRequest() const;
    [[nodiscard]] bool reserveBody();
    void               handleExpect();
    void               writeContinue();
    void               handleRequest();
    void               forward(CallerRequest request);
    void               refuse(unsigned status, std::string_view reason);
    [[nodiscard]] bool setAnswer(PendingAnswer* pending, CallerAnswer answer);
    void               writeNext();
    void               handleWritten(bool succeeded);
    void               pollForClose();
    [[nodiscard]] bool hasNoPendingAnswer() const;
    void               close();

    asio::ip::tcp::socket        m_socket;             //!< Connection
    std::string                  m_address;            //!< IP number of the caller
    asio::steady_timer           m_closePollTimer;     //!< Looks for the caller's end while nothing is read
    CallerEvents&                m_events;             //!< Gateway
    std::shared_ptr<BodyMemory>  m_bodyMemory;         //!< Memory for bodies, shared with the others
    RequestReader                m_reader;             //!< Of what comes
    BodyReservation              m_reservation;        //!< Of the body being read
    AnswerQueue                  m_pendingAnswers;     //!< Requests handed on
    std::optional<CallerRequest> m_deferred;           //!< Not to be repeated, so it waits for the answers before it
    std::optional<PendingAnswer> m_writing;            //!< Its answer is on its way
    std::array<char, 4096>       m_buffer{};           //!< Bytes as they come
    core::Timestamp              m_lastActivity{};     //!< Last bytes
    core::Timestamp              m_readResumedAt{};    //!< Latest moment at which reading was not held up any more
    State                        m_state{State::Open}; //!< What it does
    bool                         m_reading{false};     //!< A read is under way
    bool                         m_pollingForClose{false}; //!< The timer is set
    bool                         m_expectHandled{false};   //!< The caller asked whether to send the body
    bool                         m_continuePending{false}; //!< It has not been told yet
    bool                         m_requestsEnded{false};   //!< No further request is read
    bool                         m_closeAfterWrite{false}; //!< The answer on its way ends the connection
};

} // namespace sailpath::gateway::priv

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
/// \brief A caller's HTTP connection, with pipelining
///
/// Repeatable requests are forwarded concurrently; their answers are
/// written in the order of the requests. A request that may not be repeated
/// waits until all earlier answers are written, as one of them may close the
/// connection. No request after an answer that closes the connection is
/// forwarded.
////////////////////////////////////////////////////////////
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, std::string address, CallerEvents& events,
                     std::shared_ptr<BodyMemory> bodyMemory);

    void start(); //!< Begin to read requests

    ////////////////////////////////////////////////////////////
    /// \brief Queue a server's answer, to be written after those of all earlier requests
    ///
    /// \return False when the connection no longer expects an answer to the request
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool answer(balance::Ticket ticket, const http::Head& head, std::string body, BodyReservation memory);

    [[nodiscard]] bool answer(balance::Ticket ticket, const LocalAnswer& local); //!< Queue an answer of the gateway

    void checkTimeouts(core::Timestamp now); //!< Close the connection or refuse the request when a limit has passed
    void closeIfIdle();                      //!< Close if no request is being read or answered

    ////////////////////////////////////////////////////////////
    /// \brief Whether an answer is being sent: written in part, or not yet acknowledged by the caller's system
    ///
    /// A connection that is closed while input is unread is reset, which destroys what was not acknowledged.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isSending();

    [[nodiscard]] std::optional<core::Timestamp> idleSince() const; //!< Null while a request is read or answered
    [[nodiscard]] const std::string&             address() const;   //!< IP address of the caller

private:
    enum class State
    {
        Open,      //!< Requests are read and answers written
        Lingering, //!< All answers are written and the caller is told the end; further input is discarded
        Closed     //!< The socket is closed
    };

    void                     read();
    void                     handleBytes(std::size_t bytes);
    void                     readRequests();
    [[nodiscard]] bool       canReadRequest() const;
    [[nodiscard]] bool       reserveBody();
    [[nodiscard]] SharedBody takeBody();
    void                     handleExpect();
    void                     writeContinue();
    void                     handleRequest();
    void                     forward(CallerRequest request);
    void                     refuse(unsigned status, std::string_view reason);
    void                     refuse(const LocalAnswer& local);
    /// \brief Refuse the request being read if a planned stop leaves no time to answer it
    [[nodiscard]] bool       refusedForStop();
    [[nodiscard]] bool       setAnswer(PendingAnswer* pending, CallerAnswer answer);
    void                     writeNext();
    void                     handleWritten(bool succeeded);
    void                     pollForClose();
    [[nodiscard]] bool       hasNoPendingAnswer() const;
    [[nodiscard]] bool       endsWithNextAnswer() const;
    void                     linger();
    void                     recordProgress(core::Timestamp now);
    void                     close(std::string_view reason);

    asio::ip::tcp::socket        m_socket;                 //!< Socket of the connection
    std::string                  m_address;                //!< IP address of the caller
    asio::steady_timer           m_closePollTimer;         //!< Next check of the socket state while reading is paused
    CallerEvents&                m_events;                 //!< Interface of the gateway
    std::shared_ptr<BodyMemory>  m_bodyMemory;             //!< Limit on body memory, shared by all connections
    RequestReader                m_reader;                 //!< Splits the input into requests
    BodyReservation              m_reservation;            //!< Memory of the body being read
    AnswerQueue                  m_pendingAnswers;         //!< Forwarded or refused requests without a written answer
    std::optional<CallerRequest> m_deferred;               //!< Not repeatable, so waiting for the earlier answers
    std::optional<PendingAnswer> m_writing;                //!< The answer that is being written
    std::array<char, 4096>       m_buffer{};               //!< Receive buffer
    core::Timestamp              m_lastActivity{};         //!< When bytes were last received or taken by the caller
    std::size_t                  m_unacknowledged{0};      //!< Bytes of answers in transit when last checked
    core::Timestamp              m_readResumedAt{};        //!< When a completed write last let reading resume
    State                        m_state{State::Open};     //!< State of the connection
    bool                         m_reading{false};         //!< A read operation is pending
    bool                         m_pollingForClose{false}; //!< `m_closePollTimer` is set
    bool                         m_expectHandled{false};   //!< `Expect: 100-continue` of the current request was seen
    bool                         m_continuePending{false}; //!< `100 Continue` has to be written
    bool                         m_writingContinue{false}; //!< `100 Continue` is being written
    bool                         m_requestRead{false};     //!< A request was read from the connection
    bool                         m_requestsEnded{false};   //!< No further request is read from the connection
    bool                         m_closeAfterWrite{false}; //!< The answer being written is the last one
};

} // namespace sailpath::gateway::priv

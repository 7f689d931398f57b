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
                     std::shared_ptr<BodyMemory> bodies);

    void start(); //!< Begin to read

    ////////////////////////////////////////////////////////////
    /// \brief Pass a server's answer on when its turn comes
    ///
    /// \return False when no answer to the request is due, as the caller has left
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool answer(balance::Ticket ticket, const http::Head& head, std::string body);

    [[nodiscard]] bool answer(balance::Ticket ticket, const OwnAnswer& own); //!< The same in the node's own name

    void sweep(core::Timestamp now); //!< Give up what takes too long
    void closeIfIdle();              //!< Close if no request was begun

    [[nodiscard]] std::optional<core::Timestamp> restingSince() const; //!< Null while a request is begun or under way
    [[nodiscard]] const std::string&             address() const;      //!< IP number of the caller

private:
    enum class State
    {
        Open,      //!< Requests come and answers go
        Lingering, //!< The last answer is written; what still comes is dropped
        Closed     //!< Of no more use
    };

    void               read();
    void               received(std::size_t bytes);
    void               takeRequests();
    [[nodiscard]] bool mayTakeRequest() const;
    [[nodiscard]] bool claimBody();
    void               sayContinue();
    void               writeContinue();
    void               requestDone();
    void               handOn(CallerRequest request);
    void               refuse(unsigned status, std::string_view reason);
    [[nodiscard]] bool give(Turn* turn, CallerAnswer answer);
    void               writeNext();
    void               written(bool good);
    void               watchForEnd();
    [[nodiscard]] bool nothingOwed() const;
    void               close();

    asio::ip::tcp::socket        m_socket;              //!< Connection
    std::string                  m_address;             //!< IP number of the caller
    asio::steady_timer           m_endTimer;            //!< Looks for the caller's end while nothing is read
    CallerEvents&                m_events;              //!< Gateway
    std::shared_ptr<BodyMemory>  m_bodies;              //!< Memory for bodies, shared with the others
    RequestReader                m_reader;              //!< Of what comes
    BodyClaim                    m_memory;              //!< Of the body being read
    AnswerQueue                  m_turns;               //!< Requests handed on
    std::optional<CallerRequest> m_waiting;             //!< Not to be repeated, so it waits for the answers before it
    std::optional<Turn>          m_writing;             //!< Its answer is on its way
    std::array<char, 4096>       m_buffer{};            //!< Bytes as they come
    core::Timestamp              m_activity{};          //!< Last bytes
    core::Timestamp              m_readOnAt{};          //!< Latest moment at which reading was not held up any more
    State                        m_state{State::Open};  //!< What it does
    bool                         m_reading{false};      //!< A read is under way
    bool                         m_watching{false};     //!< The timer is set
    bool                         m_expectSeen{false};   //!< The caller asked whether to send the body
    bool                         m_continueOwed{false}; //!< It has not been told yet
    bool                         m_lastRead{false};     //!< No further request is read
    bool                         m_lastWritten{false};  //!< The answer on its way ends the connection
};

} // namespace sailpath::gateway::priv

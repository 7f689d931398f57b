#pragma once

#include "BodyReservation.hpp"
#include "CallerAnswer.hpp"

#include <sailpath/balance/Step.hpp>
#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A request of a caller's connection whose answer has not been written yet
////////////////////////////////////////////////////////////
struct PendingAnswer
{
    balance::Ticket             ticket{0};       //!< Of the request; 0 if refused before it was read whole
    bool                        keepAlive{true}; //!< The caller asked to keep the connection open
    bool                        headOnly{false}; //!< A `HEAD` request, whose answer has no body
    BodyReservation             reservation;     //!< Memory of the answer while it waits
    std::optional<CallerAnswer> answer;          //!< Null until the answer is known
    core::Timestamp             answeredAt{};    //!< When the answer became known
};

////////////////////////////////////////////////////////////
/// \brief Queue of one connection's answers, which are written in the order of the requests
////////////////////////////////////////////////////////////
class AnswerQueue
{
public:
    void append(PendingAnswer pending); //!< Add the request that was read last

    [[nodiscard]] PendingAnswer* findUnanswered(balance::Ticket ticket); //!< Null when there is none

    ////////////////////////////////////////////////////////////
    /// \brief Store the answer of a request; an answer that waits for earlier ones is counted as body memory
    ////////////////////////////////////////////////////////////
    void setAnswer(PendingAnswer& pending, CallerAnswer answer, core::Timestamp now);

    [[nodiscard]] std::optional<PendingAnswer> popReady(); //!< Remove and return the oldest request if it is answered

    [[nodiscard]] bool                         empty() const;
    [[nodiscard]] std::size_t                  size() const;
    [[nodiscard]] std::vector<balance::Ticket> tickets() const; //!< Tickets other than 0, in the order of the requests

private:
    std::deque<PendingAnswer> m_pending; //!< Oldest request first
};

} // namespace sailpath::gateway::priv

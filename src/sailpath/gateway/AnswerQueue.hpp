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
/// \brief A request of a connection that has no answer written yet
////////////////////////////////////////////////////////////
struct PendingAnswer
{
    balance::Ticket             ticket{0};       //!< Of the request; 0 for one that was refused unread
    bool                        keepAlive{true}; //!< The caller wants the connection kept after it
    bool                        headOnly{false}; //!< It asks for the head only
    BodyReservation             reservation;     //!< Of its body, and of its answer while that waits
    std::optional<CallerAnswer> answer;          //!< Once it is known
    core::Timestamp             answeredAt{};    //!< When it was
};

////////////////////////////////////////////////////////////
/// \brief Answers of one connection, given in the order of the requests
////////////////////////////////////////////////////////////
class AnswerQueue
{
public:
    void append(PendingAnswer pending); //!< A request was read after all others

    [[nodiscard]] PendingAnswer*
    findUnanswered(balance::Ticket ticket); //!< A turn without an answer; null when there is none

    ////////////////////////////////////////////////////////////
    /// \brief Give a turn its answer; one that has to wait for others counts as memory held
    ////////////////////////////////////////////////////////////
    void setAnswer(PendingAnswer& pending, CallerAnswer answer, core::Timestamp now);

    [[nodiscard]] std::optional<PendingAnswer> popReady(); //!< The first turn, once it has its answer

    [[nodiscard]] bool                         empty() const;   //!< No turn is left
    [[nodiscard]] std::size_t                  size() const;    //!< Turns
    [[nodiscard]] std::vector<balance::Ticket> tickets() const; //!< Of all turns that have one, in order

private:
    std::deque<PendingAnswer> m_pending; //!< In the order of the requests
};

} // namespace sailpath::gateway::priv

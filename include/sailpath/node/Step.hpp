#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/node/Refusal.hpp>
#include <sailpath/node/Target.hpp>

#include <cstdint>
#include <memory>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Number that identifies an unfinished request on a node
////////////////////////////////////////////////////////////
using Ticket = std::uint32_t;

////////////////////////////////////////////////////////////
/// \brief Next action for a request
////////////////////////////////////////////////////////////
enum class Verdict
{
    Forward, //!< Send the request to `target` and report the outcome
    Hold,    //!< Keep the request queued; a later step for the same ticket follows
    Answer,  //!< Pass the server's answer to the caller; the ticket is no longer valid
    Refuse   //!< Answer the caller with `refusal`; the ticket is no longer valid
};

////////////////////////////////////////////////////////////
/// \brief Decision about a request
////////////////////////////////////////////////////////////
struct Step
{
    Verdict                       verdict{Verdict::Refuse}; //!< Next action for the request
    Ticket                        ticket{0};  //!< Ticket of the request; unused if the request was refused on arrival
    std::shared_ptr<const Target> target;     //!< Server to send to, for `Forward`
    unsigned                      attempt{0}; //!< Number of the attempt, for `Forward`; the first attempt is 1
    bool                          repeatable{false}; //!< Whether the request may run more than once
    core::Timestamp               deadline{};        //!< Time by which the request must be finished
    Refusal                       refusal;           //!< Reason and retry delay, for `Refuse`
};

} // namespace sailpath::node

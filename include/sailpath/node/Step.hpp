#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/node/Refusal.hpp>
#include <sailpath/node/Target.hpp>

#include <cstdint>
#include <memory>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief The node's number for a request that it has not finished with
////////////////////////////////////////////////////////////
using Ticket = std::uint32_t;

////////////////////////////////////////////////////////////
/// \brief What is to be done with a request next
////////////////////////////////////////////////////////////
enum class Verdict
{
    Forward, //!< Send it to `target`, then report the outcome
    Hold,    //!< Wait; a later step for the same ticket follows
    Answer,  //!< Pass the server's answer on; the ticket is done
    Refuse   //!< Answer with `refusal`; the ticket is done
};

////////////////////////////////////////////////////////////
/// \brief One decision about one request
////////////////////////////////////////////////////////////
struct Step
{
    Verdict                       verdict{Verdict::Refuse}; //!< What to do
    Ticket                        ticket{0};                //!< Which request; unused when it was refused on arrival
    std::shared_ptr<const Target> target;                   //!< For `Forward`: where to
    unsigned                      attempt{0};               //!< For `Forward`: 1 for the first attempt
    bool                          repeatable{false};        //!< Whether the request may run more than once
    core::Timestamp               deadline{};               //!< When the request must be done
    Refusal                       refusal;                  //!< For `Refuse`
};

} // namespace sailpath::node

#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What a node believes of a route's processing time, and how old the evidence is
////////////////////////////////////////////////////////////
struct WorkEvidence
{
    double workMs{0};       //!< Usual processing time, milliseconds
    double answerAgeMs{-1}; //!< Time since the last answer that it was learned from; negative without one
};

} // namespace sailpath::balance

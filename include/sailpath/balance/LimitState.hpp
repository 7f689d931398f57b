#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <limits>
#include <memory>

namespace sailpath::balance
{
//! Limit, in requests per second, of an instance that names none
inline constexpr double unlimited = std::numeric_limits<double>::infinity();

////////////////////////////////////////////////////////////
/// \brief State of an instance with a rate limit, as shown to operators
////////////////////////////////////////////////////////////
struct LimitState
{
    std::shared_ptr<const deployment::Instance> instance;                //!< The limited instance
    double                                      perSecond{unlimited};    //!< Limit for all nodes together, requests/s
    core::Timestamp                             limitedSince{};          //!< When this node learned of a limit
    double                                      admissionProbability{1}; //!< Chance that a request is sent, 0 to 1
    double                                      sentHere{0};  //!< Requests sent by this node since `limitedSince`
    double                                      sentByAll{0}; //!< Requests sent by all nodes, as far as they reported
};

} // namespace sailpath::balance

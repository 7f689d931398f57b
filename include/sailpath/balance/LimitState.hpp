#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <limits>
#include <memory>

namespace sailpath::balance
{
//! Requests a second of an instance that names no limit
inline constexpr double unlimited = std::numeric_limits<double>::infinity();

////////////////////////////////////////////////////////////
/// \brief What is believed of an instance that takes only so much, for operators
////////////////////////////////////////////////////////////
struct LimitState
{
    std::shared_ptr<const deployment::Instance> instance;                //!< Which
    double                                      perSecond{unlimited};    //!< That it takes from all nodes together
    core::Timestamp                             limitedSince{};          //!< It takes less than everything
    double                                      admissionProbability{1}; //!< Chance that a request may be sent there
    double                                      sentHere{0};             //!< Requests of this node since then
    double                                      sentByAll{0};            //!< Requests of all nodes, as far as they told
};

} // namespace sailpath::balance

#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What a report on a bound that all nodes share is about
////////////////////////////////////////////////////////////
enum class LimitTopic : std::uint8_t
{
    Limit,         //!< The request limit of an instance, or the quota of a workspace
    ServiceShares, //!< Use of a service by a workspace or route (`balance::admission`)
    RetryBudget,   //!< Use of the retry budget of a service (`balance::retry`)
    QuotaShares    //!< Need of a workspace's quota (`balance::quotas`)
};

////////////////////////////////////////////////////////////
/// \brief A node's report of an instance's request limit and of the node's sends to the instance since its last report
///
/// Also reports a workspace: its quota, and the requests the node sent for it.
////////////////////////////////////////////////////////////
struct LimitReport
{
    std::uint32_t  node{0};      //!< Short hash of the reporting node's address; 0 is this node
    std::uint32_t  server{0};    //!< `instanceHash` of the instance, or `shortHash` of the workspace
    double         perSecond{0}; //!< Limit for all nodes together, requests per second; infinite for no limit
    core::Duration ago{};        //!< Time from the instance's statement of the limit to this report
    double         sent{0};      //!< Requests sent since the last report, plus earlier ones that still count
    double         doublings{0}; //!< Binary logarithm of the chance that the node's request is admitted to the instance
    LimitTopic     topic{LimitTopic::Limit}; //!< Other topics define what the figures above mean
};

} // namespace sailpath::deployment

#pragma once

#include <string_view>

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
/// \brief The part of a request that decides whether its workspace's quota is spent on it
////////////////////////////////////////////////////////////
struct QuotaApplicant
{
    std::string_view workspace;     //!< Name
    unsigned         rank{0};       //!< Priority; lower ranks are more urgent
    double           returning{0};  //!< Probability that the caller was refused before, 0 to 1
    double           confidence{0}; //!< How far `returning` may decide instead of the lot, 0 to 1
    bool             late{false};   //!< The answer can no longer be in time
};

} // namespace sailpath::balance::quotas

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sailpath::snapshot
{
////////////////////////////////////////////////////////////
/// \brief What a fleet has learned of one route at one service
////////////////////////////////////////////////////////////
struct LearnedRoute
{
    std::string service;
    std::string route;
    double      workMs{0};       //!< Usual processing time, milliseconds
    double      callerTimeMs{0}; //!< Time left that nine in ten requests state at least, milliseconds; 0 if unknown
};

////////////////////////////////////////////////////////////
/// \brief What a fleet has learned of one service
////////////////////////////////////////////////////////////
struct LearnedService
{
    std::string service;
    double      slowdown{1};        //!< Mean slowdown that instances report
    double      crowdedSlowdown{1}; //!< Factor of the processing time at an instance with nearly all slots taken
    double      bestLoad{0};        //!< Load per slot at which its instances do most work; 0 if unknown
};

////////////////////////////////////////////////////////////
/// \brief Use of one workspace's quota
////////////////////////////////////////////////////////////
struct QuotaUse
{
    std::uint32_t workspace{0}; //!< Short hash of the name
    double        saved{0};     //!< Requests of the burst that were unused when the snapshot was made
};

////////////////////////////////////////////////////////////
/// \brief What a node needs in its first second and cannot learn before it
///
/// Harmless if it is wrong or old: each value is a starting point that answers
/// and reports replace.
////////////////////////////////////////////////////////////
struct LearnedState
{
    std::int64_t                takenUnixMs{0}; //!< Wall clock at which the snapshot was made, milliseconds since 1970
    std::vector<LearnedRoute>   routes;
    std::vector<LearnedService> services;
    std::vector<QuotaUse>       quotas;
};

} // namespace sailpath::snapshot

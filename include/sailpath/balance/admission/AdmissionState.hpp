#pragma once

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief State of a service's admission, as shown to operators
////////////////////////////////////////////////////////////
struct AdmissionState
{
    double load{0};       //!< Requests held by an average instance, per slot
    double bestLoad{0};   //!< Learned load at which the instances together do most work, per slot
    double admitted{1};   //!< Share of the applicants that is admitted, 0 to 1
    bool   limits{false}; //!< Whether applicants are refused for lack of room
};

} // namespace sailpath::balance::admission

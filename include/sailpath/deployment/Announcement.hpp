#pragma once

#include <sailpath/deployment/Instance.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief An instance's announcement of itself, as its entry in the store holds it
////////////////////////////////////////////////////////////
struct Announcement
{
    Instance      instance;    //!< The instance, as announced
    std::uint64_t sequence{0}; //!< Number of the announcement; rises within one life of the server
};

} // namespace sailpath::deployment

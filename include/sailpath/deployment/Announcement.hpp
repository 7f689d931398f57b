#pragma once

#include <sailpath/deployment/Instance.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What an instance says of itself
////////////////////////////////////////////////////////////
struct Announcement
{
    Instance      instance;    //!< As it says
    std::uint64_t sequence{0}; //!< Rises with what it says
};

} // namespace sailpath::deployment

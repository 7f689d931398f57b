#pragma once

#include <cstdint>

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief The part of a request that decides whether it gets room in a service
////////////////////////////////////////////////////////////
struct Applicant
{
    std::uint32_t share{0};    //!< Short hash of the workspace; of the route where no workspaces are declared
    unsigned      rank{0};     //!< Priority; lower ranks are more urgent
    bool          late{false}; //!< The answer can no longer be in time
};

} // namespace sailpath::balance::admission

#pragma once

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief What this node knows of its own path to a server
////////////////////////////////////////////////////////////
enum class PathState
{
    Direct,  //!< Nothing speaks against it
    Suspect, //!< The direct path failed lately; whether the server or the path is at fault is not known
    Lost     //!< Other nodes reach the server, this one does not
};

} // namespace sailpath::paths

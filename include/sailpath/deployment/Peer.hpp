#pragma once

#include <string>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Another node of the fleet
////////////////////////////////////////////////////////////
struct Peer
{
    std::string address;    //!< `IP:PORT` where the node accepts connections of its peers
    std::string dataCentre; //!< Data centre that the node runs in

    friend bool operator==(const Peer&, const Peer&) = default;
};

} // namespace sailpath::deployment

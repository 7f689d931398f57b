#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief One life of a backend server, as it announced itself
////////////////////////////////////////////////////////////
struct Instance
{
    std::string    id;              //!< Unique over all lives of all servers
    std::string    service;         //!< Service that it belongs to
    std::string    address;         //!< IP number
    std::uint16_t  port{};          //!< TCP port
    std::string    dataCentre;      //!< Where it runs
    unsigned       slots{1};        //!< Requests that it works on at once
    bool           draining{false}; //!< It takes no new requests
    core::Duration warmUp{};        //!< How much longer it is slow after its start

    friend bool operator==(const Instance&, const Instance&) = default;
};

} // namespace sailpath::deployment

#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief One life of a backend server, as it announced itself
///
/// A server that starts again may keep its id; what was learned of the
/// earlier life says nothing of the new one.
////////////////////////////////////////////////////////////
struct Instance
{
    std::string    id;              //!< Of the server, the same over its lives perhaps
    std::string    service;         //!< Service that it belongs to
    std::string    address;         //!< IP number
    std::uint16_t  port{};          //!< TCP port
    std::string    dataCentre;      //!< Where it runs
    unsigned       slots{1};        //!< Requests that it works on at once
    bool           draining{false}; //!< It takes no new requests
    core::Duration warmUp{};        //!< How much longer it is slow after its start
    std::uint64_t  born{0}; //!< Start of this life, Unix milliseconds of the server's clock; 0 when it does not say

    friend bool operator==(const Instance&, const Instance&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Whether two instances are the same life of the same server
////////////////////////////////////////////////////////////
[[nodiscard]] inline bool sameLife(const Instance& left, const Instance& right)
{
    return left.id == right.id && left.born == right.born;
}

////////////////////////////////////////////////////////////
/// \brief Four bytes that stand for one life of a server among nodes
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint32_t lifeHash(const Instance& instance);

} // namespace sailpath::deployment
